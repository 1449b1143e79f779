package scale

import (
	"fmt"
	"strconv"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// ledgerBodyBytes is the size of the response bodies in the ledger.
const ledgerBodyBytes = 200

// newKeyedMachine returns a state machine with one keyed service.
func newKeyedMachine(partitions int) *state.Machine {
	machine := state.NewMachine()
	body := fmt.Appendf(nil, `{"name":"s","schema":1,"version":1,"partitions":%d}`, partitions)
	apply(machine, state.ApplyRecords{Records: []spec.Record{{Kind: spec.KindService, Name: "s", Schema: 1, Version: 1, Body: body}}})
	return machine
}

// apply applies a command at the next index.
func apply(machine *state.Machine, command state.Command) {
	machine.Apply(machine.Catalog.Index+1, command)
}

// Partitions measures the memory of an ownership table as a function of the number
// of partitions.
func Partitions() Regression {
	var points []Point
	for _, count := range []int{1 << 12, 1 << 13, 1 << 14, 1 << 15, 1 << 16} {
		points = append(points, Point{float64(count), measureHeapGrowth(func() any { return newKeyedMachine(count) })})
	}
	return fitLine("ownership table", "bytes", "partition", points)
}

// HotKeys measures the memory of keys that are assigned to an owner individually,
// separately from their partition.
func HotKeys() Regression {
	var points []Point
	for _, count := range []int{100, 200, 400, 800} {
		points = append(points, Point{float64(count), measureHeapGrowth(func() any {
			machine := newKeyedMachine(1)
			apply(machine, state.RegisterUpstream{Upstream: state.Upstream{ID: state.UpstreamID{Service: "s", Name: "u"}}})
			var moves []state.SlotMove
			for number := range count {
				moves = append(moves, state.SlotMove{Slot: state.Slot{Key: "key-" + strconv.Itoa(number)}, To: "u"})
			}
			apply(machine, state.MoveSlots{Service: "s", Moves: moves})
			return machine
		})})
	}
	return fitLine("hot keys", "bytes", "key", points)
}

// CallerKeys measures the memory of caller keys as a function of their number.
func CallerKeys() Regression {
	var points []Point
	for _, count := range []int{500, 1000, 2000, 4000} {
		points = append(points, Point{float64(count), measureHeapGrowth(func() any {
			machine := state.NewMachine()
			apply(machine, state.ApplyRecords{Records: callerKeys(count)})
			return machine
		})})
	}
	return fitLine("caller keys", "bytes", "key", points)
}

// callerKeys returns records of caller keys.
func callerKeys(count int) []spec.Record {
	var records []spec.Record
	for number := range count {
		name := "key-" + strconv.Itoa(number)
		body := fmt.Appendf(nil, `{"name":%q,"schema":1,"version":1,"workspace":"w","hash":"%064d"}`, name, number)
		records = append(records, spec.Record{Kind: spec.KindCallerKey, Name: name, Schema: 1, Version: 1, Body: body})
	}
	return records
}

// ApplyRecord measures the CPU time of changing one record as a function of the
// number of existing records.
func ApplyRecord() Regression {
	const changes = 20
	var points []Point
	for _, count := range []int{500, 1000, 2000, 4000} {
		machine := state.NewMachine()
		apply(machine, state.ApplyRecords{Records: callerKeys(count)})
		cpuTime := measureCPUTime(func() {
			for version := range changes {
				body := fmt.Appendf(nil, `{"name":"w","schema":1,"version":%d}`, version+1)
				record := spec.Record{Kind: spec.KindWorkspace, Name: "w", Schema: 1, Version: uint64(version + 1), Body: body}
				apply(machine, state.ApplyRecords{Records: []spec.Record{record}})
			}
		})
		points = append(points, Point{float64(count), cpuTime.Seconds() * 1e6 / changes})
	}
	return fitLine("change of a record", "microseconds", "record in force", points)
}

// Ledger measures the memory of the ledger as a function of the number of requests
// in it.
func Ledger() Regression {
	var points []Point
	for _, count := range []int{10000, 20000, 40000, 80000} {
		points = append(points, Point{float64(count), measureHeapGrowth(func() any {
			machine := newLedgerMachine()
			fillLedger(machine, count)
			return machine
		})})
	}
	return fitLine("ledger", "bytes", "request", points)
}

// newLedgerMachine returns a state machine in which a host owns a shard that can
// record requests.
func newLedgerMachine() *state.Machine {
	machine := state.NewMachine()
	apply(machine, state.OpenSession{Host: state.Host{Name: "h"}})
	apply(machine, state.MoveShards{Moves: []state.ShardMove{{Shard: "dispatch/s", Host: "h"}}})
	return machine
}

// fillLedger begins and finishes requests.
func fillLedger(machine *state.Machine, count int) {
	at := time.Unix(1000, 0)
	for number := range count {
		key := state.LedgerKey{Workspace: "w", Service: "s", Key: "request-" + strconv.Itoa(number)}
		apply(machine, state.BeginRequest{
			Key: key, Fingerprint: fmt.Sprintf("%032d", number), Attempt: fmt.Sprintf("%036d", number),
			Shard: "dispatch/s", ShardEpoch: 2, At: at,
		})
		apply(machine, state.FinishRequest{Key: key, Attempt: fmt.Sprintf("%036d", number), Answer: state.Answer{
			Status: 200, Body: make([]byte, ledgerBodyBytes),
		}})
	}
}

// LedgerWork measures the CPU time of beginning and finishing requests in the
// ledger.
func LedgerWork() Regression {
	var points []Point
	for _, count := range []int{10000, 20000, 40000, 80000} {
		machine := newLedgerMachine()
		cpuTime := measureCPUTime(func() { fillLedger(machine, count) })
		points = append(points, Point{float64(count), cpuTime.Seconds() * 1e6})
	}
	return fitLine("ledger work", "microseconds", "request", points)
}
