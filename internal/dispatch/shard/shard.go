// Package shard is the primary of a dispatch shard: the one process that sends
// requests to an upstream, or to the group of upstreams of a service whose keys
// are not divided. It owns their slots, queues, warm-up and grants.
package shard

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

// Error is the class of all errors of this package.
var Error = errs.Class("shard")

const (
	inboxSize = 1024
	// busyTurn is the longest pause between turns while requests wait.
	busyTurn = 5 * time.Millisecond
	// idleTurn is the longest pause between turns.
	idleTurn = 50 * time.Millisecond
	// budgetLimit bounds the retries that a quiet time can save up.
	budgetLimit   = 20
	medianPercent = 50
	tailPercent   = 99
	// logPrefix starts each line that this package logs.
	logPrefix = "dispatch: "
)

// Lease tells whether the host may act.
type Lease interface {
	Valid() bool
	Epoch() uint64
}

// Control commits commands in the replicated log.
type Control interface {
	Propose(ctx context.Context, command state.Command) (state.Result, error)
}

// Upstreams talks to upstreams.
type Upstreams interface {
	Send(ctx context.Context, call upstr.Call) upstr.Result
	Grant(ctx context.Context, address netip.AddrPort, grant upstr.Grant) (upstr.GrantAck, error)
}

// Env is what a shard works with.
type Env struct {
	Host      string
	Lease     Lease
	Catalog   func() *state.Catalog
	Control   Control
	Upstreams Upstreams
	Clock     clockwork.Clock
	Log       log.Interface
	Stats     *stats.Set
	// Random draws a number in [0, n); nil means a fair one.
	Random func(n int) int
}

// message is what other tasks send to a shard's loop.
type message interface{ message() }

type submitMessage struct{ run *run }

// resubmitMessage hands a request in again whose earlier arrival did not run.
type resubmitMessage struct{ run *run }

type doneMessage struct {
	run     *run
	target  *target
	started time.Time
	outcome attemptOutcome
}

type grantMessage struct {
	target *target
	grant  upstr.Grant
	sentAt time.Time
	ack    upstr.GrantAck
	err    error
}

type loadMessage struct{ announcement upstr.Announcement }

type statusMessage struct{ reply chan Status }

type releasedMessage struct{ released bool }

type slotsReleased struct{ target *target }

type lostMessage struct {
	run    *run
	target *target
	lost   upstr.Lost
	// crashed is set where the upstream's process was lost too.
	crashed bool
	// quarantined is set where the request is refused from now on.
	quarantined bool
}

type settleMessage struct {
	run     *run
	outcome calls.Outcome
}

func (submitMessage) message()   {}
func (resubmitMessage) message() {}
func (doneMessage) message()     {}
func (grantMessage) message()    {}
func (loadMessage) message()     {}
func (statusMessage) message()   {}
func (releasedMessage) message() {}
func (slotsReleased) message()   {}
func (lostMessage) message()     {}
func (settleMessage) message()   {}

// Status is what a shard tells operators.
type Status struct {
	ID        state.ShardID
	Epoch     uint64
	Waiting   int
	Running   int
	Upstreams []UpstreamStatus
	// Worst is the workspace with the most requests waiting.
	Worst        string
	WorstWaiting int
	Policies     []PolicyStatus
}

// PolicyStatus is what a policy has done for the shard's requests.
type PolicyStatus struct {
	Policy   string
	Answered uint64
	Refused  uint64
	Median   time.Duration
	P99      time.Duration
}

// UpstreamStatus is how a primary sees an upstream.
type UpstreamStatus struct {
	Name    string
	Running int
	Slots   int
	Cold    bool
	Usual   time.Duration
	Granted bool
}

// run is a request in the shard's care.
type run struct {
	request  calls.Request
	ctx      context.Context //nolint:containedctx // the caller's, carried through the queue
	arrived  time.Time
	deadline time.Time
	reply    chan calls.Outcome
	lane     *lane
	slot     state.Slot
	// open is the number of attempts that are running.
	open   int
	tries  int
	hedged bool
	// maybeRan is set once an attempt ended without proof that it did not run, and
	// while an earlier arrival of the request is running.
	maybeRan bool
	// abandoned is set where the upstream was lost while the request ran.
	abandoned bool
	settled   bool
	// startedAt is when the first open attempt was sent.
	startedAt time.Time
	target    *target
	cancels   []context.CancelFunc
	// now reads the shard's clock.
	now func() time.Time
}

// settle answers the caller once. What an attempt or an earlier arrival may have
// done, no later refusal can undo, so none says "not run" then.
func (run *run) settle(outcome calls.Outcome) {
	if run.settled {
		return
	}
	run.settled = true
	if refused, ok := outcome.(calls.Refused); ok && run.maybeRan && refused.Ran == calls.RanNot {
		refused.Ran = calls.RanUnknown
		outcome = refused
	}
	if run.lane != nil {
		run.lane.measure(outcome, run.now().Sub(run.arrived))
	}
	run.reply <- outcome
	for _, cancel := range run.cancels {
		cancel()
	}
}

// Shard is the primary's task. Its loop owns all fields below inbox.
type Shard struct {
	id       state.ShardID
	epoch    uint64
	service  string
	upstream string
	env      Env
	inbox    chan message
	changed  chan struct{}
	stop     chan struct{}
	done     chan struct{}
	ctx      context.Context //nolint:containedctx // ends with the task
	cancel   context.CancelFunc

	targets map[string]*target
	lanes   []*lane
	running map[*run]bool
	budget  float64
	// hedgeBudget is the number of requests that may be sent twice now.
	hedgeBudget float64
	turn        int
	relief      relief
	// quarantined are fingerprints that the catalog may not show yet.
	quarantined map[string]bool
	// swept is when deadlines, grants and hedges were last looked at.
	swept time.Time
	// stopping is why no new work is taken, or empty.
	stopping  calls.Reason
	releasing bool
	released  bool
}

// New starts the primary of a shard that the catalog gives to this host.
func New(env Env, id state.ShardID, epoch uint64) *Shard {
	shard := newShard(env, id, epoch)
	go shard.loop()
	return shard
}

// newShard returns a primary whose loop does not run yet.
func newShard(env Env, id state.ShardID, epoch uint64) *Shard {
	service, upstream, _ := id.Dispatch()
	ctx, cancel := context.WithCancel(context.Background())
	if env.Random == nil {
		env.Random = rand.IntN
	}
	return &Shard{
		id: id, epoch: epoch, service: service, upstream: upstream, env: env,
		inbox:   make(chan message, inboxSize),
		changed: make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		ctx:     ctx, cancel: cancel,
		targets: map[string]*target{},
		running: map[*run]bool{},
		budget:  budgetLimit,
	}
}

// Epoch returns the shard's epoch.
func (shard *Shard) Epoch() uint64 { return shard.epoch }

// Submit has a request carried out and waits for its outcome. It returns in
// any case shortly after the request's deadline.
func (shard *Shard) Submit(ctx context.Context, request calls.Request) calls.Outcome {
	work := shard.newRun(ctx, request)
	select {
	case shard.inbox <- submitMessage{run: work}:
	case <-shard.done:
		return moved(calls.ReasonShardMoved)
	case <-ctx.Done():
		return calls.Refused{Reason: calls.ReasonCallerGone, Ran: calls.RanNot}
	}
	select {
	case outcome := <-work.reply:
		return outcome
	case <-shard.done:
	}
	select {
	case outcome := <-work.reply:
		return outcome
	default:
		return calls.Refused{Reason: calls.ReasonOutcomeUnknown, Ran: calls.RanUnknown, Detail: "the primary ended"}
	}
}

func (shard *Shard) newRun(ctx context.Context, request calls.Request) *run {
	now := shard.env.Clock.Now()
	return &run{
		request: request, ctx: ctx, arrived: now, deadline: now.Add(request.Remaining),
		reply: make(chan calls.Outcome, 1), now: shard.env.Clock.Now,
	}
}

func moved(reason calls.Reason) calls.Refused {
	return calls.Refused{Reason: reason, Ran: calls.RanNot}
}

// Load hands an upstream's own load report over.
func (shard *Shard) Load(announcement upstr.Announcement) {
	select {
	case shard.inbox <- loadMessage{announcement: announcement}:
	default:
	}
}

// Status returns the shard's status, or false if it has ended.
func (shard *Shard) Status() (Status, bool) {
	reply := make(chan Status, 1)
	select {
	case shard.inbox <- statusMessage{reply: reply}:
	case <-shard.done:
		return Status{}, false
	}
	select {
	case status := <-reply:
		return status, true
	case <-shard.done:
		return Status{}, false
	}
}

// Changed tells the shard that the catalog has changed.
func (shard *Shard) Changed() {
	select {
	case shard.changed <- struct{}{}:
	default:
	}
}

// Close ends the task without a handover. Requests that run go on at the
// upstream; their callers learn that the outcome is unknown.
func (shard *Shard) Close() {
	close(shard.stop)
	<-shard.done
}

// Done is closed when the task has ended.
func (shard *Shard) Done() <-chan struct{} { return shard.done }

func (shard *Shard) loop() {
	defer close(shard.done)
	defer shard.cancel()
	shard.follow()
	timer := shard.env.Clock.NewTimer(0)
	defer timer.Stop()
	due := shard.env.Clock.Now()
	for {
		select {
		case <-shard.stop:
			shard.refuseWaiting(calls.ReasonHostStopping)
			return
		case message := <-shard.inbox:
			shard.handle(message)
			shard.drainInbox()
		case <-shard.changed:
			shard.follow()
		case <-timer.Chan():
		}
		if shard.turnOver() {
			return
		}
		// The timer is only set anew where it would fire too late or has fired.
		now := shard.env.Clock.Now()
		if next := now.Add(shard.pause()); !due.After(now) || next.Before(due) {
			due = next
			timer.Reset(due.Sub(now))
		}
	}
}

// drainInbox handles all messages that wait, so that one turn serves them.
func (shard *Shard) drainInbox() {
	for range inboxSize {
		select {
		case message := <-shard.inbox:
			shard.handle(message)
			continue
		default:
		}
		return
	}
}

func (shard *Shard) handle(received message) {
	switch received := received.(type) {
	case submitMessage:
		shard.submit(received.run)
	case resubmitMessage:
		received.run.maybeRan = false
		shard.submit(received.run)
	case doneMessage:
		shard.finish(received)
	case grantMessage:
		shard.granted(received)
	case loadMessage:
		shard.loadReport(received.announcement)
	case statusMessage:
		received.reply <- shard.status()
	case lostMessage:
		shard.afterLoss(received)
	case settleMessage:
		received.run.settle(received.outcome)
	case slotsReleased:
		received.target.releaseOpen = false
	case releasedMessage:
		shard.releasing = false
		shard.released = received.released
	}
}

// turnOver does what is due and tells whether the task has ended.
func (shard *Shard) turnOver() bool {
	now := shard.env.Clock.Now()
	if now.Sub(shard.swept) >= busyTurn {
		shard.swept = now
		shard.expire(now)
		shard.renewGrants(now)
		shard.hedge(now)
		shard.relieve(now)
	} else if shard.urgent() {
		shard.renewGrants(now)
	}
	shard.dispatch(now)
	shard.handOver()
	return shard.ended()
}

// urgent tells whether a grant is to be renewed at once.
func (shard *Shard) urgent() bool {
	for _, target := range shard.targets {
		if target.grants.urgent && !target.grants.pending {
			return true
		}
	}
	return false
}

// pause is how long the loop may sleep.
func (shard *Shard) pause() time.Duration {
	for _, lane := range shard.lanes {
		if lane.queue.Len() > 0 {
			return busyTurn
		}
	}
	if len(shard.running) > 0 {
		return busyTurn
	}
	return idleTurn
}

// mine tells whether this task may act: the catalog gives the shard to it
// under the host's present session, and the session's lease holds.
func (shard *Shard) mine() bool {
	present := shard.env.Catalog().Shards[shard.id]
	return present.Epoch == shard.epoch && present.Host == shard.env.Host &&
		present.Session == shard.env.Lease.Epoch() && shard.env.Lease.Valid()
}

func (shard *Shard) status() Status {
	now := shard.env.Clock.Now()
	status := Status{ID: shard.id, Epoch: shard.epoch, Running: len(shard.running)}
	for _, lane := range shard.lanes {
		status.Waiting += lane.queue.Len()
		status.Policies = append(status.Policies, PolicyStatus{
			Policy: lane.policy.Name, Answered: lane.answered, Refused: lane.refused,
			Median: time.Duration(lane.times.ValueAtQuantile(medianPercent)) * time.Microsecond,
			P99:    time.Duration(lane.times.ValueAtQuantile(tailPercent)) * time.Microsecond,
		})
		workspace, waiting := lane.queue.Longest()
		if waiting > status.WorstWaiting {
			status.Worst, status.WorstWaiting = workspace, waiting
		}
	}
	for _, target := range shard.sortedTargets() {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Name: target.upstream.ID.Name, Running: target.running, Slots: target.upstream.Slots,
			Cold: target.ramp.Cold(now), Usual: target.ramp.Usual(), Granted: target.alive(now),
		})
	}
	return status
}
