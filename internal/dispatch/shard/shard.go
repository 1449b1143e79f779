// Package shard implements the primary of a dispatch shard. The primary is the
// only process that sends requests to an upstream or, for a service whose keys are
// not partitioned, to all upstreams of the service. It manages their slots,
// queues, warm-up and grants.
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
	// busyInterval bounds the time between two iterations of the loop while
	// requests are waiting or running.
	busyInterval = 5 * time.Millisecond
	// idleInterval bounds the time between two iterations of an idle loop.
	idleInterval = 50 * time.Millisecond
	// maxBudget bounds the retries, and likewise the hedges, that can accumulate.
	maxBudget     = 20
	medianPercent = 50
	tailPercent   = 99
	// logPrefix starts each line that this package logs.
	logPrefix = "dispatch: "
)

// Lease reports whether the host's session lease is valid, and the epoch of the
// session.
type Lease interface {
	Valid() bool
	Epoch() uint64
}

// Proposer commits commands to the replicated log.
type Proposer interface {
	Propose(ctx context.Context, command state.Command) (state.Result, error)
}

// Upstreams sends requests and grants to upstreams.
type Upstreams interface {
	Send(ctx context.Context, call upstr.Call) upstr.Result
	Grant(ctx context.Context, address netip.AddrPort, grant upstr.Grant) (upstr.GrantAck, error)
}

// Env holds the dependencies of a shard.
type Env struct {
	Host      string
	Lease     Lease
	Catalog   func() *state.Catalog
	Control   Proposer
	Upstreams Upstreams
	Clock     clockwork.Clock
	Log       log.Interface
	Stats     *stats.Set
	// Random returns a random number in [0, n); nil means rand.IntN.
	Random func(n int) int
}

// message is an event for a shard's loop.
type message interface{ message() }

type submitMessage struct{ job *job }

// resubmitMessage submits a request again after an earlier submission of the
// same request turned out not to have run.
type resubmitMessage struct{ job *job }

type doneMessage struct {
	job     *job
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

type slotsReleasedMessage struct{ target *target }

type lostMessage struct {
	job    *job
	target *target
	lost   upstr.Lost
	// crashed is set if the upstream's process was lost too.
	crashed bool
	// quarantinedAt is the log index at which the request was quarantined, or 0.
	quarantinedAt uint64
}

type respondMessage struct {
	job     *job
	outcome calls.Outcome
}

func (submitMessage) message()        {}
func (resubmitMessage) message()      {}
func (doneMessage) message()          {}
func (grantMessage) message()         {}
func (loadMessage) message()          {}
func (statusMessage) message()        {}
func (releasedMessage) message()      {}
func (slotsReleasedMessage) message() {}
func (lostMessage) message()          {}
func (respondMessage) message()       {}

// Status is a shard's status as shown to operators.
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

// PolicyStatus holds the request counts and latencies of one policy.
type PolicyStatus struct {
	Policy   string
	Answered uint64
	Refused  uint64
	Median   time.Duration
	P99      time.Duration
}

// UpstreamStatus is an upstream's status as its primary sees it. Usual is the
// typical latency; Granted is set while the upstream has a valid grant.
type UpstreamStatus struct {
	Name    string
	Running int
	Slots   int
	Cold    bool
	Usual   time.Duration
	Granted bool
}

// job is a request that is waiting or running in the shard.
type job struct {
	request  calls.Request
	ctx      context.Context //nolint:containedctx // the caller's, carried through the queue
	arrived  time.Time
	deadline time.Time
	reply    chan calls.Outcome
	class    *class
	slot     state.Slot
	// inFlight is the number of running attempts.
	inFlight int
	attempts int
	hedged   bool
	// maybeRan is set once an attempt ended without proof that it did not run, and
	// while an earlier submission of the same request is running.
	maybeRan bool
	// upstreamLost is set if the upstream was lost while the request was running.
	upstreamLost bool
	// probes is the number of probes after lost connections that have not ended.
	probes    int
	responded bool
	// startedAt is when the latest attempt was started.
	startedAt time.Time
	target    *target
	cancels   []context.CancelFunc
	// now reads the shard's clock.
	now func() time.Time
}

// respond sends the outcome to the caller; only the first call has an effect. If
// an attempt or an earlier submission of the request may have run, a refusal must
// not say "not run", so its Ran is changed to unknown.
func (job *job) respond(outcome calls.Outcome) {
	if job.responded {
		return
	}
	job.responded = true
	if refusal, ok := outcome.(calls.Refusal); ok && job.maybeRan && refusal.Ran == calls.RanNot {
		refusal.Ran = calls.RanUnknown
		outcome = refusal
	}
	if job.class != nil {
		job.class.recordOutcome(outcome, job.now().Sub(job.arrived))
	}
	job.reply <- outcome
	for _, cancel := range job.cancels {
		cancel()
	}
}

// Shard is the primary of one dispatch shard. The fields from targets on are owned
// by its loop.
type Shard struct {
	id             state.ShardID
	epoch          uint64
	service        string
	upstream       string
	env            Env
	inbox          chan message
	catalogChanged chan struct{}
	stop           chan struct{}
	done           chan struct{}
	ctx            context.Context //nolint:containedctx // cancelled when the shard stops
	cancel         context.CancelFunc

	targets     map[string]*target
	classes     []*class
	running     map[*job]bool
	retryBudget float64
	// hedgeBudget is the number of requests that may currently be hedged.
	hedgeBudget    float64
	roundRobinNext int
	rebalancer     rebalancer
	// quarantined holds quarantined fingerprints that the catalog may not list
	// yet, and the log index from which it does.
	quarantined map[string]uint64
	// lastSweep is when deadlines, grants, hedges and overload were last checked.
	lastSweep time.Time
	// stopReason is why the shard accepts no new requests; empty if it does.
	stopReason calls.Reason
	releasing  bool
	released   bool
}

// New starts the primary of a shard that the catalog assigns to this host.
func New(env Env, id state.ShardID, epoch uint64) *Shard {
	shard := newShard(env, id, epoch)
	go shard.loop()
	return shard
}

// newShard returns a primary whose loop has not been started.
func newShard(env Env, id state.ShardID, epoch uint64) *Shard {
	service, upstream, _ := id.Dispatch()
	ctx, cancel := context.WithCancel(context.Background())
	if env.Random == nil {
		env.Random = rand.IntN
	}
	return &Shard{
		id: id, epoch: epoch, service: service, upstream: upstream, env: env,
		inbox:          make(chan message, inboxSize),
		catalogChanged: make(chan struct{}, 1),
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
		ctx:            ctx, cancel: cancel,
		targets:     map[string]*target{},
		running:     map[*job]bool{},
		retryBudget: maxBudget,
	}
}

// Epoch returns the shard's epoch.
func (shard *Shard) Epoch() uint64 { return shard.epoch }

// Submit runs a request and waits for its outcome. It always returns shortly after
// the request's deadline.
func (shard *Shard) Submit(ctx context.Context, request calls.Request) calls.Outcome {
	job := shard.newJob(ctx, request)
	select {
	case shard.inbox <- submitMessage{job: job}:
	case <-shard.done:
		return notRun(calls.ReasonShardMoved)
	case <-ctx.Done():
		return calls.Refusal{Reason: calls.ReasonCallerGone, Ran: calls.RanNot}
	}
	select {
	case outcome := <-job.reply:
		return outcome
	case <-shard.done:
	}
	select {
	case outcome := <-job.reply:
		return outcome
	default:
		return calls.Refusal{Reason: calls.ReasonOutcomeUnknown, Ran: calls.RanUnknown, Detail: "the primary ended"}
	}
}

func (shard *Shard) newJob(ctx context.Context, request calls.Request) *job {
	now := shard.env.Clock.Now()
	return &job{
		request: request, ctx: ctx, arrived: now, deadline: now.Add(request.Remaining),
		reply: make(chan calls.Outcome, 1), now: shard.env.Clock.Now,
	}
}

func notRun(reason calls.Reason) calls.Refusal {
	return calls.Refusal{Reason: reason, Ran: calls.RanNot}
}

// ReportLoad passes an upstream's own load report to the shard. The report is
// dropped if the inbox is full.
func (shard *Shard) ReportLoad(announcement upstr.Announcement) {
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

// CatalogChanged notifies the shard that the catalog has changed.
func (shard *Shard) CatalogChanged() {
	select {
	case shard.catalogChanged <- struct{}{}:
	default:
	}
}

// Close stops the shard without a handover. Waiting requests are refused. Running
// ones may still complete at the upstream, but their callers get a refusal with an
// unknown outcome.
func (shard *Shard) Close() {
	close(shard.stop)
	<-shard.done
}

// Done returns a channel that is closed when the shard has stopped.
func (shard *Shard) Done() <-chan struct{} { return shard.done }

func (shard *Shard) loop() {
	defer close(shard.done)
	defer shard.cancel()
	shard.syncCatalog()
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
		case <-shard.catalogChanged:
			shard.syncCatalog()
		case <-timer.Chan():
		}
		if shard.tick() {
			return
		}
		// The timer is reset only if it would fire too late or has fired.
		now := shard.env.Clock.Now()
		if next := now.Add(shard.tickInterval()); !due.After(now) || next.Before(due) {
			due = next
			timer.Reset(due.Sub(now))
		}
	}
}

// drainInbox handles the queued messages, so that one iteration of the loop
// serves them all.
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
		shard.submit(received.job)
	case resubmitMessage:
		received.job.maybeRan = false
		shard.submit(received.job)
	case doneMessage:
		shard.finishAttempt(received)
	case grantMessage:
		shard.handleGrantAck(received)
	case loadMessage:
		shard.applyLoadReport(received.announcement)
	case statusMessage:
		received.reply <- shard.status()
	case lostMessage:
		shard.handleLoss(received)
	case respondMessage:
		received.job.respond(received.outcome)
	case slotsReleasedMessage:
		received.target.releasePending = false
	case releasedMessage:
		shard.releasing = false
		shard.released = received.released
	}
}

// tick does the periodic work that is due, dispatches waiting requests, and
// reports whether the loop may end.
func (shard *Shard) tick() bool {
	now := shard.env.Clock.Now()
	if now.Sub(shard.lastSweep) >= busyInterval {
		shard.lastSweep = now
		shard.expire(now)
		shard.renewGrants(now)
		shard.hedge(now)
		shard.rebalance(now)
	} else if shard.needsRenewal() {
		shard.renewGrants(now)
	}
	shard.dispatch(now)
	shard.handOver()
	return shard.ended()
}

// needsRenewal reports whether a grant must be renewed immediately.
func (shard *Shard) needsRenewal() bool {
	for _, target := range shard.targets {
		if target.grants.renewNow && !target.grants.pending {
			return true
		}
	}
	return false
}

// tickInterval returns how long the loop may sleep.
func (shard *Shard) tickInterval() time.Duration {
	for _, class := range shard.classes {
		if class.queue.Len() > 0 {
			return busyInterval
		}
	}
	if len(shard.running) > 0 {
		return busyInterval
	}
	return idleInterval
}

// isPrimary reports whether this instance may act as the primary: the catalog
// assigns the shard to it under the host's current session, and the session's
// lease is valid.
func (shard *Shard) isPrimary() bool {
	current := shard.env.Catalog().Shards[shard.id]
	return current.Epoch == shard.epoch && current.Host == shard.env.Host &&
		current.Session == shard.env.Lease.Epoch() && shard.env.Lease.Valid()
}

func (shard *Shard) status() Status {
	now := shard.env.Clock.Now()
	status := Status{ID: shard.id, Epoch: shard.epoch, Running: len(shard.running)}
	for _, class := range shard.classes {
		status.Waiting += class.queue.Len()
		status.Policies = append(status.Policies, PolicyStatus{
			Policy: class.policy.Name, Answered: class.answered, Refused: class.refused,
			Median: time.Duration(class.latencies.ValueAtQuantile(medianPercent)) * time.Microsecond,
			P99:    time.Duration(class.latencies.ValueAtQuantile(tailPercent)) * time.Microsecond,
		})
		workspace, waiting := class.queue.LongestQueue()
		if waiting > status.WorstWaiting {
			status.Worst, status.WorstWaiting = workspace, waiting
		}
	}
	for _, target := range shard.sortedTargets() {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			Name: target.upstream.ID.Name, Running: target.running, Slots: target.upstream.Slots,
			Cold: target.ramp.Cold(now), Usual: target.ramp.TypicalLatency(), Granted: target.hasGrant(now),
		})
	}
	return status
}
