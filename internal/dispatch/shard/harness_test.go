package shard

import (
	"cmp"
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

// fakeLease is a lease that a test can end.
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

// fakeControl applies commands to its own state machine.
type fakeControl struct {
	mutex   sync.Mutex
	machine *state.Machine
	index   uint64
	log     []state.Command
	// before is called before each proposed command; its error is returned to the
	// proposer and the command is not committed.
	before func(command state.Command) error
	// after is called after each proposed command.
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

// count returns the number of committed commands of type T.
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

// fakeUpstreams answers calls with a function that the test sets, and answers
// grants itself.
type fakeUpstreams struct {
	mutex sync.Mutex
	// send answers calls; nil means an answer with status 200.
	send  func(ctx context.Context, call upstr.Call) upstr.Result
	sent  []upstr.Call
	dead  map[netip.AddrPort]bool
	stamp int64
	// incarnation identifies the process that answers grants; empty means "one".
	incarnation string
	// grants holds the latest full grant by address, and timed the number of grants
	// with a lifetime.
	grants map[netip.AddrPort]upstr.Grant
	timed  int
}

func (fakeupstreams *fakeUpstreams) Send(ctx context.Context, call upstr.Call) upstr.Result {
	fakeupstreams.mutex.Lock()
	fakeupstreams.sent = append(fakeupstreams.sent, call)
	send := fakeupstreams.send
	fakeupstreams.mutex.Unlock()
	if send == nil {
		return upstr.Response{Answer: state.Answer{Status: http.StatusOK, Body: []byte("done")}}
	}
	return send(ctx, call)
}

func (fakeupstreams *fakeUpstreams) Grant(_ context.Context, address netip.AddrPort, grant upstr.Grant) (upstr.GrantAck, error) {
	fakeupstreams.mutex.Lock()
	defer fakeupstreams.mutex.Unlock()
	if fakeupstreams.dead[address] {
		return upstr.GrantAck{}, Error.New("upstream %s does not answer", address)
	}
	fakeupstreams.stamp++
	if grant.Basis != 0 {
		fakeupstreams.timed++
	}
	if grant.Full && grant.Basis != 0 {
		fakeupstreams.grants[address] = grant
	}
	return upstr.GrantAck{Stamp: fakeupstreams.stamp, Incarnation: cmp.Or(fakeupstreams.incarnation, "one"), Revision: grant.Revision, Epoch: grant.Epoch}, nil
}

func (fakeupstreams *fakeUpstreams) kill(address netip.AddrPort) {
	fakeupstreams.mutex.Lock()
	defer fakeupstreams.mutex.Unlock()
	fakeupstreams.dead[address] = true
}

func (fakeupstreams *fakeUpstreams) revive(address netip.AddrPort) {
	fakeupstreams.mutex.Lock()
	defer fakeupstreams.mutex.Unlock()
	delete(fakeupstreams.dead, address)
}

func (fakeupstreams *fakeUpstreams) calls() int {
	fakeupstreams.mutex.Lock()
	defer fakeupstreams.mutex.Unlock()
	return len(fakeupstreams.sent)
}

// harness runs a shard without its loop: messages are handled only when a test
// calls for it.
type harness struct {
	t         *testing.T
	clock     *clockwork.FakeClock
	lease     *fakeLease
	control   *fakeControl
	upstreams *fakeUpstreams
	shard     *Shard
}

const (
	testHost       = "host-0"
	keyedService   = "fieldjobs"
	unkeyedService = "dispatchdesk"
	testTimeout    = 5 * time.Second
)

func upstreamAddress(number int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:80", number+1))
}

func testRecords(t *testing.T) []spec.Record {
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

// newHarness sets up the primary of a service with warm upstreams. For the keyed
// service it is the primary of the first upstream, which owns all keys.
func newHarness(t *testing.T, service string, upstreams int) *harness {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Unix(100000, 0))
	control := &fakeControl{machine: state.NewMachine()}
	control.commit(state.ApplyRecords{Records: testRecords(t), At: clock.Now()})
	session := control.commit(state.OpenSession{Host: state.Host{Name: testHost, DataCentre: "zarqa"}})
	control.commit(state.OpenSession{Host: state.Host{Name: "host-1", DataCentre: "zarqa"}})
	for number := range upstreams {
		control.commit(state.RegisterUpstream{Upstream: state.Upstream{
			ID: state.UpstreamID{Service: service, Name: fmt.Sprintf("up-%d", number)}, DataCentre: "zarqa",
			Address: upstreamAddress(number), Incarnation: "one", Slots: 2, ColdRate: 5, ColdRamp: 10 * time.Second,
			SeenAt: clock.Now().Add(-time.Minute),
		}})
	}
	id := state.DispatchShard(service, "")
	if service == keyedService {
		id = state.DispatchShard(service, "up-0")
		var moves []state.SlotMove
		for partition := range 8 {
			moves = append(moves, state.SlotMove{Slot: state.Slot{Partition: partition}, To: "up-0"})
		}
		control.commit(state.MoveSlots{Service: service, Moves: moves})
	}
	assigned := control.commit(state.MoveShards{Moves: []state.ShardMove{{Shard: id, Host: testHost}}})
	harness := &harness{
		t: t, clock: clock, control: control, lease: &fakeLease{epoch: session.Index},
		upstreams: &fakeUpstreams{dead: map[netip.AddrPort]bool{}, grants: map[netip.AddrPort]upstr.Grant{}},
	}
	harness.shard = newShard(Env{
		Host: testHost, Lease: harness.lease, Catalog: control.catalog, Control: control, Upstreams: harness.upstreams,
		Clock: clock, Log: &log.Logger{Handler: discard.New()}, Stats: &stats.Set{}, Random: func(int) int { return 0 },
	}, id, assigned.Index)
	t.Cleanup(harness.shard.cancel)
	harness.shard.syncCatalog()
	harness.grant()
	return harness
}

// grant runs two rounds of grant renewals and handles their answers.
func (harness *harness) grant() {
	for range 2 {
		harness.shard.renewGrants(harness.clock.Now())
		harness.receiveUntil(func() bool {
			for _, target := range harness.shard.targets {
				if target.grants.pending {
					return false
				}
			}
			return true
		})
	}
}

// receive handles the next message in the inbox.
func (harness *harness) receive() {
	harness.t.Helper()
	select {
	case message := <-harness.shard.inbox:
		harness.shard.handle(message)
	case <-time.After(testTimeout):
		harness.t.Fatal("no message arrived in the inbox")
	}
}

// receiveUntil handles messages until the condition holds.
func (harness *harness) receiveUntil(condition func() bool) {
	harness.t.Helper()
	for !condition() {
		harness.receive()
	}
}

// newRequest returns a request of the workspace "large" for the key "van-7".
func newRequest(service, method, key string) calls.Request {
	request := calls.Request{
		ID: "r", Workspace: "large", Service: service, Key: "van-7", Method: method, Target: "/book",
		IdempotencyKey: key, Remaining: testTimeout, Body: []byte("body"),
	}
	request.SetFingerprint()
	return request
}

// submit submits a request and dispatches waiting requests.
func (harness *harness) submit(request calls.Request) *job {
	job := harness.shard.newJob(harness.t.Context(), request)
	harness.shard.submit(job)
	harness.shard.dispatch(harness.clock.Now())
	return job
}

// outcomeInTime handles messages and advances the clock until the request is
// answered.
func (harness *harness) outcomeInTime(job *job) calls.Outcome {
	harness.t.Helper()
	for range 1 << 20 {
		select {
		case outcome := <-job.reply:
			return outcome
		case message := <-harness.shard.inbox:
			harness.shard.handle(message)
		default:
			harness.clock.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}
	harness.t.Fatal("the request was not answered")
	return nil
}

// drain handles messages and advances the clock until no request is running.
func (harness *harness) drain() {
	harness.t.Helper()
	for len(harness.shard.running) > 0 {
		select {
		case message := <-harness.shard.inbox:
			harness.shard.handle(message)
		default:
			harness.clock.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}
}

// outcome handles messages until the request is answered.
func (harness *harness) outcome(job *job) calls.Outcome {
	harness.t.Helper()
	for {
		select {
		case outcome := <-job.reply:
			return outcome
		default:
		}
		harness.receive()
		harness.shard.dispatch(harness.clock.Now())
	}
}
