package admit

import (
	"context"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// waiter is a queued request.
type waiter struct {
	job     Job
	arrived uint64
	outcome chan outcome
}

// Acquire returns a ticket, at once or after a wait, or a refusal. A request
// that cannot be served in time is refused at once.
func (scheduler *Scheduler) Acquire(ctx context.Context, job Job) (*Ticket, *Refusal) {
	queuedjob, refusal := scheduler.Enqueue(job)
	if refusal != nil {
		return nil, refusal
	}
	return queuedjob.Wait(ctx)
}

// QueuedJob is the handle of a queued request.
type QueuedJob struct {
	scheduler *Scheduler
	waiter    *waiter
}

// Enqueue adds the request to the queue, or refuses it at once. The request may
// get its ticket before Enqueue returns.
func (scheduler *Scheduler) Enqueue(job Job) (*QueuedJob, *Refusal) {
	waiter, refusal := scheduler.enqueue(job)
	if refusal != nil {
		return nil, refusal
	}
	return &QueuedJob{scheduler: scheduler, waiter: waiter}, nil
}

// ExpectedWait estimates how long the request will wait for its ticket.
func (queuedjob *QueuedJob) ExpectedWait() time.Duration {
	scheduler := queuedjob.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state := scheduler.service(queuedjob.waiter.job.Service)
	ahead := 0
	for _, other := range state.waiters {
		if other == queuedjob.waiter {
			break
		}
		if state.queueKey(other.job) == state.queueKey(queuedjob.waiter.job) {
			ahead++
		}
	}
	wait := state.expectedWait(queuedjob.waiter.job, ahead)
	forToken, _ := state.limitWait(queuedjob.waiter.job, ahead, scheduler.clock.Now())
	return max(wait, forToken)
}

// Poll returns the ticket or the refusal without blocking, or neither if the
// request is still queued. An outcome is returned only once.
func (queuedjob *QueuedJob) Poll() (*Ticket, *Refusal) {
	select {
	case outcome := <-queuedjob.waiter.outcome:
		return outcome.ticket, outcome.refusal
	default:
		return nil, nil
	}
}

// Cancel removes the request from the queue. It returns the ticket if one was
// already granted, which the caller must release.
func (queuedjob *QueuedJob) Cancel() *Ticket {
	ticket, _ := queuedjob.scheduler.withdraw(queuedjob.waiter, ReasonCallerLeft)
	return ticket
}

// Wait blocks until the request gets a ticket or a refusal, or comes too
// close to its deadline to be served.
func (queuedjob *QueuedJob) Wait(ctx context.Context) (*Ticket, *Refusal) {
	if ticket, refusal := queuedjob.Poll(); ticket != nil || refusal != nil {
		return ticket, refusal
	}
	scheduler, job := queuedjob.scheduler, queuedjob.waiter.job
	timer := scheduler.clock.NewTimer(job.Deadline.Sub(scheduler.clock.Now()) - scheduler.minWork(job.Service))
	defer timer.Stop()
	for {
		select {
		case outcome := <-queuedjob.waiter.outcome:
			return outcome.ticket, outcome.refusal
		case <-ctx.Done():
			return scheduler.withdraw(queuedjob.waiter, ReasonCallerLeft)
		case <-timer.Chan():
			return scheduler.withdraw(queuedjob.waiter, ReasonWaited)
		case <-scheduler.clock.After(shedBackoff):
			// An upstream becomes available without an event when its backoff ends or its
			// cold rate allows another request.
			scheduler.mutex.Lock()
			scheduler.dispatch(scheduler.service(job.Service), scheduler.clock.Now())
			scheduler.mutex.Unlock()
		}
	}
}

// enqueue inserts the request into the queue by priority, or refuses it.
func (scheduler *Scheduler) enqueue(job Job) (*waiter, *Refusal) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state := scheduler.service(job.Service)
	now := scheduler.clock.Now()
	if len(state.waiters) >= maxQueued {
		return nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: state.minLatency()}
	}
	if job.DataCentre != "" && scheduler.candidate(state, job, now, false) == nil {
		return nil, &Refusal{Reason: ReasonNoUpstream, RetryAfter: ownerRetryAfter}
	}
	if refusal := scheduler.checkArrival(state, job, now); refusal != nil {
		return nil, refusal
	}
	scheduler.arrivals++
	waiting := &waiter{job: job, arrived: scheduler.arrivals, outcome: make(chan outcome, 1)}
	position, _ := slices.BinarySearchFunc(state.waiters, waiting, func(left, right *waiter) int {
		if left.job.Priority != right.job.Priority {
			return left.job.Priority - right.job.Priority
		}
		return -1
	})
	state.waiters = slices.Insert(state.waiters, position, waiting)
	scheduler.dispatch(state, now)
	return waiting, nil
}

// checkArrival refuses a new request that would reach an upstream too late.
func (scheduler *Scheduler) checkArrival(state *service, job Job, now time.Time) *Refusal {
	ahead, queueKey := 0, state.queueKey(job)
	for _, other := range state.waiters {
		if other.job.Priority > job.Priority {
			break
		}
		if state.queueKey(other.job) == queueKey {
			ahead++
		}
	}
	return state.checkDeadline(job, ahead, now)
}

// queueKey identifies the upstreams that a group of requests waits for.
type queueKey struct {
	owner      spans.Owner
	dataCentre string
	group      Group
	version    string
}

func (service *service) queueKey(job Job) queueKey {
	if job.Keyed {
		return queueKey{owner: service.ownerOf(job), dataCentre: job.DataCentre}
	}
	return queueKey{dataCentre: job.DataCentre, group: job.Group, version: job.Version}
}

// checkDeadline refuses a request if so many are ahead of it that its answer
// would arrive after the deadline. During an overload, while requests are being
// refused anyway, the goal is the limit: an upstream that works on late answers
// makes all answers late.
func (service *service) checkDeadline(job Job, ahead int, now time.Time) *Refusal {
	return service.checkWait(job, service.capacity(job), ahead, now)
}

// checkWait is checkDeadline with the known capacity of the request's upstreams.
func (service *service) checkWait(job Job, capacity capacity, ahead int, now time.Time) *Refusal {
	wait, work := capacity.wait(ahead), capacity.work
	forToken, perSecond := service.limitWait(job, ahead, now)
	if wait == 0 && forToken == 0 {
		return nil
	}
	limit, needed := job.Deadline, work*minWorkTenths/10
	overloaded := now.Sub(service.overloadedAt) < overloadWindow || now.Sub(service.returns[service.queueKey(job)]) < overloadWindow
	if job.Goal.Before(limit) && overloaded {
		limit, needed = job.Goal, work*goalWorkTenths/10
	}
	left := limit.Sub(now)
	switch {
	case max(wait, forToken)+needed <= left:
		return nil
	case forToken >= wait:
		return service.refuseLimited(job, forToken, perSecond, now)
	}
	service.overloadedAt = now
	return &Refusal{Reason: ReasonHopeless, RetryAfter: max(minRetryAfter, wait+work-left)}
}

// expectedWait estimates how long a request waits with the given number of
// requests ahead of it. The wait is 0 if an upstream has room.
func (service *service) expectedWait(job Job, ahead int) time.Duration {
	return service.capacity(job).wait(ahead)
}

// capacity sums up the upstreams that a request may go to, and the requests there.
type capacity struct {
	window, slots, running float64
	// work is the longest latency of a request, 0 if there is no upstream.
	work time.Duration
}

func (service *service) capacity(job Job) capacity {
	var capacity capacity
	for id, upstream := range service.upstreams {
		if service.mayServe(job, id, upstream) {
			capacity.window += max(1, upstream.window)
			capacity.slots += upstream.parallelism()
			capacity.running += float64(upstream.running)
			capacity.work = max(capacity.work, upstream.latency())
		}
	}
	return capacity
}

// wait estimates how long a request waits with the given number of requests ahead of it.
func (capacity capacity) wait(ahead int) time.Duration {
	if capacity.work == 0 || float64(ahead) < capacity.window-capacity.running {
		return 0
	}
	return time.Duration(float64(capacity.work) * (float64(ahead) + capacity.running - capacity.slots + 1) / capacity.slots)
}

// mayServe reports whether the request may go to the upstream: to the owner of its key
// or, without a key, to any that is eligible.
func (service *service) mayServe(job Job, owner spans.Owner, upstream *upstream) bool {
	if job.Keyed {
		return owner == service.ownerOf(job)
	}
	return job.eligible(upstream.target)
}

// minWork returns the time that must be left before the deadline for a request to
// be worth sending.
func (scheduler *Scheduler) minWork(name string) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.service(name).minLatency() * minWorkTenths / 10
}

// minLatency returns the lowest latency among the service's upstreams, at most
// initialLatency.
func (service *service) minLatency() time.Duration {
	shortest := initialLatency
	for _, upstream := range service.upstreams {
		shortest = min(shortest, upstream.latency())
	}
	return shortest
}

// withdraw removes a request from the queue and refuses it. If it was granted a
// ticket or refused in the meantime, that outcome is returned instead.
func (scheduler *Scheduler) withdraw(waiting *waiter, reason Reason) (*Ticket, *Refusal) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	select {
	case outcome := <-waiting.outcome:
		return outcome.ticket, outcome.refusal
	default:
	}
	state := scheduler.service(waiting.job.Service)
	state.waiters = slices.DeleteFunc(state.waiters, func(other *waiter) bool { return other == waiting })
	if reason == ReasonWaited && scheduler.candidate(state, waiting.job, scheduler.clock.Now(), false) == nil {
		reason = ReasonNoUpstream
		if waiting.job.Keyed {
			reason = ReasonNoOwner
		}
	}
	return nil, &Refusal{Reason: reason, RetryAfter: max(minRetryAfter, state.minLatency())}
}

// dispatch grants tickets to waiting requests, the most urgent first, and refuses
// those that would now be too late because more urgent requests are ahead. Requests for
// the same upstreams are alike: only the first one is compared with each upstream.
func (scheduler *Scheduler) dispatch(state *service, now time.Time) {
	if len(state.waiters) == 0 {
		return
	}
	rest := state.waiters[:0]
	ahead, capacities, full := map[queueKey]int{}, map[queueKey]capacity{}, map[queueKey]bool{}
	for _, waiting := range state.waiters {
		queueKey, alike := state.queueKey(waiting.job), waiting.job.alike()
		if !alike || !full[queueKey] {
			if upstream := scheduler.candidate(state, waiting.job, now, true); upstream != nil {
				ticket := &Ticket{Target: upstream.target, upstream: upstream, job: waiting.job, scheduler: scheduler, granted: now, started: now}
				upstream.begin(ticket)
				waiting.outcome <- outcome{ticket: ticket}
				clear(capacities)
				continue
			}
			full[queueKey] = full[queueKey] || alike
		}
		available, known := capacities[queueKey]
		if !alike || !known {
			available = state.capacity(waiting.job)
		}
		if alike {
			capacities[queueKey] = available
		}
		if refusal := state.checkWait(waiting.job, available, ahead[queueKey], now); refusal != nil {
			waiting.outcome <- outcome{refusal: refusal}
			continue
		}
		ahead[queueKey]++
		rest = append(rest, waiting)
	}
	clear(state.waiters[len(rest):])
	state.waiters = rest
}

// alike reports whether all such requests with the same queueKey may go to the same
// upstreams at the same time.
func (job Job) alike() bool {
	return len(job.Avoid) == 0 && (!job.Keyed || job.Owner != (spans.Owner{}))
}
