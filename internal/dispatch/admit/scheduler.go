// Package admit implements admission control and load balancing on an entry
// host: it decides which requests go to which upstream, which wait in a queue,
// and which are refused. It uses no network and reads the time only from the
// clock that is passed in.
package admit

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

const (
	// minWorkTenths is the part of an upstream's latency, in tenths, that must be
	// left before the deadline for a request to be sent at all.
	minWorkTenths = 6
	// goalWorkTenths is the part that must be left before the goal, if the answer
	// should arrive before it.
	goalWorkTenths = 12
	// minRetryAfter is the shortest delay after which callers are told to retry.
	minRetryAfter = 100 * time.Millisecond
	// ownerPollInterval is how often a request whose key has no owner checks again.
	ownerPollInterval = 30 * time.Millisecond
	// ownerRetryAfter is the retry delay for callers whose key has no owner: about
	// the heartbeat interval of an upstream.
	ownerRetryAfter = 400 * time.Millisecond
	// misplacedBackoff is how long requests for a span wait after its owner answered that
	// it does not hold the key. It doubles with each such answer in a row, up to
	// maxMisplacedBackoff: an owner learns of its keys with its next heartbeat, and requests
	// that are sent before are turned away again.
	misplacedBackoff    = 150 * time.Millisecond
	maxMisplacedBackoff = 600 * time.Millisecond
	// overloadWindow is how long a refusal counts as a sign of overload.
	overloadWindow = time.Second
	// maxQueued bounds the requests that wait at one host for one service.
	maxQueued = 512
	// retryRatio is the fraction of requests that may be retried.
	retryRatio = 0.17
	// maxRetryBurst is the number of unused retries that a host may accumulate for a service,
	// unless the hosts are so many that SetRetryBurst lowers it.
	maxRetryBurst = 4.0
)

// service is the scheduler's state for one service.
type service struct {
	table     spans.Table
	upstreams map[spans.Owner]*upstream
	// unsettled holds the spans that their owner does not serve at the moment, by
	// first key.
	unsettled map[uint16]unsettled
	// waiters are the queued requests, ordered by priority and then by arrival.
	waiters []*waiter
	// retryTokens is the balance of the retry budget.
	retryTokens float64
	// returns is when the next caller that is refused because of a rate limit should come
	// back, for each group of upstreams.
	returns map[queueKey]time.Time
	// overloadedAt is when a request was last refused because of a long queue.
	overloadedAt time.Time
	// changed is closed and replaced by each update of targets and key owners.
	changed chan struct{}
	// groups holds the slots of each group of upstreams, by data centre.
	groups map[string][]int
}

// Scheduler tracks the load of all upstreams and the requests that wait for them.
// It is safe for concurrent use.
type Scheduler struct {
	dataCentre string
	// exclusive is set if all requests to the upstreams go through this scheduler,
	// so that concurrency windows need no adaptation.
	exclusive bool
	clock     clockwork.Clock
	// LimitShare, if set, returns the part of the rate limit of an upstream that this
	// scheduler admits, so that the parts of all schedulers keep within the users' bound.
	// It must be set before the scheduler is used.
	LimitShare func(target Target) float64

	mutex    sync.Mutex
	services map[string]*service
	// hosts is the number of entry hosts, 0 if it is unknown.
	hosts int
	// retryBurst is set by SetRetryBurst, 0 for maxRetryBurst.
	retryBurst float64
	// drainDeadlines holds the DrainDeadline of upstreams that said that they leave.
	drainDeadlines map[spans.Owner]time.Time
	arrivals       uint64
	random         *rand.Rand
}

// NewScheduler returns an empty scheduler for an entry host in the data centre.
func NewScheduler(dataCentre string, clock clockwork.Clock, seed uint64) *Scheduler {
	return &Scheduler{
		dataCentre: dataCentre, clock: clock, services: map[string]*service{},
		random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // for load balancing, not for security
	}
}

// NewExclusiveScheduler returns an empty exclusive scheduler, for the host that is the
// primary of some upstreams: all requests to them go through it.
func NewExclusiveScheduler(clock clockwork.Clock, seed uint64) *Scheduler {
	scheduler := NewScheduler("", clock, seed)
	scheduler.exclusive = true
	return scheduler
}

// Update replaces the targets of a service and the owners of its keys.
func (scheduler *Scheduler) Update(name string, targets []Target, table spans.Table) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	state := scheduler.service(name)
	before := state.table.Version
	state.table = table
	state.markUnsettled(before, now)
	present := map[spans.Owner]*upstream{}
	for _, target := range targets {
		target.hash = xxhash.Sum64String(target.Owner.ID)
		listedDraining := target.Draining
		target = scheduler.withDrainDeadline(target)
		current, ok := state.upstreams[target.Owner]
		if ok {
			current.setTarget(target, now)
			scheduler.updateLimitShare(current)
		} else {
			current = newUpstream(target, now, scheduler.exclusive)
		}
		current.listedDraining = listedDraining
		present[target.Owner] = current
	}
	state.upstreams = present
	state.updateGroups()
	maps.DeleteFunc(state.returns, func(_ queueKey, at time.Time) bool { return at.Before(now) })
	close(state.changed)
	state.changed = make(chan struct{})
	scheduler.dispatch(state, now)
}

// Owner waits until the owner of the requested key serves it, and returns that
// upstream and a channel that closes when the owner may have changed.
func (scheduler *Scheduler) Owner(ctx context.Context, job Job) (Target, <-chan struct{}, *Refusal) {
	timer := scheduler.clock.NewTimer(job.Deadline.Sub(scheduler.clock.Now()) - scheduler.minWork(job.Service))
	defer timer.Stop()
	for {
		scheduler.mutex.Lock()
		state, now := scheduler.service(job.Service), scheduler.clock.Now()
		upstream, changed := scheduler.candidate(state, job, now, false), state.changed
		settles := state.untilSettled(job, now)
		latest := job.Deadline.Add(-state.minLatency() * minWorkTenths / 10)
		scheduler.mutex.Unlock()
		switch {
		case upstream != nil:
			return upstream.target, changed, nil
		case now.Add(settles).After(latest):
			return Target{}, nil, &Refusal{Reason: ReasonNoOwner, RetryAfter: max(minRetryAfter, settles)}
		}
		select {
		case <-changed:
		case <-scheduler.clock.After(ownerPollInterval):
		case <-ctx.Done():
			return Target{}, nil, &Refusal{Reason: ReasonCallerLeft, RetryAfter: minRetryAfter}
		case <-timer.Chan():
			return Target{}, nil, &Refusal{Reason: ReasonNoOwner, RetryAfter: ownerRetryAfter}
		}
	}
}

func (scheduler *Scheduler) service(name string) *service {
	found, ok := scheduler.services[name]
	if !ok {
		found = &service{
			changed:   make(chan struct{}),
			upstreams: map[spans.Owner]*upstream{}, unsettled: map[uint16]unsettled{}, retryTokens: scheduler.burstOfRetries(),
		}
		scheduler.services[name] = found
	}
	return found
}

// ownerOf returns the upstream that a keyed request must go to.
func (service *service) ownerOf(job Job) spans.Owner {
	if job.Owner != (spans.Owner{}) {
		return job.Owner
	}
	return service.table.Find(job.Key).Owner
}

// candidate returns the upstream to send to: the owner of the key or, for a
// request without a key, the upstream with the lowest expected latency. If
// available is set, only upstreams that can take a request now are considered.
func (scheduler *Scheduler) candidate(state *service, job Job, now time.Time, available bool) *upstream {
	if job.Keyed {
		owner := state.servingOwner(job, now, available)
		if owner != nil && owner.takes(job, now, false) {
			return owner
		}
		return nil
	}
	var best *upstream
	var bestCost time.Duration
	warm := state.anyUpstream(func(option *upstream) bool {
		return !option.target.Cold && !option.target.Draining && job.matchesVersion(option.target)
	})
	for _, option := range state.upstreams {
		target := option.target
		if !job.eligible(target) || warm && target.Cold || !option.takes(job, now, available) {
			continue
		}
		cost := option.expectedLatency(now) + scheduler.dataCentrePenalty(target)
		if target.Silent && now.Sub(option.lastAnswerAt) > time.Second {
			cost += maxBackoff
		}
		if best == nil || cost < bestCost || cost == bestCost && scheduler.random.IntN(2) == 0 {
			best, bestCost = option, cost
		}
	}
	return best
}

// takes reports whether the upstream may get the request, now if available is set.
func (upstream *upstream) takes(job Job, now time.Time, available bool) bool {
	return (!available || upstream.available(now)) && (!job.own || upstream.own.used == 0)
}

// servingOwner returns the owner of the requested key, or nil if it does not
// serve the key at the moment.
func (service *service) servingOwner(job Job, now time.Time, available bool) *upstream {
	owner, ok := service.upstreams[service.ownerOf(job)]
	switch {
	case service.untilSettled(job, now) > 0, !ok, owner.target.Draining && now.After(owner.target.DrainDeadline), available && !owner.available(now):
		return nil
	}
	return owner
}

func (service *service) anyUpstream(matches func(*upstream) bool) bool {
	for _, candidate := range service.upstreams {
		if matches(candidate) {
			return true
		}
	}
	return false
}

func (scheduler *Scheduler) dataCentrePenalty(target Target) time.Duration {
	if scheduler.exclusive || target.DataCentre == scheduler.dataCentre {
		return 0
	}
	return crossDataCentrePenalty
}

// unsettled marks a span that its owner does not serve at the moment: it has not
// learned of the assignment yet, or no longer holds the span.
type unsettled struct {
	fence uint64
	until time.Time
	// backoff is the latest wait after the owner turned requests away, 0 before.
	backoff time.Duration
}

// untilSettled returns how long a request without a named owner has to wait until the
// owner of its key is expected to serve it, 0 if it may be sent.
func (service *service) untilSettled(job Job, now time.Time) time.Duration {
	if !job.Keyed || job.Owner != (spans.Owner{}) {
		return 0
	}
	span := service.table.Find(job.Key)
	mark, marked := service.unsettled[span.From]
	if !marked || mark.fence != span.Fence {
		return 0
	}
	return max(0, mark.until.Sub(now))
}

// markUnsettled marks the spans that were assigned after the given table version,
// for the time that their new owners need to learn of it.
func (service *service) markUnsettled(version uint64, now time.Time) {
	maps.DeleteFunc(service.unsettled, func(_ uint16, mark unsettled) bool {
		return now.After(mark.until.Add(maxMisplacedBackoff))
	})
	if version == 0 {
		return
	}
	for _, span := range service.table.Spans {
		if span.Fence > version && span.Settle > 0 {
			service.unsettled[span.From] = unsettled{fence: span.Fence, until: now.Add(span.Settle)}
		}
	}
}

// recordMisplaced records that an upstream does not own the key of a request, and
// holds back requests for that span. Requests that were sent before the span was held back
// do not prolong the wait.
func (service *service) recordMisplaced(ticket *Ticket, now time.Time) {
	span := service.table.Find(ticket.job.Key)
	if !ticket.job.Keyed || span.Owner != ticket.Target.Owner {
		return
	}
	mark := service.unsettled[span.From]
	if mark.fence != span.Fence {
		mark = unsettled{fence: span.Fence}
	}
	if now.Before(mark.until) {
		return
	}
	mark.backoff = min(max(misplacedBackoff, 2*mark.backoff), maxMisplacedBackoff)
	mark.until = now.Add(mark.backoff)
	service.unsettled[span.From] = mark
}

// recordPlaced records that an upstream answered a request for a key, so that it holds the
// span.
func (service *service) recordPlaced(job Job, owner spans.Owner) {
	if len(service.unsettled) == 0 || !job.Keyed {
		return
	}
	if span := service.table.Find(job.Key); span.Owner == owner {
		delete(service.unsettled, span.From)
	}
}
