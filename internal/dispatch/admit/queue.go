package admit

import (
	"context"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// waiter is a request that waits.
type waiter struct {
	ask     Ask
	arrived uint64
	outcome chan outcome
}

// Acquire returns a ticket, at once or after a wait, or a refusal. A request
// that surely can't be served in time is refused at once.
func (board *Board) Acquire(ctx context.Context, ask Ask) (*Ticket, *Refusal) {
	waiting, refusal := board.Enqueue(ask)
	if refusal != nil {
		return nil, refusal
	}
	return waiting.Wait(ctx)
}

// Waiting is a request's place in the queue.
type Waiting struct {
	board  *Board
	waiter *waiter
}

// Enqueue takes the request in, or refuses it at once.
func (board *Board) Enqueue(ask Ask) (*Waiting, *Refusal) {
	waiter, refusal := board.enqueue(ask)
	if refusal != nil {
		return nil, refusal
	}
	return &Waiting{board: board, waiter: waiter}, nil
}

// ExpectedWait estimates how long the request is going to wait.
func (waiting *Waiting) ExpectedWait() time.Duration {
	board := waiting.board
	board.mutex.Lock()
	defer board.mutex.Unlock()
	known := board.service(waiting.waiter.ask.Service)
	ahead := 0
	for _, other := range known.waiters {
		if other == waiting.waiter {
			break
		}
		if known.queue(other.ask) == known.queue(waiting.waiter.ask) {
			ahead++
		}
	}
	wait, _ := known.expectedWait(waiting.waiter.ask, ahead)
	return wait
}

// Decided returns the ticket or the refusal if the request has got one, else
// neither. An outcome is returned once.
func (waiting *Waiting) Decided() (*Ticket, *Refusal) {
	select {
	case outcome := <-waiting.waiter.outcome:
		return outcome.ticket, outcome.refusal
	default:
		return nil, nil
	}
}

// Withdraw gives up the place, and returns the ticket if there was one already.
func (waiting *Waiting) Withdraw() *Ticket {
	ticket, _ := waiting.board.withdraw(waiting.waiter, ReasonCallerLeft)
	return ticket
}

// Wait waits for the ticket until it would come too late.
func (waiting *Waiting) Wait(ctx context.Context) (*Ticket, *Refusal) {
	if ticket, refusal := waiting.Decided(); ticket != nil || refusal != nil {
		return ticket, refusal
	}
	board, ask := waiting.board, waiting.waiter.ask
	timer := board.clock.NewTimer(ask.Deadline.Sub(board.clock.Now()) - board.leastWork(ask.Service))
	defer timer.Stop()
	for {
		select {
		case outcome := <-waiting.waiter.outcome:
			return outcome.ticket, outcome.refusal
		case <-ctx.Done():
			return board.withdraw(waiting.waiter, ReasonCallerLeft)
		case <-timer.Chan():
			return board.withdraw(waiting.waiter, ReasonWaited)
		case <-board.clock.After(shedPause):
			board.mutex.Lock()
			board.pump(board.service(ask.Service), board.clock.Now())
			board.mutex.Unlock()
		}
	}
}

// enqueue takes the request in, or refuses it.
func (board *Board) enqueue(ask Ask) (*waiter, *Refusal) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	known := board.service(ask.Service)
	now := board.clock.Now()
	if len(known.waiters) >= maxQueue {
		return nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: known.typical()}
	}
	if ask.Place != "" && board.candidate(known, ask, now, false) == nil {
		return nil, &Refusal{Reason: ReasonNoUpstream, RetryAfter: ownerRetryAfter}
	}
	if refusal := board.hopeless(known, ask, now); refusal != nil {
		return nil, refusal
	}
	board.arrivals++
	waiting := &waiter{ask: ask, arrived: board.arrivals, outcome: make(chan outcome, 1)}
	position, _ := slices.BinarySearchFunc(known.waiters, waiting, func(left, right *waiter) int {
		if left.ask.Priority != right.ask.Priority {
			return left.ask.Priority - right.ask.Priority
		}
		return -1
	})
	known.waiters = slices.Insert(known.waiters, position, waiting)
	board.pump(known, now)
	return waiting, nil
}

// hopeless refuses a request whose turn would come too late.
func (board *Board) hopeless(known *service, ask Ask, now time.Time) *Refusal {
	ahead, queue := 0, known.queue(ask)
	for _, other := range known.waiters {
		if other.ask.Priority > ask.Priority {
			break
		}
		if known.queue(other.ask) == queue {
			ahead++
		}
	}
	return known.tooLate(ask, ahead, now)
}

// queue names the upstreams that requests wait for together.
type queue struct {
	owner spans.Owner
	place string
}

func (service *service) queue(ask Ask) queue {
	if ask.Keyed {
		return queue{owner: service.ownerOf(ask), place: ask.Place}
	}
	return queue{place: ask.Place}
}

// tooLate refuses a request if so many are ahead of it that its answer would
// come after the deadline, or, while requests are being refused anyway, after
// the goal: an upstream that works on late answers makes all answers late.
func (service *service) tooLate(ask Ask, ahead int, now time.Time) *Refusal {
	wait, work := service.expectedWait(ask, ahead)
	if wait == 0 {
		return nil
	}
	limit, needed := ask.Deadline, work*leastWorkTenths/10
	if ask.Goal.Before(limit) && now.Sub(service.overloadedAt) < overloadMemory {
		limit, needed = ask.Goal, work*goalWorkTenths/10
	}
	left := limit.Sub(now)
	if wait+needed <= left {
		return nil
	}
	service.overloadedAt = now
	return &Refusal{Reason: ReasonHopeless, RetryAfter: max(leastRetryAfter, wait+work-left)}
}

// expectedWait estimates how long a request waits behind others, and how long
// the upstreams work on one. It returns no wait where there is room.
func (service *service) expectedWait(ask Ask, ahead int) (wait, work time.Duration) {
	window, slots, running := 0.0, 0.0, 0.0
	owner := service.ownerOf(ask)
	for id, entry := range service.upstreams {
		if !ask.Keyed && ask.fits(entry.target) || ask.Keyed && id == owner {
			window += max(1, entry.window)
			slots += entry.slots()
			running += float64(entry.running)
			work = max(work, entry.usual())
		}
	}
	if work == 0 || float64(ahead) < window-running {
		return 0, work
	}
	return time.Duration(float64(work) * (float64(ahead) + running - slots + 1) / slots), work
}

// leastWork is the time that must be left for a request to be worth sending.
func (board *Board) leastWork(name string) time.Duration {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.service(name).typical() * leastWorkTenths / 10
}

// typical returns the shortest typical time of the service's upstreams.
func (service *service) typical() time.Duration {
	least := firstTypical
	for _, entry := range service.upstreams {
		least = min(least, entry.usual())
	}
	return least
}

// withdraw takes a request out that waited in vain. A ticket that was given in
// the same moment is used after all.
func (board *Board) withdraw(waiting *waiter, reason Reason) (*Ticket, *Refusal) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	select {
	case outcome := <-waiting.outcome:
		return outcome.ticket, outcome.refusal
	default:
	}
	known := board.service(waiting.ask.Service)
	known.waiters = slices.DeleteFunc(known.waiters, func(other *waiter) bool { return other == waiting })
	if reason == ReasonWaited && board.candidate(known, waiting.ask, board.clock.Now(), false) == nil {
		reason = ReasonNoUpstream
		if waiting.ask.Keyed {
			reason = ReasonNoOwner
		}
	}
	return nil, &Refusal{Reason: reason, RetryAfter: max(leastRetryAfter, known.typical())}
}

// pump gives tickets to the requests that wait, the most urgent first, and
// refuses those that more urgent ones have pushed back too far.
func (board *Board) pump(known *service, now time.Time) {
	rest := known.waiters[:0]
	ahead := map[queue]int{}
	for _, waiting := range known.waiters {
		if entry := board.candidate(known, waiting.ask, now, true); entry != nil {
			ticket := &Ticket{Target: entry.target, ask: waiting.ask, board: board, started: now}
			entry.begin(ticket)
			waiting.outcome <- outcome{ticket: ticket}
			continue
		}
		queue := known.queue(waiting.ask)
		if refusal := known.tooLate(waiting.ask, ahead[queue], now); refusal != nil {
			waiting.outcome <- outcome{refusal: refusal}
			continue
		}
		ahead[queue]++
		rest = append(rest, waiting)
	}
	clear(known.waiters[len(rest):])
	known.waiters = rest
}
