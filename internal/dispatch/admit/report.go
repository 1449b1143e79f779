package admit

import (
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// Release returns the ticket and records the request's result. The load is what
// the upstream reported with its answer, or nil.
func (ticket *Ticket) Release(result Result, load *Load) {
	scheduler := ticket.scheduler
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	state := scheduler.service(ticket.Target.Service)
	upstream := ticket.upstream
	if state.upstreams[ticket.Target.Owner] != upstream {
		return // it has been removed, and may have been entered again
	}
	upstream.end(ticket, now)
	upstream.recordLoad(now, load)
	switch result {
	case ResultAnswered:
		state.recordPlaced(ticket.job, ticket.Target.Owner)
		took := now.Sub(ticket.started)
		upstream.recordAnswer(now, took, load)
		upstream.recordWork(took, load)
	case ResultErred:
		upstream.recordError(now)
	case ResultShed:
		upstream.recordShed(now)
	case ResultFailed:
		upstream.recordFailure(now)
		if !scheduler.exclusive {
			upstream.failures++
		}
	case ResultUnreached:
		if !scheduler.exclusive { // other hosts get their tickets elsewhere
			upstream.recordFailure(now)
		}
	case ResultMisplaced:
		state.recordMisplaced(ticket, now)
	case ResultLeft:
	}
	scheduler.dispatch(state, now)
}

// RequestStats sums up the requests to an upstream: the total time and the number
// of those it answered successfully, how many it answered with an error, and how
// many got no answer.
type RequestStats struct {
	Total  time.Duration
	Count  int
	Erred  int
	Failed int
	// Limit is the rate limit that the upstream names, in requests per second, 0 if none.
	Limit float64
}

// Add returns the sum of requeststats and other, field by field, with the larger limit.
func (requeststats RequestStats) Add(other RequestStats) RequestStats {
	return RequestStats{
		Total: requeststats.Total + other.Total, Count: requeststats.Count + other.Count,
		Erred: requeststats.Erred + other.Erred, Failed: requeststats.Failed + other.Failed,
		Limit: max(requeststats.Limit, other.Limit),
	}
}

// TakeStats returns the time and the counts of requests to each upstream since the
// last call, by upstream ID, and resets them. Upstreams without any are left out.
func (scheduler *Scheduler) TakeStats() map[string]RequestStats {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	report := map[string]RequestStats{}
	for _, state := range scheduler.services {
		for owner, upstream := range state.upstreams {
			if upstream.workCount+upstream.errors+upstream.failures > 0 {
				report[owner.ID] = RequestStats{
					Total: upstream.work.Round(time.Millisecond), Count: upstream.workCount,
					Erred: upstream.errors, Failed: upstream.failures, Limit: upstream.limit.perSecond,
				}
				upstream.work, upstream.workCount, upstream.errors, upstream.failures = 0, 0, 0, 0
			}
		}
	}
	return report
}

// Target returns the service's target for the given upstream, if there is one.
func (scheduler *Scheduler) Target(name string, owner spans.Owner) (Target, bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	upstream, ok := scheduler.service(name).upstreams[owner]
	if !ok {
		return Target{}, false
	}
	return upstream.target, true
}

// RecordMisplaced records that the owner of a key answered that it does not hold
// the key.
func (scheduler *Scheduler) RecordMisplaced(job Job, owner spans.Owner) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state := scheduler.service(job.Service)
	state.recordMisplaced(&Ticket{Target: Target{Owner: owner}, job: job}, scheduler.clock.Now())
}

// RecordAnswer records the latency and load of an answered request whose ticket
// another scheduler granted. That scheduler reports the work.
func (scheduler *Scheduler) RecordAnswer(owner spans.Owner, job Job, took time.Duration, load *Load) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state := scheduler.service(job.Service)
	state.recordPlaced(job, owner)
	if upstream, ok := state.upstreams[owner]; ok {
		upstream.recordLoad(scheduler.clock.Now(), load)
		upstream.recordAnswer(scheduler.clock.Now(), took, load)
	}
}

// Waiting returns the number of requests of all services that wait for their tickets.
func (scheduler *Scheduler) Waiting() int {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	waiting := 0
	for _, state := range scheduler.services {
		waiting += len(state.waiters)
	}
	return waiting
}

// DataCentres returns the distinct data centres of the upstreams that requests
// without a key may go to.
func (scheduler *Scheduler) DataCentres(name string) []string {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	var dataCentres []string
	for _, upstream := range scheduler.service(name).upstreams {
		if !upstream.target.Draining && !slices.Contains(dataCentres, upstream.target.DataCentre) {
			dataCentres = append(dataCentres, upstream.target.DataCentre)
		}
	}
	return dataCentres
}

// RecordFailure records that a request whose ticket another scheduler granted got
// no answer. This scheduler reports the failure, because its host observed it; the
// other one does not.
func (scheduler *Scheduler) RecordFailure(owner spans.Owner, name string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if upstream, ok := scheduler.service(name).upstreams[owner]; ok {
		upstream.recordFailure(scheduler.clock.Now())
		upstream.failures++
	}
}

// AddRetryBudget adds a request's share to the service's retry budget.
func (scheduler *Scheduler) AddRetryBudget(name string) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state := scheduler.service(name)
	state.retryTokens = min(state.retryTokens+retryRatio, scheduler.burstOfRetries())
}

// SetRetryBurst limits the unused retries that this host may accumulate for a service, so that
// those of all hosts together stay within the users' bound.
func (scheduler *Scheduler) SetRetryBurst(burst float64) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.retryBurst = burst
	for _, state := range scheduler.services {
		state.retryTokens = min(state.retryTokens, scheduler.burstOfRetries())
	}
}

func (scheduler *Scheduler) burstOfRetries() float64 {
	if scheduler.retryBurst == 0 {
		return maxRetryBurst
	}
	return min(scheduler.retryBurst, maxRetryBurst)
}

// TakeRetry takes one retry from the service's retry budget and reports whether there was
// one, and how many are left.
func (scheduler *Scheduler) TakeRetry(name string) (left float64, ok bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state := scheduler.service(name)
	if state.retryTokens < 1 {
		return state.retryTokens, false
	}
	state.retryTokens--
	return state.retryTokens, true
}

// Backoff returns how long the ticket's upstream gets no requests after its latest
// failure, 0 if it has answered since.
func (ticket *Ticket) Backoff() time.Duration {
	ticket.scheduler.mutex.Lock()
	defer ticket.scheduler.mutex.Unlock()
	return ticket.upstream.backoff
}
