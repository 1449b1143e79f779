package admit

import (
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// Done gives the ticket back and notes how the request ended. The load is what
// the upstream reported with its answer, if it did.
func (ticket *Ticket) Done(result Result, load *Load) {
	board := ticket.board
	board.mutex.Lock()
	defer board.mutex.Unlock()
	now := board.clock.Now()
	known := board.service(ticket.Target.Service)
	entry, ok := known.upstreams[ticket.Target.Owner]
	if !ok {
		return
	}
	entry.end(ticket, now)
	entry.noteLoad(now, load)
	switch result {
	case ResultAnswered:
		took := now.Sub(ticket.started)
		entry.answered(now, took, load)
		entry.noteWork(took, load)
	case ResultErred:
		entry.erred(now)
	case ResultShed:
		entry.shed(now)
	case ResultFailed:
		entry.failed(now)
		if !board.exact {
			entry.failures++
		}
	case ResultMisplaced:
		known.misplaced(ticket, now)
	case ResultLeft:
	}
	board.pump(known, now)
}

// Work is what requests to an upstream took, how many it failed, and how many got
// no answer.
type Work struct {
	Total  time.Duration
	Count  int
	Erred  int
	Failed int
}

// Add returns the sum of both.
func (work Work) Add(other Work) Work {
	return Work{
		Total: work.Total + other.Total, Count: work.Count + other.Count,
		Erred: work.Erred + other.Erred, Failed: work.Failed + other.Failed,
	}
}

// Work returns what requests to each upstream took since the last call.
func (board *Board) Work() map[string]Work {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	report := map[string]Work{}
	for _, known := range board.services {
		for owner, entry := range known.upstreams {
			if entry.workCount+entry.errors+entry.failures > 0 {
				report[owner.ID] = Work{
					Total: entry.work.Round(time.Millisecond), Count: entry.workCount,
					Erred: entry.errors, Failed: entry.failures,
				}
				entry.work, entry.workCount, entry.errors, entry.failures = 0, 0, 0, 0
			}
		}
	}
	return report
}

// Target returns what is known of an upstream.
func (board *Board) Target(name string, owner spans.Owner) (Target, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, known := board.service(name).upstreams[owner]
	if !known {
		return Target{}, false
	}
	return entry.target, true
}

// Misplaced notes that the owner of a key turned out not to hold it.
func (board *Board) Misplaced(ask Ask, owner spans.Owner) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	known := board.service(ask.Service)
	known.misplaced(&Ticket{Target: Target{Owner: owner}, ask: ask}, board.clock.Now())
}

// Learn notes how a request ended for which another board had given the ticket.
// That board reports the work.
func (board *Board) Learn(owner spans.Owner, name string, took time.Duration, load *Load) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.service(name).upstreams[owner]; ok {
		entry.noteLoad(board.clock.Now(), load)
		entry.answered(board.clock.Now(), took, load)
	}
}

// Places returns the data centres of the upstreams that requests without a key
// may go to, each once.
func (board *Board) Places(name string) []string {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var places []string
	for _, entry := range board.service(name).upstreams {
		if !entry.target.Leaving && !slices.Contains(places, entry.target.DataCentre) {
			places = append(places, entry.target.DataCentre)
		}
	}
	return places
}

// Failed notes that a request got no answer for which another board had given the
// ticket. That board leaves the report of the failure to this one, whose host
// saw it.
func (board *Board) Failed(owner spans.Owner, name string) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.service(name).upstreams[owner]; ok {
		entry.failed(board.clock.Now())
		entry.failures++
	}
}

// Count counts a request for a service towards the budget of repeats.
func (board *Board) Count(name string) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	known := board.service(name)
	known.retries = min(known.retries+retryRatio, retryBurst)
}

// MayRepeat takes a repeat from the budget.
func (board *Board) MayRepeat(name string) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	known := board.service(name)
	if known.retries < 1 {
		return false
	}
	known.retries--
	return true
}
