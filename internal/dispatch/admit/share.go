package admit

import (
	"context"
	"math"
	"time"
)

// ownBurst is the number of requests that a host may send at once to an upstream without a
// permit: all hosts may do so at the same time.
const ownBurst = 1

// ownRounding is the part of a token that counts as none, as times are rounded.
const ownRounding = 1e-6

// ownShare is a host's own share of an upstream's capacity, which it uses while no primary
// replies. The shares of all hosts add up to the upstream's slots. The zero value is full.
type ownShare struct {
	used       float64
	refilledAt time.Time
}

// refill adds the tokens of the time since the last call.
func (ownshare *ownShare) refill(now time.Time, perSecond float64) {
	ownshare.used -= perSecond * now.Sub(ownshare.refilledAt).Seconds()
	if ownshare.used < ownRounding {
		ownshare.used = 0
	}
	ownshare.refilledAt = now
}

// wait returns the time until there is a token again.
func (ownshare *ownShare) wait(perSecond float64) time.Duration {
	missing := ownshare.used + 1 - ownBurst
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / perSecond * float64(time.Second)))
}

// SetHosts sets the number of entry hosts, among which the capacity of upstreams is divided
// while primaries do not reply.
func (scheduler *Scheduler) SetHosts(hosts int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.hosts = hosts
}

// ownRate returns the requests per second that this host may send to an upstream without a
// permit.
func (scheduler *Scheduler) ownRate(upstream *upstream) float64 {
	latency := max(time.Millisecond, upstream.latency())
	return float64(max(1, upstream.target.Slots)) / latency.Seconds() / float64(scheduler.hosts)
}

// AcquireOwn returns a ticket for a request for which no primary grants a permit, within
// this host's share of the capacity of its upstreams. What is beyond it is refused at once:
// the host does not know what other hosts have sent.
func (scheduler *Scheduler) AcquireOwn(ctx context.Context, job Job) (*Ticket, *Refusal) {
	scheduler.mutex.Lock()
	if scheduler.hosts <= 1 {
		scheduler.mutex.Unlock()
		return scheduler.Acquire(ctx, job)
	}
	defer scheduler.mutex.Unlock()
	state, now := scheduler.service(job.Service), scheduler.clock.Now()
	shortest := time.Duration(0)
	for owner, upstream := range state.upstreams {
		if !state.mayServe(job, owner, upstream) {
			continue
		}
		perSecond := scheduler.ownRate(upstream)
		upstream.own.refill(now, perSecond)
		if wait := upstream.own.wait(perSecond); shortest == 0 || wait < shortest {
			shortest = max(wait, time.Nanosecond)
		}
	}
	if shortest == 0 {
		return nil, scheduler.refuseAbsent(job)
	}
	if refusal := scheduler.checkArrival(state, job, now); refusal != nil {
		return nil, refusal
	}
	job.own = true
	upstream := scheduler.candidate(state, job, now, true)
	if upstream == nil {
		return nil, &Refusal{Reason: ReasonOwnShare, RetryAfter: max(minRetryAfter, shortest)}
	}
	upstream.own.used++
	ticket := &Ticket{Target: upstream.target, upstream: upstream, job: job, scheduler: scheduler, granted: now, started: now}
	upstream.begin(ticket)
	return ticket, nil
}

// refuseAbsent refuses a request that no upstream may serve.
func (scheduler *Scheduler) refuseAbsent(job Job) *Refusal {
	if job.Keyed {
		return &Refusal{Reason: ReasonNoOwner, RetryAfter: ownerRetryAfter}
	}
	return &Refusal{Reason: ReasonNoUpstream, RetryAfter: ownerRetryAfter}
}
