// Package permit coordinates how the entry hosts use the upstreams. Each upstream
// has one entry host as its primary, which limits the requests in flight there. A
// host that wants to send a request asks the primary for a permit; the request
// itself goes directly to the upstream. For requests without a key, a primary
// grants permits for all upstreams of a service in a data centre. Permits improve
// scheduling but are not required for correctness: a host whose primary does not
// answer falls back to its own admission control.
package permit

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/spill"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// Error is the class of all errors of this package.
var Error = errs.Class("permit")

const (
	// logPrefix starts each line that this package logs.
	logPrefix = "permit: "
	// requestTimeout bounds the wait for the reply to a permit request. Primaries
	// reply at once, but two long answers to callers may be ahead of the reply on a
	// link of 2 Mbit/s.
	requestTimeout = 300 * time.Millisecond
	// lateReplyTimeout is how long after the request's deadline a late reply is still
	// awaited, so that the permit in it can be released.
	lateReplyTimeout = 2 * time.Second
)

// Caller sends requests to other hosts.
type Caller interface {
	Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error)
}

// Permit allows sending one request to an upstream. Release returns it.
type Permit struct {
	Target admit.Target
	// Source names who granted the permit, for the log: the primary, or "host" for
	// the host's own scheduler.
	Source string

	client    *Client
	ticket    *admit.Ticket
	job       admit.Job
	primary   state.Entry
	number    uint64
	startedAt time.Time
	// answered is set once the upstream answered, and limit is the rate limit that it
	// named then.
	answered bool
	limit    float64
}

// Client acquires permits for the requests of one entry host. It is safe for
// concurrent use.
type Client struct {
	self       string
	dataCentre string
	local      *admit.Scheduler
	// localPrimary grants the permits of the upstreams whose primary is this host.
	localPrimary *Primary
	caller       Caller
	clock        clockwork.Clock
	log          log.Interface
	// Stats, if set, counts where permits come from and why primaries are not asked. It must
	// be set before the client is used.
	Stats *stats.Set

	// Spill, if set, sorts the data centres in which a request without a key asks for an
	// upstream. It must be set before the client is used.
	Spill func(service string, dataCentres []string) spill.Choice

	mutex   sync.Mutex
	entries []state.Entry
	// weighted is set if the links of all entry hosts are known. Hosts of the previous
	// version, which name none, choose primaries without weights.
	weighted bool
	// health holds what is known of each primary, by host name.
	health map[string]*health
	// busyUntil is until when a place is not asked for a permit without a wait.
	busyUntil map[place]time.Time
	releases  releases
}

// NewClient returns the permit client of a host. The local scheduler is the host's
// own.
func NewClient(self state.Entry, local *admit.Scheduler, localPrimary *Primary, caller Caller, clock clockwork.Clock, logger log.Interface) *Client {
	return &Client{
		self: self.Name, dataCentre: self.DataCentre, local: local, localPrimary: localPrimary, caller: caller,
		clock: clock, log: logger, health: map[string]*health{}, busyUntil: map[place]time.Time{},
	}
}

// countEvent counts an event of this package, if there is anything to count it in.
func countEvent(set *stats.Set, reason string) {
	if set != nil {
		set.Event("permit", reason)
	}
}

// Update replaces the list of entry hosts.
func (client *Client) Update(entries []state.Entry) {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(left, right state.Entry) int { return cmp.Compare(left.Name, right.Name) })
	present := map[string]bool{}
	for _, entry := range sorted {
		present[entry.Name] = true
	}
	client.local.SetHosts(len(sorted))
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.entries = sorted
	client.weighted = !slices.ContainsFunc(sorted, func(entry state.Entry) bool { return entry.Link <= 0 })
	maps.DeleteFunc(client.health, func(name string, _ *health) bool { return !present[name] })
	now := client.clock.Now()
	maps.DeleteFunc(client.busyUntil, func(_ place, until time.Time) bool { return until.Before(now) })
}

// errTimeout means that a primary did not reply within requestTimeout.
var errTimeout = Error.New("the primary did not reply in time")

// staleError means that a primary with an older catalog granted a permit for an upstream
// that gets no requests.
type staleError struct{ owner spans.Owner }

// Error implements error.
func (staleerror staleError) Error() string {
	return "the permit is for upstream " + staleerror.owner.ID + ", which is unknown or draining"
}

// errOwnerChanged means that the key may have got another owner while a request
// waited.
var errOwnerChanged = Error.New("the owner of the key may have changed")

// errOtherVersion means that a primary that does not know of versions granted a permit for an
// upstream of another version than the request goes to.
var errOtherVersion = Error.New("the permit is for an upstream of another version")

// Acquire returns a permit, at once or after a wait, or a refusal.
func (client *Client) Acquire(ctx context.Context, job admit.Job) (*Permit, *admit.Refusal) {
	if !job.Keyed {
		return client.acquireUnkeyed(ctx, job)
	}
	var late []string
	for {
		target, changed, refusal := client.awaitOwner(ctx, job)
		if refusal != nil {
			return nil, refusal
		}
		entry, found := client.choose(target.Owner.ID, target.DataCentre, late...)
		if !found {
			return client.acquireOwn(ctx, job)
		}
		limited := client.isLimited(job.Service, target.Owner)
		if !limited {
			if permit, refusal, spared := client.spare(ctx, entry, job); spared {
				return permit, refusal
			}
		}
		toOwner := job
		toOwner.Owner = target.Owner
		permit, refusal, err := client.requestPermit(ctx, entry, toOwner, job.Deadline.Sub(client.clock.Now()), changed)
		if err == nil && permit == nil && refusal == nil {
			return client.acquireOwn(ctx, job) // the primary has too many requests waiting
		}
		failed := client.handleFailure(ctx, entry, err)
		switch {
		case failed && errors.Is(err, errTimeout) && limited:
			late = append(late, entry.Name)
			continue
		case failed && errors.Is(err, errTimeout):
			return client.acquireOwn(ctx, job)
		case failed, errors.Is(err, errOwnerChanged):
			continue
		}
		if err != nil {
			return nil, &admit.Refusal{Reason: admit.ReasonCallerLeft}
		}
		return permit, refusal
	}
}

// spare acquires a permit within this host's own share, and reports whether that settles the
// request, if the primary is late and should be asked less. A late primary that may still
// reply in time is better than a refusal.
func (client *Client) spare(ctx context.Context, entry state.Entry, job admit.Job) (permit *Permit, refusal *admit.Refusal, spared bool) {
	if client.mayAsk(entry) {
		return nil, nil, false
	}
	permit, refusal = client.acquireOwn(ctx, job)
	spared = refusal == nil || refusal.Reason != admit.ReasonOwnShare || !client.mayReply(entry)
	return permit, refusal, spared
}

// awaitOwner waits until the owner of the requested key serves it and takes requests from
// this host. It also returns a channel that closes when the owner may have changed.
func (client *Client) awaitOwner(ctx context.Context, job admit.Job) (admit.Target, <-chan struct{}, *admit.Refusal) {
	for {
		target, changed, refusal := client.local.Owner(ctx, job)
		if refusal != nil {
			return admit.Target{}, nil, refusal
		}
		waited, refusal := client.local.AwaitRest(ctx, job, changed)
		if refusal != nil {
			return admit.Target{}, nil, refusal
		}
		if !waited {
			return target, changed, nil
		}
	}
}

// isLimited reports whether an upstream names a rate limit. The host's own scheduler
// admits no requests to it.
func (client *Client) isLimited(service string, owner spans.Owner) bool {
	perSecond, _ := client.local.Limit(service, owner)
	return perSecond > 0
}

// handleFailure suspects a primary that did not answer, and reports whether the
// caller should ask elsewhere. A canceled request, a changed owner, an older catalog or
// another version is not the primary's failure.
func (client *Client) handleFailure(ctx context.Context, entry state.Entry, err error) bool {
	var stale staleError
	if err == nil || ctx.Err() != nil || errors.Is(err, errOwnerChanged) || errors.Is(err, errOtherVersion) || errors.As(err, &stale) {
		return false
	}
	client.suspect(entry, err)
	return true
}

// acquireOwn acquires a ticket within this host's own share, without a primary.
func (client *Client) acquireOwn(ctx context.Context, job admit.Job) (*Permit, *admit.Refusal) {
	ticket, refusal := client.local.AcquireOwn(ctx, job)
	if refusal != nil {
		return nil, refusal
	}
	countEvent(client.Stats, "ownShare")
	return &Permit{Target: ticket.Target, Source: "host", client: client, ticket: ticket, job: job, startedAt: client.clock.Now()}, nil
}

// requestPermit requests a permit from a primary. It waits for the permit if the
// expected wait is at most maxWait, and until the key gets another owner. It
// returns neither a permit nor a refusal if the primary is too busy.
func (client *Client) requestPermit(ctx context.Context, entry state.Entry, job admit.Job, maxWait time.Duration, changed <-chan struct{}) (*Permit, *admit.Refusal, error) {
	reply, err := client.ask(ctx, entry, job, maxWait)
	if err != nil {
		return nil, nil, Error.New("request a permit: %w", err)
	}
	permit := &Permit{Source: entry.Name, client: client, job: job, primary: entry}
	if reply.Kind == kindQueued {
		var queued grantMessage
		if err := codec.Unmarshal(reply.Head, &queued); err != nil {
			return nil, nil, Error.New("decode queued permit: %w", err)
		}
		reply, err = client.await(ctx, entry, queued.Number, job, changed)
		if err != nil {
			// The primary may have granted the permit meanwhile.
			client.release(entry, doneMessage{Number: queued.Number, Result: admit.ResultLeft}, job.Deadline)
			return nil, nil, err
		}
	}
	return permit.decode(reply)
}

// ask sends a permit request to a primary, in the form that it knows.
func (client *Client) ask(ctx context.Context, entry state.Entry, job admit.Job, maxWait time.Duration) (links.Payload, error) {
	now := client.clock.Now()
	message := askGroupMessage{
		Service: job.Service, ID: job.Owner.ID, Born: job.Owner.Born, Place: job.DataCentre, Group: job.Group.Number, Of: job.Group.Of,
		Version: job.Version, Host: client.self, Priority: job.Priority, Bears: maxWait.Milliseconds(),
		Left: job.Deadline.Sub(now).Milliseconds(), Goal: job.Goal.Sub(now).Milliseconds(), Avoid: job.Avoid,
	}
	if limit, namedAt := client.local.Limit(job.Service, job.Owner); limit > 0 {
		message.Limit, message.LimitAge = limit, now.Sub(namedAt).Milliseconds()
	}
	if !client.isFormer(entry) {
		reply, err := client.exchange(ctx, entry, kindAskGroup, message, job)
		if err != nil || reply.Kind != kindUnknown {
			return reply, err
		}
		client.recordFormer(entry)
	}
	return client.exchange(ctx, entry, kindAsk, message.former(), job)
}

// exchange sends a permit request to a primary and records how long its reply took.
func (client *Client) exchange(ctx context.Context, entry state.Entry, kind string, message any, job admit.Job) (links.Payload, error) {
	request, err := payload(kind, message)
	if err != nil {
		return links.Payload{}, err
	}
	sent := client.clock.Now()
	reply, err := client.callWithTimeout(ctx, entry, request, job)
	if err == nil && entry.Name != client.self {
		client.recordReply(entry, client.clock.Now().Sub(sent))
	}
	return reply, err
}

// callResult is the result of a call.
type callResult struct {
	reply links.Payload
	err   error
}

// callWithTimeout sends a permit request to a primary. A permit in a reply that
// comes too late is released, since it would otherwise hold a slot until the
// request's deadline.
func (client *Client) callWithTimeout(ctx context.Context, entry state.Entry, request links.Payload, job admit.Job) (links.Payload, error) {
	if entry.Name == client.self {
		return client.localPrimary.Serve(ctx, request), nil
	}
	results := make(chan callResult, 1)
	sent := client.clock.Now()
	timer := client.clock.NewTimer(requestTimeout)
	defer timer.Stop()
	lateCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(0, job.Deadline.Sub(sent))+lateReplyTimeout)
	go func() {
		defer cancel()
		reply, err := client.call(lateCtx, entry, request)
		results <- callResult{reply: reply, err: err}
	}()
	err := errTimeout
	select {
	case result := <-results:
		return result.reply, result.err
	case <-timer.Chan():
	case <-ctx.Done():
		err = Error.New("the request was canceled: %w", ctx.Err())
	}
	go func() { client.releaseLate(entry, <-results, sent, job) }()
	return links.Payload{}, err
}

// releaseLate releases the permit that a late reply granted or queued.
func (client *Client) releaseLate(entry state.Entry, late callResult, sent time.Time, job admit.Job) {
	if late.err != nil {
		return // a permit that was granted after all expires at the primary
	}
	now := client.clock.Now()
	client.recordReply(entry, now.Sub(sent))
	number, err := permitNumber(late.reply)
	if err != nil {
		client.log.WithError(err).WithField("primary", entry.Name).Warn(logPrefix + "cannot decode the late reply of a primary")
	}
	if number > 0 {
		// The time left was relative, so that the permit may outlive the request.
		client.release(entry, doneMessage{Number: number, Result: admit.ResultLeft}, job.Deadline.Add(now.Sub(sent)))
	}
}

// permitNumber returns the number of the permit that was granted or queued, or 0.
func permitNumber(reply links.Payload) (uint64, error) {
	switch reply.Kind {
	case kindGranted:
		var granted targetMessage
		if err := codec.Unmarshal(reply.Head, &granted); err != nil {
			return 0, Error.New("decode permit: %w", err)
		}
		return granted.Number, nil
	case kindQueued:
		var queued grantMessage
		if err := codec.Unmarshal(reply.Head, &queued); err != nil {
			return 0, Error.New("decode queued permit: %w", err)
		}
		return queued.Number, nil
	default:
		return 0, nil
	}
}

// call sends a request to a primary, which may be this host.
func (client *Client) call(ctx context.Context, entry state.Entry, request links.Payload) (links.Payload, error) {
	if entry.Name == client.self {
		return client.localPrimary.Serve(ctx, request), nil
	}
	reply, err := client.caller.Call(ctx, entry.Peer, request)
	if err != nil {
		return links.Payload{}, Error.New("call %s: %w", entry.Name, err)
	}
	return reply, nil
}

// await waits for a queued permit. It returns errOwnerChanged as soon as the key
// has another owner.
func (client *Client) await(ctx context.Context, entry state.Entry, number uint64, job admit.Job, changed <-chan struct{}) (links.Payload, error) {
	request, err := payload(kindAwait, awaitMessage{Number: number})
	if err != nil {
		return links.Payload{}, err
	}
	if !job.Keyed {
		return client.call(ctx, entry, request)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	moved := make(chan bool, 1)
	go func() {
		ended := client.ownerChanged(ctx, job, changed)
		if ended {
			cancel()
		}
		moved <- ended
	}()
	reply, err := client.call(ctx, entry, request)
	ended := ctx.Err() != nil
	cancel()
	if <-moved {
		return links.Payload{}, errOwnerChanged
	}
	if err != nil {
		return links.Payload{}, err
	}
	if ended && reply.Kind != kindGranted {
		return links.Payload{}, Error.New("the request was canceled")
	}
	return reply, nil
}

// ownerChanged blocks until the key has another owner, and returns true then. It
// returns false if the context ends or no owner is found first.
func (client *Client) ownerChanged(ctx context.Context, job admit.Job, changed <-chan struct{}) bool {
	byKey := job
	byKey.Owner = spans.Owner{}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
		current, next, refusal := client.local.Owner(ctx, byKey)
		if refusal != nil {
			return false
		}
		if current.Owner != job.Owner {
			return true
		}
		changed = next
	}
}

// decode completes the permit from the primary's final reply.
func (permit *Permit) decode(reply links.Payload) (*Permit, *admit.Refusal, error) {
	switch reply.Kind {
	case kindGranted:
		var granted targetMessage
		if err := codec.Unmarshal(reply.Head, &granted); err != nil {
			return nil, nil, Error.New("decode permit: %w", err)
		}
		permit.number = granted.Number
		permit.startedAt = permit.client.clock.Now()
		// The primary may be partitioned off and may have an older catalog than this
		// host.
		target, known := permit.client.local.Target(permit.job.Service, spans.Owner{ID: granted.ID, Born: granted.Born})
		switch {
		case !known && permit.job.Keyed:
			permit.Release(admit.ResultLeft, nil)
			return nil, nil, errOwnerChanged
		case known && permit.job.Version != "" && permit.job.Version != target.Version:
			permit.Release(admit.ResultLeft, nil)
			return nil, nil, errOtherVersion
		case !known || target.Draining && !permit.job.Keyed:
			permit.Release(admit.ResultLeft, nil)
			return nil, nil, staleError{owner: spans.Owner{ID: granted.ID, Born: granted.Born}}
		case target.Draining && permit.startedAt.After(target.DrainDeadline):
			permit.Release(admit.ResultLeft, nil)
			return nil, nil, errOwnerChanged
		}
		permit.Target = target
		return permit, nil, nil
	case kindBusy:
		return nil, nil, nil
	case kindRefused:
		var refused refuseMessage
		if err := codec.Unmarshal(reply.Head, &refused); err != nil {
			return nil, nil, Error.New("decode refusal: %w", err)
		}
		return nil, &admit.Refusal{Reason: refused.Reason, RetryAfter: refused.RetryAfter}, nil
	default:
		return nil, nil, Error.New("unexpected reply %q from the primary", reply.Kind)
	}
}

// RecordLimit records, before Release, that the upstream answered and which rate limit
// it named: the requests per second that it takes from all hosts together, or 0.
func (permit *Permit) RecordLimit(perSecond float64) {
	client, owner := permit.client, permit.Target.Owner
	permit.answered, permit.limit = true, perSecond
	if client.local.RecordLimit(permit.job.Service, owner, perSecond, permit.startedAt) {
		client.log.WithField("upstream", owner.ID).WithField("service", permit.job.Service).WithField("perSecond", perSecond).
			Info(logPrefix + "upstream changed its rate limit")
	}
}

// Release returns the permit and records the request's result and the load that
// the upstream reported, if any.
func (permit *Permit) Release(result admit.Result, load *admit.Load) {
	client := permit.client
	if result == admit.ResultMisplaced && permit.job.Keyed {
		client.local.RecordMisplaced(permit.job, permit.Target.Owner)
	}
	if permit.ticket != nil {
		permit.ticket.Release(result, load)
		return
	}
	if result == admit.ResultFailed {
		client.local.RecordFailure(permit.Target.Owner, permit.job.Service)
	}
	if result == admit.ResultAnswered {
		client.local.RecordAnswer(permit.Target.Owner, permit.job, client.clock.Now().Sub(permit.startedAt), load)
	}
	client.release(permit.primary, doneMessage{
		Number: permit.number, Result: result, Load: encodeLoad(load), Answered: permit.answered, Limit: permit.limit,
		Reporter: client.self,
	}, permit.job.Deadline)
}
