package group

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

const groupSecret = "a secret for the group"

// cluster is a control group in this process with real disks and connections.
type cluster struct {
	t         *testing.T
	addresses []netip.AddrPort
	folders   []string
	nodes     []*Node
	client    *Client
}

func freeAddresses(t *testing.T, count int) []netip.AddrPort {
	t.Helper()
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return addresses
}

func startCluster(t *testing.T, size int) *cluster {
	t.Helper()
	cluster := &cluster{t: t, addresses: freeAddresses(t, size), nodes: make([]*Node, size)}
	for number := range size {
		cluster.folders = append(cluster.folders, t.TempDir())
		cluster.start(number)
	}
	cluster.client = NewClient(cluster.addresses, trust.Secret(groupSecret))
	t.Cleanup(func() {
		cluster.client.Close()
		for number := range cluster.nodes {
			cluster.stop(number)
		}
	})
	return cluster
}

func (cluster *cluster) start(number int) {
	cluster.t.Helper()
	node, err := Open(Options{
		Name: fmt.Sprintf("c%d", number), Address: cluster.addresses[number], Folder: cluster.folders[number],
		Secret: trust.Secret(groupSecret), Initial: cluster.addresses, Clock: clockwork.NewRealClock(),
		Log: &log.Logger{Handler: discard.New()}, SnapshotEvery: 50,
	})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.nodes[number] = node
	go func() { _ = node.Form(cluster.t.Context()) }()
}

func (cluster *cluster) stop(number int) {
	if cluster.nodes[number] != nil {
		_ = cluster.nodes[number].Close()
		cluster.nodes[number] = nil
	}
}

// leader waits for a leader and returns its number.
func (cluster *cluster) leader(ctx context.Context) int {
	cluster.t.Helper()
	for ctx.Err() == nil {
		for number, node := range cluster.nodes {
			if node != nil && node.Leads() {
				return number
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	cluster.t.Fatal("no leader")
	return -1
}

// register is one workspace record that operators race to change: writing is
// applying a next version, reading is reading the version in force.
type register struct {
	write   bool
	version uint64
	weight  float64
}

type registerResult struct {
	outcome state.Outcome
	version uint64
	weight  float64
	unknown bool
}

// registerModel is the sequential behaviour of a record with versions.
var registerModel = porcupine.Model{
	Init: func() any { return registerResult{} },
	Step: func(current, input, output any) (bool, any) {
		present, _ := current.(registerResult)
		operation, _ := input.(register)
		result, _ := output.(registerResult)
		if !operation.write {
			return result.version == present.version && result.weight == present.weight, present
		}
		next := registerResult{version: operation.version, weight: operation.weight}
		fits := operation.version == present.version+1
		if result.unknown {
			if fits {
				return true, next
			}
			return true, present
		}
		if result.outcome == state.OutcomeDone {
			return fits, next
		}
		same := operation.version == present.version && operation.weight == present.weight
		return !fits && (result.outcome == state.OutcomeConflict || same), present
	},
}

func weightRecord(version uint64, weight float64) spec.Record {
	body := fmt.Appendf(nil, `{"name":"w","schema":2,"version":%d,"weight":%g}`, version, weight)
	return spec.Record{Kind: spec.KindWorkspace, Name: "w", Schema: 2, Version: version, Body: body}
}

// read returns the record in force through a linearizable read.
func (cluster *cluster) read(ctx context.Context) (registerResult, bool) {
	for _, node := range cluster.nodes {
		if node == nil {
			continue
		}
		catalog, err := node.Read(ctx)
		if err != nil {
			continue
		}
		workspace, ok := catalog.Workspace("w")
		if !ok {
			return registerResult{}, true
		}
		version := catalog.Records[spec.ID{Kind: spec.KindWorkspace, Name: "w"}].Version
		return registerResult{version: version, weight: workspace.Weight}, true
	}
	return registerResult{}, false
}

// TestLinearizable races writers and readers of one record while control hosts
// are stopped and started, and checks the history.
func TestLinearizable(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	cluster.leader(ctx)
	var mutex sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	record := func(client int, input register, call int64, output registerResult) {
		mutex.Lock()
		defer mutex.Unlock()
		end := time.Since(started).Nanoseconds()
		if output.unknown {
			end = int64(1) << 60
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: end})
	}
	var wait sync.WaitGroup
	for writer := range 3 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := NewClient(cluster.addresses, trust.Secret(groupSecret))
			defer client.Close()
			version := uint64(1)
			for step := range 40 {
				input := register{write: true, version: version, weight: float64(writer*1000 + step + 1)}
				call := time.Since(started).Nanoseconds()
				once, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
				result, err := client.Propose(once, state.ApplyRecords{Records: []spec.Record{weightRecord(input.version, input.weight)}})
				stop()
				record(writer, input, call, registerResult{outcome: result.Outcome, unknown: err != nil})
				if err != nil || result.Outcome == state.OutcomeConflict || result.Outcome == state.OutcomeDone {
					version++
				}
				if once, ok := cluster.read(ctx); ok && result.Outcome == state.OutcomeConflict {
					version = once.version + 1
				}
			}
		}()
	}
	stopFaults := make(chan struct{})
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		for {
			select {
			case <-stopFaults:
				return
			case <-time.After(300 * time.Millisecond):
				cluster.mutateLeader(ctx)
			}
		}
	}()
	wait.Wait()
	close(stopFaults)
	<-faults
	is.True(len(history) == 120)
	is.True(porcupine.CheckOperations(registerModel, history))
	done := 0
	for _, operation := range history {
		result, _ := operation.Output.(registerResult)
		if result.outcome == state.OutcomeDone {
			done++
		}
	}
	is.True(done > 0)
}

// mutateLeader hands leadership over.
func (cluster *cluster) mutateLeader(ctx context.Context) {
	for _, node := range cluster.nodes {
		if node != nil && node.Leads() && ctx.Err() == nil {
			node.HandOver()
			return
		}
	}
}

// readUntil reads like a client: from whichever member leads when it is asked,
// since the leader may change at any time. It returns the member's number.
func (cluster *cluster) readUntil(ctx context.Context) (*state.Catalog, int) {
	cluster.t.Helper()
	for ctx.Err() == nil {
		for number, node := range cluster.nodes {
			if catalog, err := node.Read(ctx); err == nil {
				return catalog, number
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	cluster.t.Fatal("no member could be read")
	return nil, -1
}

// TestRestartKeepsAcknowledged stops all control hosts after an acknowledged
// change, takes one disk away, and starts the others: the change is there.
func TestRestartKeepsAcknowledged(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	for version := range uint64(120) { // more than two snapshots' worth
		result, err := cluster.client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{weightRecord(version+1, float64(version+1))}})
		is.NoErr(err)
		is.Equal(result.Outcome, state.OutcomeDone)
	}
	lost := cluster.leader(ctx)
	for number := range cluster.nodes {
		cluster.stop(number)
	}
	is.NoErr(os.RemoveAll(cluster.folders[lost]))
	for number := range cluster.nodes {
		cluster.start(number)
	}
	catalog, leader := cluster.readUntil(ctx)
	is.True(leader != lost) // an empty disk does not lead
	workspace, ok := catalog.Workspace("w")
	is.True(ok)
	is.Equal(workspace.Weight, 120.0)
	is.Equal(cluster.nodes[lost].Status().Formed, false) // and forms no group of its own
}

// TestReplaceLostDisk replaces a member whose disk is gone, and then loses a
// second one right after the repair.
func TestReplaceLostDisk(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	_, err := cluster.client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{weightRecord(1, 1)}})
	is.NoErr(err)
	leader := cluster.leader(ctx)
	lost := (leader + 1) % 3
	oldID := cluster.nodes[lost].ID()
	cluster.stop(lost)
	cluster.folders[lost] = t.TempDir()
	cluster.start(lost)
	newID := cluster.nodes[lost].ID()
	is.True(newID != oldID)
	newMember := raft.Member{ID: newID, Address: cluster.addresses[lost]}
	cluster.changeUntil(ctx, ChangeArgs{Kind: ChangeAdd, Member: newMember})
	cluster.changeUntil(ctx, ChangeArgs{Kind: ChangePromote, Member: newMember})
	cluster.changeUntil(ctx, ChangeArgs{Kind: ChangeRemove, Member: raft.Member{ID: oldID}})
	cluster.stop((leader + 2) % 3) // the second loss
	result, err := cluster.client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{weightRecord(2, 2)}})
	is.NoErr(err)
	is.Equal(result.Outcome, state.OutcomeDone)
}

func (cluster *cluster) changeUntil(ctx context.Context, args ChangeArgs) {
	cluster.t.Helper()
	for {
		if _, err := cluster.client.Change(ctx, args); err == nil {
			return
		}
		if ctx.Err() != nil {
			cluster.t.Fatalf("change %+v: %v", args, ctx.Err())
		}
	}
}

// TestFetchCatchesUp lets a host that missed hundreds of changes catch up, by
// deltas or by the whole catalog, and never go back.
func TestFetchCatchesUp(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	var last uint64
	for version := range uint64(300) {
		result, err := cluster.client.Propose(ctx, state.ApplyRecords{Records: []spec.Record{weightRecord(version+1, 1)}})
		is.NoErr(err)
		last = result.Index
	}
	fresh, err := cluster.client.Fetch(0, 0)
	is.NoErr(err)
	is.True(fresh.Catalog != nil)
	encoded, err := codec.Decompress(fresh.Catalog)
	is.NoErr(err)
	catalog, err := state.DecodeCatalog(encoded)
	is.NoErr(err)
	is.Equal(catalog.Records[spec.ID{Kind: spec.KindWorkspace, Name: "w"}].Version, uint64(300))
	lagging, err := cluster.client.Fetch(last-200, 0)
	is.NoErr(err)
	is.Equal(len(lagging.Deltas), 200)
	is.True(lagging.Upto >= last)
}

// TestStrangerIsRefused connects without the secret.
func TestStrangerIsRefused(t *testing.T) {
	is := is.New(t)
	cluster := startCluster(t, 1)
	stranger := NewClient(cluster.addresses, trust.Secret("another secret"))
	defer stranger.Close()
	_, err := stranger.Fetch(0, 0)
	is.True(err != nil)
	conn, err := net.Dial("tcp", cluster.addresses[0].String())
	is.NoErr(err)
	_, err = conn.Write(make([]byte, 10000))
	is.NoErr(err)
	is.NoErr(conn.Close())
	_, err = cluster.client.Fetch(0, 0)
	is.NoErr(err) // garbage ends nothing
}
