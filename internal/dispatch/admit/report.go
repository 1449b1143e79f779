package admit

import (
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// Done releases the ticket and records the request's result. The load is what the
// upstream reported with its answer, or nil.
func (ticket *Ticket) Done(result Result, load *Load) {
	board := ticket.board
	board.mutex.Lock()
	defer board.mutex.Unlock()
	now := board.clock.Now()
	state := board.service(ticket.Target.Service)
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
		if !board.exclusive {
			upstream.failures++
		}
	case ResultMisplaced:
		state.recordMisplaced(ticket, now)
	case ResultLeft:
	}
	board.dispatch(state, now)
}

// Work sums up the requests to an upstream: the total time and the number of those
// answered, how many the upstream answered with an error, and how many got no
// answer.
type Work struct {
	Total  time.Duration
	Count  int
	Erred  int
	Failed int
}

// Add returns the sum of work and other.
func (work Work) Add(other Work) Work {
	return Work{
		Total: work.Total + other.Total, Count: work.Count + other.Count,
		Erred: work.Erred + other.Erred, Failed: work.Failed + other.Failed,
	}
}

// Work returns the work of each upstream, by its ID, since the last call, and
// resets the counts.
func (board *Board) Work() map[string]Work {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	report := map[string]Work{}
	for _, state := range board.services {
		for owner, upstream := range state.upstreams {
			if upstream.workCount+upstream.errors+upstream.failures > 0 {
				report[owner.ID] = Work{
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
func (board *Board) Target(name string, owner spans.Owner) (Target, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	upstream, ok := board.service(name).upstreams[owner]
	if !ok {
		return Target{}, false
	}
	return upstream.target, true
}

// Misplaced records that the owner of a key answered that it does not hold it.
func (board *Board) Misplaced(ask Ask, owner spans.Owner) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	state := board.service(ask.Service)
	state.recordMisplaced(&Ticket{Target: Target{Owner: owner}, ask: ask}, board.clock.Now())
}

// Learn records the latency and load of an answered request whose ticket another
// board granted. The work is reported by that board.
func (board *Board) Learn(owner spans.Owner, name string, took time.Duration, load *Load) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if upstream, ok := board.service(name).upstreams[owner]; ok {
		upstream.recordLoad(board.clock.Now(), load)
		upstream.recordAnswer(board.clock.Now(), took, load)
	}
}

// Places returns the distinct data centres of the upstreams that requests without
// a key may go to.
func (board *Board) Places(name string) []string {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var places []string
	for _, upstream := range board.service(name).upstreams {
		if !upstream.target.Leaving && !slices.Contains(places, upstream.target.DataCentre) {
			places = append(places, upstream.target.DataCentre)
		}
	}
	return places
}

// Failed records that a request whose ticket another board granted got no answer.
// The failure is reported by this board, whose host observed it, and not by the
// other one.
func (board *Board) Failed(owner spans.Owner, name string) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if upstream, ok := board.service(name).upstreams[owner]; ok {
		upstream.recordFailure(board.clock.Now())
		upstream.failures++
	}
}

// Count adds a request's share to the service's retry budget.
func (board *Board) Count(name string) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	state := board.service(name)
	state.retryTokens = min(state.retryTokens+retryRatio, retryBurst)
}

// MayRepeat takes one retry from the service's retry budget, or returns false if
// the budget is used up.
func (board *Board) MayRepeat(name string) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	state := board.service(name)
	if state.retryTokens < 1 {
		return false
	}
	state.retryTokens--
	return true
}
