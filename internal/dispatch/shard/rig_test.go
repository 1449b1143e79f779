package shard

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

// fakeLease is a lease that tests end at will.
type fakeLease struct {
	mutex sync.Mutex
	ended bool
	epoch uint64
}

func (fakelease *fakeLease) Valid() bool {
	fakelease.mutex.Lock()
	defer fakelease.mutex.Unlock()
	return !fakelease.ended
}

func (fakelease *fakeLease) Epoch() uint64 { return fakelease.epoch }

func (fakelease *fakeLease) end() {
	fakelease.mutex.Lock()
	defer fakelease.mutex.Unlock()
	fakelease.ended = true
}

// fakeControl commits commands in a state machine of its own.
type fakeControl struct {
	mutex   sync.Mutex
	machine *state.Machine
	index   uint64
	log     []state.Command
	// before runs ahead of each command; an error is returned to the proposer.
	before func(command state.Command) error
	// after runs behind each command.
	after func(command state.Command)
}

func (fakecontrol *fakeControl) Propose(_ context.Context, command state.Command) (state.Result, error) {
	if fakecontrol.before != nil {
		if err := fakecontrol.before(command); err != nil {
			return state.Result{}, err
		}
	}
	result := fakecontrol.commit(command)
	if fakecontrol.after != nil {
		fakecontrol.after(command)
	}
	return result, nil
}

func (fakecontrol *fakeControl) commit(command state.Command) state.Result {
	fakecontrol.mutex.Lock()
	defer fakecontrol.mutex.Unlock()
	fakecontrol.index++
	fakecontrol.log = append(fakecontrol.log, command)
	return fakecontrol.machine.Apply(fakecontrol.index, command)
}

func (fakecontrol *fakeControl) catalog() *state.Catalog {
	fakecontrol.mutex.Lock()
	defer fakecontrol.mutex.Unlock()
	return fakecontrol.machine.Catalog
}

// count returns how many commands of the wanted kind were committed.
func count[T state.Command](fakecontrol *fakeControl) int {
	fakecontrol.mutex.Lock()
	defer fakecontrol.mutex.Unlock()
	found := 0
	for _, command := range fakecontrol.log {
		if _, ok := command.(T); ok {
			found++
		}
	}
	return found
}

// fakeUpstreams answers calls and grants by script.
type fakeUpstreams struct {
	mutex sync.Mutex
	// send answers calls; nil means an answer of status 200.
	send  func(ctx context.Context, call upstr.Call) upstr.Result
	sent  []upstr.Call
	dead  map[netip.AddrPort]bool
	stamp int64
	// grants are the last full lists by address.
	grants map[netip.AddrPort]upstr.Grant
}

func (fakeupstreams *fakeUpstreams) Send(ctx context.Context, call upstr.Call) upstr.Result {
	fakeupstreams.mutex.Lock()
	fakeupstreams.sent = append(fakeupstreams.sent, call)
	send := fakeupstreams.send
	fakeupstreams.mutex.Unlock()
	if send == nil {
		return upstr.Answered{Answer: state.Answer{Status: http.StatusOK, Body: []byte("done")}}
	}
	return send(ctx, call)
}

func (fakeupstreams *fakeUpstreams) Grant(_ context.Context, address netip.AddrPort, grant upstr.Grant) (upstr.GrantAck, error) {
	fakeupstreams.mutex.Lock()
	defer fakeupstreams.mutex.Unlock()
	if fakeupstreams.dead[address] {
		return upstr.GrantAck{}, Error.New("upstream %s is silent", address)
	}
	fakeupstreams.stamp++
	if grant.Full && grant.Basis != 0 {
		fakeupstreams.grants[address] = grant
	}
	return upstr.GrantAck{Stamp: fakeupstreams.stamp, Incarnation: "one", Revision: grant.Revision, Epoch: grant.Epoch}, nil
}

func (fakeupstreams *fakeUpstreams) kill(address netip.AddrPort) {
	fakeupstreams.mutex.Lock()
	defer fakeupstreams.mutex.Unlock()
	fakeupstreams.dead[address] = true
}

func (fakeupstreams *fakeUpstreams) calls() int {
	fakeupstreams.mutex.Lock()
	defer fakeupstreams.mutex.Unlock()
	return len(fakeupstreams.sent)
}

// rig drives a shard's loop by hand: nothing happens but what a test steps.
type rig struct {
	t         *testing.T
	clock     *clockwork.FakeClock
	lease     *fakeLease
	control   *fakeControl
	upstreams *fakeUpstreams
	shard     *Shard
}

const (
	rigHost    = "host-0"
	rigKeyed   = "fieldjobs"
	rigDesk    = "dispatchdesk"
	rigTimeout = 5 * time.Second
)

func upstreamAddress(number int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:80", number+1))
}

func rigRecords(t *testing.T) []spec.Record {
	t.Helper()
	records, err := spec.ParseDocument([]byte(`
[[workspace]]
name = "large"
schema = 1
version = 1
[[workspace]]
name = "small"
schema = 1
version = 1
[[service]]
name = "fieldjobs"
schema = 1
version = 1
partitions = 8
[[service]]
name = "dispatchdesk"
schema = 2
version = 1
retryBudget = 1
`), spec.FormatTOML)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// newRig sets up the primary of a service with warm upstreams. A keyed service
// has its primary at the first upstream, which owns all keys.
func newRig(t *testing.T, service string, upstreams int) *rig {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Unix(100000, 0))
	control := &fakeControl{machine: state.NewMachine()}
	control.commit(state.ApplyRecords{Records: rigRecords(t), At: clock.Now()})
	session := control.commit(state.OpenSession{Host: state.Host{Name: rigHost, DataCentre: "zarqa"}})
	control.commit(state.OpenSession{Host: state.Host{Name: "host-1", DataCentre: "zarqa"}})
	for number := range upstreams {
		control.commit(state.SeeUpstream{Upstream: state.Upstream{
			ID: state.UpstreamID{Service: service, Name: fmt.Sprintf("up-%d", number)}, DataCentre: "zarqa",
			Address: upstreamAddress(number), Incarnation: "one", Slots: 2, ColdRate: 5, ColdRamp: 10 * time.Second,
			SeenAt: clock.Now().Add(-time.Minute),
		}})
	}
	id := state.DispatchShard(service, "")
	if service == rigKeyed {
		id = state.DispatchShard(service, "up-0")
		var moves []state.SlotMove
		for partition := range 8 {
			moves = append(moves, state.SlotMove{Slot: state.Slot{Partition: partition}, To: "up-0"})
		}
		control.commit(state.MoveSlots{Service: service, Moves: moves})
	}
	given := control.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: id, Host: rigHost}}})
	rig := &rig{
		t: t, clock: clock, control: control, lease: &fakeLease{epoch: session.Index},
		upstreams: &fakeUpstreams{dead: map[netip.AddrPort]bool{}, grants: map[netip.AddrPort]upstr.Grant{}},
	}
	rig.shard = newShard(Env{
		Host: rigHost, Lease: rig.lease, Catalog: control.catalog, Control: control, Upstreams: rig.upstreams,
		Clock: clock, Log: &log.Logger{Handler: discard.New()}, Stats: &stats.Set{}, Random: func(int) int { return 0 },
	}, id, given.Index)
	t.Cleanup(rig.shard.cancel)
	rig.shard.follow()
	rig.grant()
	return rig
}

// grant lets grants go out and come back until each is confirmed.
func (rig *rig) grant() {
	for range 2 {
		rig.shard.renewGrants(rig.clock.Now())
		rig.receiveUntil(func() bool {
			for _, target := range rig.shard.targets {
				if target.grants.pending {
					return false
				}
			}
			return true
		})
	}
}

// receive handles the next message of the loop.
func (rig *rig) receive() {
	rig.t.Helper()
	select {
	case message := <-rig.shard.inbox:
		rig.shard.handle(message)
	case <-time.After(rigTimeout):
		rig.t.Fatal("no message came")
	}
}

// receiveUntil handles messages until the condition holds.
func (rig *rig) receiveUntil(condition func() bool) {
	rig.t.Helper()
	for !condition() {
		rig.receive()
	}
}

// request returns a request of a workspace.
func request(service, method, key string) calls.Request {
	made := calls.Request{
		ID: "r", Workspace: "large", Service: service, Key: "van-7", Method: method, Target: "/book",
		IdempotencyKey: key, Remaining: rigTimeout, Body: []byte("body"),
	}
	made.SetFingerprint()
	return made
}

// submit hands a request in and dispatches.
func (rig *rig) submit(request calls.Request) *run {
	work := rig.shard.newRun(rig.t.Context(), request)
	rig.shard.submit(work)
	rig.shard.dispatch(rig.clock.Now())
	return work
}

// outcomeInTime lets the loop and the clock run until the request is settled.
func (rig *rig) outcomeInTime(work *run) calls.Outcome {
	rig.t.Helper()
	for range 1 << 20 {
		select {
		case outcome := <-work.reply:
			return outcome
		case message := <-rig.shard.inbox:
			rig.shard.handle(message)
		default:
			rig.clock.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}
	rig.t.Fatal("the request was not settled")
	return nil
}

// drain lets the loop and the clock run until nothing runs at an upstream.
func (rig *rig) drain() {
	rig.t.Helper()
	for len(rig.shard.running) > 0 {
		select {
		case message := <-rig.shard.inbox:
			rig.shard.handle(message)
		default:
			rig.clock.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}
}

// outcome lets the loop run until the request is settled.
func (rig *rig) outcome(work *run) calls.Outcome {
	rig.t.Helper()
	for {
		select {
		case outcome := <-work.reply:
			return outcome
		default:
		}
		rig.receive()
		rig.shard.dispatch(rig.clock.Now())
	}
}
