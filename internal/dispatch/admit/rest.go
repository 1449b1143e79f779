package admit

import (
	"context"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// returnSpread is the time over which callers that were refused because of a rest are told
// to come back.
const returnSpread = 500 * time.Millisecond

// RecordRest records that an upstream wants no requests from this host for a time, and
// reports whether that was not known.
func (scheduler *Scheduler) RecordRest(name string, owner spans.Owner, rest time.Duration) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	upstream, ok := scheduler.service(name).upstreams[owner]
	if !ok {
		return false
	}
	now := scheduler.clock.Now()
	known := now.Before(upstream.restUntil)
	if until := now.Add(rest); until.After(upstream.restUntil) {
		upstream.restUntil = until
	}
	return !known
}

// RestLeft returns how long an upstream wants no requests from this host, 0 if it takes
// them.
func (scheduler *Scheduler) RestLeft(name string, owner spans.Owner) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	upstream, ok := scheduler.service(name).upstreams[owner]
	if !ok {
		return 0
	}
	return upstream.restLeft(scheduler.clock.Now())
}

func (upstream *upstream) restLeft(now time.Time) time.Duration {
	return max(0, upstream.restUntil.Sub(now))
}

// Unwanted returns the upstreams of a service that rest or said to this host that they leave,
// to which it sends no requests without a key. Those that the catalog shows as draining are
// left out: primaries know them, and with many the list fills narrow links.
func (scheduler *Scheduler) Unwanted(name string) []spans.Owner {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	var unwanted []spans.Owner
	now := scheduler.clock.Now()
	for owner, upstream := range scheduler.service(name).upstreams {
		if upstream.restLeft(now) > 0 || upstream.target.Draining && !upstream.listedDraining {
			unwanted = append(unwanted, owner)
		}
	}
	return unwanted
}

// CheckRest refuses a request whose upstreams all rest for too long: the owner of its key
// or, without a key, all that it may go to.
func (scheduler *Scheduler) CheckRest(job Job) *Refusal {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	_, refusal := scheduler.checkRest(job)
	return refusal
}

// checkRest returns how long the request has to wait until one of its upstreams ends its
// rest, or refuses it if that is too late.
func (scheduler *Scheduler) checkRest(job Job) (time.Duration, *Refusal) {
	state, now := scheduler.service(job.Service), scheduler.clock.Now()
	shortest, found := time.Duration(0), false
	for owner, upstream := range state.upstreams {
		if !state.mayServe(job, owner, upstream) {
			continue
		}
		if left := upstream.restLeft(now); !found || left < shortest {
			shortest, found = left, true
		}
	}
	switch {
	case shortest == 0:
		return 0, nil
	case shortest+state.minLatency()*minWorkTenths/10 <= job.Deadline.Sub(now):
		return shortest, nil
	}
	spread := time.Duration(scheduler.random.Int64N(int64(returnSpread)))
	return 0, &Refusal{Reason: ReasonResting, RetryAfter: shortest + spread}
}

// AwaitRest waits until one of the request's upstreams takes requests from this host, or
// changed is closed, and reports whether it has waited. It refuses a request for which
// that would be too late.
func (scheduler *Scheduler) AwaitRest(ctx context.Context, job Job, changed <-chan struct{}) (waited bool, refusal *Refusal) {
	scheduler.mutex.Lock()
	wait, refusal := scheduler.checkRest(job)
	scheduler.mutex.Unlock()
	if wait == 0 || refusal != nil {
		return false, refusal
	}
	timer := scheduler.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-changed:
	case <-ctx.Done():
		return true, &Refusal{Reason: ReasonCallerLeft, RetryAfter: minRetryAfter}
	}
	return true, nil
}
