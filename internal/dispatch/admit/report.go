package admit

import (
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// Release releases the ticket and records the request's result. The load is what the
// upstream reported with its answer, or nil.
func (ticket *Ticket) Release(result Result, load *Load) {
	scheduler := ticket.board
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.clock.Now()
	state := scheduler.service(ticket.Target.Service)
	upstream, ok := state.upstreams[ticket.Target.Owner]
	if !ok {
		return
	}
	upstream.end(ticket, now)
	upstream.recordLoad(now, load)
	switch result {
	case ResultAnswered:
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
	case ResultMisplaced:
		state.recordMisplaced(ticket, now)
	case ResultLeft:
	}
	scheduler.dispatch(state, now)
}

// RequestStats sums up the requests to an upstream: the total time and the number of those
// answered, how many the upstream answered with an error, and how many got no
// answer.
type RequestStats struct {
	Total  time.Duration
	Count  int
	Erred  int
	Failed int
}

// Add returns the sum of work and other.
func (requeststats RequestStats) Add(other RequestStats) RequestStats {
	return RequestStats{
		Total: requeststats.Total + other.Total, Count: requeststats.Count + other.Count,
		Erred: requeststats.Erred + other.Erred, Failed: requeststats.Failed + other.Failed,
	}
}

// TakeStats returns the work of each upstream, by its ID, since the last call, and
// resets the counts.
func (scheduler *Scheduler) TakeStats() map[string]RequestStats {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	report := map[string]RequestStats{}
	for _, state := range scheduler.services {
		for owner, upstream := range state.upstreams {
			if upstream.workCount+upstream.errors+upstream.failures > 0 {
				report[owner.ID] = RequestStats{
					Total: upstream.work.Round(time.Millisecond), Count: upstream.workCount,
					Erred: upstream.errors, Failed: upstream.failures,
				}
				upstream.work, upstream.workCount, upstream.errors, upstream.failures = 0, 0, 0, 0
			}
		}
	}
	return report
}

// Target returns the target of a service that is the given upstream, if there is
// one.
func (scheduler *Scheduler) Target(name string, owner spans.Owner) (Target, bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	upstream, ok := scheduler.service(name).upstreams[owner]
	if !ok {
		return Target{}, false
	}
	return upstream.target, true
}

// RecordMisplaced records that the owner of a key answered that it does not hold it.
func (scheduler *Scheduler) RecordMisplaced(job Job, owner spans.Owner) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state := scheduler.service(job.Service)
	state.recordMisplaced(&Ticket{Target: Target{Owner: owner}, ask: job}, scheduler.clock.Now())
}

// RecordAnswer records the latency and load of an answered request whose ticket another
// board granted. The work is reported by that board.
func (scheduler *Scheduler) RecordAnswer(owner spans.Owner, name string, took time.Duration, load *Load) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if upstream, ok := scheduler.service(name).upstreams[owner]; ok {
		upstream.recordLoad(scheduler.clock.Now(), load)
		upstream.recordAnswer(scheduler.clock.Now(), took, load)
	}
}

// DataCentres returns the distinct data centres of the upstreams that requests without
// a key may go to.
func (scheduler *Scheduler) DataCentres(name string) []string {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	var places []string
	for _, upstream := range scheduler.service(name).upstreams {
		if !upstream.target.Draining && !slices.Contains(places, upstream.target.DataCentre) {
			places = append(places, upstream.target.DataCentre)
		}
	}
	return places
}

// RecordFailure records that a request whose ticket another board granted got no answer.
// The failure is reported by this board, whose host observed it, and not by the
// other one.
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
	state.retryTokens = min(state.retryTokens+retryRatio, retryBurst)
}

// TakeRetry takes one retry from the service's retry budget, or returns false if
// the budget is used up.
func (scheduler *Scheduler) TakeRetry(name string) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	state := scheduler.service(name)
	if state.retryTokens < 1 {
		return false
	}
	state.retryTokens--
	return true
}
