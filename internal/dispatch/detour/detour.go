// Package detour sends requests to upstreams, on this host's own path or, where that is
// broken, through another entry host that reaches the upstream. A request takes one hop at
// most, and only if it surely did not reach the upstream before. The package also sends
// for other hosts.
package detour

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codes"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/crash"
	"damaskcrank.example/damaskcrank/internal/dispatch/paths"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// Error is the class of all errors of this package.
var Error = errs.Class("detour")

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "detour: "
	// maxHelpers bounds the hosts that are asked to send one request.
	maxHelpers = 3
	// openTimeout bounds the time to open a link to another host.
	openTimeout = 150 * time.Millisecond
	// helperBackoff is how long a host is not asked again that does not reach an upstream.
	helperBackoff = time.Second
	// blockedTime is how long a host that reached no other one counts as blocked.
	blockedTime = 2 * time.Second
	// canaryParts is the divisor of the time left that yields the time of a canary.
	canaryParts = 3
	// trialTimeout bounds the trial of a path.
	trialTimeout = time.Second
)

// Request is a request to an upstream.
type Request struct {
	// ID and Content identify the request and its content in logs.
	ID      string
	Content string
	// Idempotent is set if the request may run twice.
	Idempotent bool
	// Deadline is when the response is due.
	Deadline time.Time
	// Prepare returns the request as it is sent now: its header states the time left.
	Prepare func() *pool.Request
	// FirstHelper names the host to ask first to send the request in this host's place,
	// empty for none.
	FirstHelper string
}

// Outcome is the outcome of a request. Either Response or Failure is set.
type Outcome struct {
	Response *pool.Response
	Failure  *pool.SendError
	// Helper names the host that sent the request, empty if it was this one.
	Helper string
	// AtFault is set if the failure is one of the upstream, and not only of the path of a
	// host.
	AtFault bool
}

// Notice is what an upstream says about itself in an answer.
type Notice struct {
	// Rest is how long it wants no requests from this host, 0 if it does not say.
	Rest time.Duration
	// Leaving is set if it is about to stop.
	Leaving bool
}

// helperPath is a path of another host, or all of its paths if the path is empty.
type helperPath struct {
	helper string
	path   paths.Path
}

// refusal is that of another host to use a path.
type refusal struct {
	until time.Time
	// reached is set if the host answered, and not if it could not be asked.
	reached bool
}

// Caller sends requests to other hosts.
type Caller interface {
	// Open opens the link to a host.
	Open(ctx context.Context, address netip.AddrPort) error
	// Call sends a request. If the error is links.ErrNotSent, the host did not get it.
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
}

// Sender sends the requests of one host to upstreams. It is safe for concurrent use. All
// fields but Others, Allowed, OnLeaving and StopsAt must be set.
type Sender struct {
	// Self is the name of this host.
	Self  string
	Paths *paths.Table
	Pool  *pool.Pool
	// Others returns the other hosts that may send to an upstream, the best first. If it is
	// nil, there are none.
	Others func(target admit.Target, first string) []state.Entry
	Caller Caller
	// Scheduler knows the upstreams, and what they asked of this host.
	Scheduler *admit.Scheduler
	// Allowed, if set, reports whether an upstream's version gets requests now.
	Allowed func(target admit.Target) bool
	// ParseNotice returns what an upstream says in the header of an answer.
	ParseNotice func(status int, header http.Header) Notice
	// DrainTime is how long an upstream that leaves gets requests for keys that it owns.
	DrainTime time.Duration
	// OnLeaving, if set, is called when an upstream first says that it leaves.
	OnLeaving func(target admit.Target, drainDeadline time.Time)
	// StopsAt returns when this host will have stopped, or the zero time while it does not
	// stop. It takes no requests of other hosts whose time lasts longer.
	StopsAt func() time.Time
	// Crashes learns which requests of other hosts lost their upstream.
	Crashes *crash.Detector
	Clock   clockwork.Clock
	Log     log.Interface
	Stats   *stats.Set

	// sending counts the requests of this host's callers in progress, and forwarding those
	// of other hosts.
	sending, forwarding atomic.Int64
	// forwardedAt is when a request of another host last came or was done, in Unix nanoseconds.
	forwardedAt atomic.Int64
	mutex       sync.Mutex
	// unhelpful holds why and until when other hosts are not asked to use a path.
	unhelpful map[helperPath]refusal
	// blockedUntil is until when no other host is known to be reached.
	blockedUntil time.Time
}

// Send sends the request to the upstream once.
func (sender *Sender) Send(ctx context.Context, target admit.Target, request Request) Outcome {
	sender.sending.Add(1)
	defer sender.sending.Add(-1)
	if err := sender.check(target); err != nil {
		return Outcome{Failure: &pool.SendError{Failure: pool.FailureNotSent, Cause: err}}
	}
	path := pathTo(target)
	outcome := Outcome{Failure: &pool.SendError{Failure: pool.FailureNotSent, Cause: errBroken}}
	switch {
	case sender.Paths.Usable(path):
		outcome = sender.sendDirectly(ctx, target, request.Prepare())
	case request.Idempotent && sender.Paths.TakeCanary():
		outcome = sender.sendCanary(ctx, target, request)
	default:
		sender.tryPath(path)
	}
	if outcome.Failure == nil || outcome.Failure.MayHaveRun() || unwanted(outcome.Failure) || ctx.Err() != nil {
		return outcome
	}
	return sender.sendThroughOther(ctx, target, request, outcome)
}

var (
	// errBroken is the cause of requests that are not sent because the path is broken.
	errBroken = Error.New("the path to the upstream is broken")
	// errResting is the cause of requests that are not sent because of a rest that began
	// after their permit was granted.
	errResting = Error.New("the upstream wants no requests from this host now")
	// errDrained is the cause of requests that are not sent because the upstream leaves.
	errDrained = Error.New("the upstream leaves and gets no more requests")
	// errVersion is the cause of requests that are not sent because the upstream's version
	// stopped to get any.
	errVersion = Error.New("the upstream's version gets no requests")
	// errOutcome is the cause of requests of which another host does not say, in words that
	// this one knows, whether it sent them.
	errOutcome = Error.New("the other host's outcome is unknown")
)

// check returns an error if this host must not send to the upstream, on any way.
func (sender *Sender) check(target admit.Target) error {
	if sender.Scheduler.RestLeft(target.Service, target.Owner) > 0 {
		return errResting
	}
	if sender.Allowed != nil && !sender.Allowed(target) {
		return errVersion
	}
	current, known := sender.Scheduler.Target(target.Service, target.Owner)
	if known && current.Draining && (!current.Keyed || sender.Clock.Now().After(current.DrainDeadline)) {
		return errDrained // others serve what has no key
	}
	return nil
}

// unwanted reports whether a request was not sent because the upstream must not get it.
func unwanted(failure *pool.SendError) bool {
	return failure != nil && (errors.Is(failure, errResting) || errors.Is(failure, errVersion) || errors.Is(failure, errDrained))
}

// recordNotice records what an upstream says in an answer that came on this host's path or
// through another host.
func (sender *Sender) recordNotice(target admit.Target, response *pool.Response) {
	notice := sender.ParseNotice(response.Status, response.Header)
	if notice.Rest > 0 && sender.Scheduler.RecordRest(target.Service, target.Owner, notice.Rest) {
		sender.Stats.Event("notice", "rest")
		sender.Log.WithField("upstream", target.Owner.ID).WithField("service", target.Service).WithField("rest", notice.Rest.String()).
			Info(logPrefix + "upstream wants no requests from this host for a time")
	}
	if !notice.Leaving {
		return
	}
	deadline := sender.Clock.Now().Add(sender.DrainTime)
	if !sender.Scheduler.MarkDraining(target.Service, target.Owner, deadline) {
		return
	}
	sender.Stats.Event("notice", "leaving")
	sender.Log.WithField("upstream", target.Owner.ID).WithField("born", target.Owner.Born).WithField("service", target.Service).
		Info(logPrefix + "upstream says that it leaves")
	if sender.OnLeaving != nil {
		sender.OnLeaving(target, deadline)
	}
}

func pathTo(target admit.Target) paths.Path {
	return paths.Path{Owner: target.Owner, Address: target.Address}
}

// sendDirectly sends a request on this host's own path and records what that tells about
// the path. Whether the upstream is at fault for a request that was not sent is left to
// the caller.
func (sender *Sender) sendDirectly(ctx context.Context, target admit.Target, request *pool.Request) Outcome {
	path := pathTo(target)
	defer sender.Paths.Begin(path)()
	request.Allowed = func() error { return sender.check(target) }
	response, failure := sender.Pool.Send(ctx, path.Address, request)
	switch {
	case failure == nil:
		sender.Paths.RecordReached(path)
		sender.recordNotice(target, response)
		return Outcome{Response: response}
	case unwanted(failure):
		return Outcome{Failure: failure}
	case !failure.MayHaveRun():
		if ctx.Err() == nil {
			sender.Paths.RecordUnreached(path, failure.Error())
		}
		return Outcome{Failure: failure}
	case failure.Failure == pool.FailureUnacknowledged:
		sender.Paths.RecordUnreached(path, failure.Error())
		return Outcome{Failure: failure}
	case failure.Failure == pool.FailureLost && failure.Received == 0:
		return Outcome{Failure: failure, AtFault: sender.Paths.RecordLost(path)}
	case failure.Received > 0:
		sender.Paths.RecordReached(path)
		return Outcome{Failure: failure, AtFault: failure.Reason != pool.ReasonUnread}
	default:
		return Outcome{Failure: failure, AtFault: sender.Paths.Usable(path)}
	}
}

// sendCanary sends a request on the path of a host that hears nothing of upstreams. It has a
// part of its time, so that there is time for another attempt.
func (sender *Sender) sendCanary(ctx context.Context, target admit.Target, request Request) Outcome {
	left := request.Deadline.Sub(sender.Clock.Now()) / canaryParts
	ctx, cancel := context.WithTimeout(ctx, max(left, time.Millisecond))
	defer cancel()
	return sender.sendDirectly(ctx, target, request.Prepare())
}

// tryPath starts a trial of a path that is not used, if one is due.
func (sender *Sender) tryPath(path paths.Path) {
	if !sender.Paths.BeginTrial(path) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
		defer cancel()
		err := sender.Pool.Probe(ctx, path.Address)
		sender.Paths.EndTrial(path, err == nil)
	}()
}

// sendThroughOther has another host send a request that was not sent on this host's path.
// Where another host does not reach the upstream either, the upstream is at fault.
func (sender *Sender) sendThroughOther(ctx context.Context, target admit.Target, request Request, direct Outcome) Outcome {
	others := sender.others(target, request.FirstHelper)
	direct.AtFault = len(others) == 0
	prepared := request.Prepare()
	if prepared.Body.Len() > maxBodyBytes {
		return direct
	}
	asked, reached := 0, false
	for _, other := range others {
		if asked == maxHelpers || ctx.Err() != nil {
			break
		}
		answer, known := sender.rememberedAnswer(other, target)
		if !known {
			asked++
			answer = sender.ask(ctx, other, target, request)
		}
		if answer.taken {
			sender.setBlocked(false)
			return answer.outcome
		}
		reached = reached || answer.reached
		direct.AtFault = direct.AtFault || answer.unreached
	}
	sender.setBlocked(len(others) > 0 && !reached)
	sender.Stats.Event("detour", "none")
	return direct
}

// helperAnswer is what came of asking another host to send a request.
type helperAnswer struct {
	// taken is set if the host may have sent it; outcome is the request's then.
	taken   bool
	outcome Outcome
	// reached is set if the host answered, and unreached if it does not reach the upstream
	// though it reaches others.
	reached, unreached bool
}

// rememberedAnswer returns what another host answered a moment ago.
func (sender *Sender) rememberedAnswer(other state.Entry, target admit.Target) (helperAnswer, bool) {
	if refused, known := sender.refusalOf(helperPath{helper: other.Name}); known {
		return helperAnswer{reached: refused.reached}, true
	}
	_, known := sender.refusalOf(helperPath{helper: other.Name, path: pathTo(target)})
	return helperAnswer{reached: known, unreached: known}, known
}

// ask asks another host to send a request.
func (sender *Sender) ask(ctx context.Context, other state.Entry, target admit.Target, request Request) helperAnswer {
	reply, err := sender.forward(ctx, other, target, request)
	switch {
	case errors.Is(err, links.ErrNotSent):
		sender.setUnhelpful(helperPath{helper: other.Name}, false)
		return helperAnswer{}
	case err != nil:
		return sender.taken(Outcome{Helper: other.Name, Failure: lostFailure(ctx, err)})
	}
	switch reply.Outcome {
	case forwardAnswered:
		response := reply.response()
		if !codes.IsFinal(response.Status) { // hosts of earlier versions pass those on
			return sender.taken(Outcome{Helper: other.Name, Failure: pool.BadStatus(response.Body.Len()), AtFault: true})
		}
		sender.recordNotice(target, response)
		return sender.taken(Outcome{Helper: other.Name, Response: response})
	case forwardFailed:
		return sender.taken(Outcome{Helper: other.Name, Failure: reply.failure(), AtFault: reply.AtFault})
	case forwardUnreached:
		sender.setUnhelpful(helperPath{helper: other.Name, path: pathTo(target)}, true)
		return helperAnswer{reached: true, unreached: true}
	case forwardIsolated:
		sender.setUnhelpful(helperPath{helper: other.Name}, true)
	case forwardDeclined:
	default:
		return sender.taken(Outcome{Helper: other.Name, Failure: lostFailure(ctx, errOutcome)})
	}
	return helperAnswer{reached: true}
}

// taken counts a request that another host took.
func (sender *Sender) taken(outcome Outcome) helperAnswer {
	event := "answered"
	if outcome.Failure != nil {
		event = string(outcome.Failure.Failure)
	}
	sender.Stats.Event("detour", event)
	return helperAnswer{taken: true, outcome: outcome, reached: true}
}

func (sender *Sender) others(target admit.Target, first string) []state.Entry {
	if sender.Others == nil {
		return nil
	}
	return sender.Others(target, first)
}

// lostFailure is the failure of a request that was passed to another host, and may have
// run.
func lostFailure(ctx context.Context, cause error) *pool.SendError {
	failure := pool.FailureLost
	if ctx.Err() != nil {
		failure = pool.FailureTimeout
	}
	return &pool.SendError{Failure: failure, Cause: cause}
}

// refusalOf returns the refusal that is remembered for a path of another host, if any.
func (sender *Sender) refusalOf(key helperPath) (refused refusal, known bool) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	refused = sender.unhelpful[key]
	return refused, sender.Clock.Now().Before(refused.until)
}

func (sender *Sender) setUnhelpful(key helperPath, reached bool) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	now := sender.Clock.Now()
	maps.DeleteFunc(sender.unhelpful, func(_ helperPath, refused refusal) bool { return now.After(refused.until) })
	if sender.unhelpful == nil {
		sender.unhelpful = map[helperPath]refusal{}
	}
	sender.unhelpful[key] = refusal{until: now.Add(helperBackoff), reached: reached}
}

// Blocked reports whether this host reaches neither upstreams nor, as far as it has tried
// in the last seconds, any other host.
func (sender *Sender) Blocked() bool {
	if !sender.Paths.Isolated() {
		return false
	}
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	return sender.Clock.Now().Before(sender.blockedUntil)
}

func (sender *Sender) setBlocked(blocked bool) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	sender.blockedUntil = time.Time{}
	if blocked {
		sender.blockedUntil = sender.Clock.Now().Add(blockedTime)
	}
}
