package admit

import (
	"context"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// waiter is a queued request.
type waiter struct {
	ask     Ask
	arrived uint64
	outcome chan outcome
}

// Acquire returns a ticket, at once or after a wait, or a refusal. A request
// that cannot be served in time is refused at once.
func (board *Board) Acquire(ctx context.Context, ask Ask) (*Ticket, *Refusal) {
	waiting, refusal := board.Enqueue(ask)
	if refusal != nil {
		return nil, refusal
	}
	return waiting.Wait(ctx)
}

// Waiting is the handle of a queued request.
type Waiting struct {
	board  *Board
	waiter *waiter
}

// Enqueue adds the request to the queue, or refuses it at once. The request may
// get its ticket before Enqueue returns.
func (board *Board) Enqueue(ask Ask) (*Waiting, *Refusal) {
	waiter, refusal := board.enqueue(ask)
	if refusal != nil {
		return nil, refusal
	}
	return &Waiting{board: board, waiter: waiter}, nil
}

// ExpectedWait estimates how long the request will wait for its ticket.
func (waiting *Waiting) ExpectedWait() time.Duration {
	board := waiting.board
	board.mutex.Lock()
	defer board.mutex.Unlock()
	state := board.service(waiting.waiter.ask.Service)
	ahead := 0
	for _, other := range state.waiters {
		if other == waiting.waiter {
			break
		}
		if state.queueKey(other.ask) == state.queueKey(waiting.waiter.ask) {
			ahead++
		}
	}
	wait, _ := state.expectedWait(waiting.waiter.ask, ahead)
	return wait
}

// Decided returns the ticket or the refusal without blocking, or neither if the
// request is still queued. An outcome is returned only once.
func (waiting *Waiting) Decided() (*Ticket, *Refusal) {
	select {
	case outcome := <-waiting.waiter.outcome:
		return outcome.ticket, outcome.refusal
	default:
		return nil, nil
	}
}

// Withdraw removes the request from the queue. It returns the ticket if one was
// already granted, which the caller must release.
func (waiting *Waiting) Withdraw() *Ticket {
	ticket, _ := waiting.board.withdraw(waiting.waiter, ReasonCallerLeft)
	return ticket
}

// Wait blocks until the request gets a ticket or a refusal, or is too close to
// its deadline to be served.
func (waiting *Waiting) Wait(ctx context.Context) (*Ticket, *Refusal) {
	if ticket, refusal := waiting.Decided(); ticket != nil || refusal != nil {
		return ticket, refusal
	}
	board, ask := waiting.board, waiting.waiter.ask
	timer := board.clock.NewTimer(ask.Deadline.Sub(board.clock.Now()) - board.minWork(ask.Service))
	defer timer.Stop()
	for {
		select {
		case outcome := <-waiting.waiter.outcome:
			return outcome.ticket, outcome.refusal
		case <-ctx.Done():
			return board.withdraw(waiting.waiter, ReasonCallerLeft)
		case <-timer.Chan():
			return board.withdraw(waiting.waiter, ReasonWaited)
		case <-board.clock.After(shedBackoff):
			board.mutex.Lock()
			board.dispatch(board.service(ask.Service), board.clock.Now())
			board.mutex.Unlock()
		}
	}
}

// enqueue inserts the request into the queue in the order of priority, or refuses
// it.
func (board *Board) enqueue(ask Ask) (*waiter, *Refusal) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	state := board.service(ask.Service)
	now := board.clock.Now()
	if len(state.waiters) >= maxQueued {
		return nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: state.minLatency()}
	}
	if ask.Place != "" && board.candidate(state, ask, now, false) == nil {
		return nil, &Refusal{Reason: ReasonNoUpstream, RetryAfter: ownerRetryAfter}
	}
	if refusal := board.checkArrival(state, ask, now); refusal != nil {
		return nil, refusal
	}
	board.arrivals++
	waiting := &waiter{ask: ask, arrived: board.arrivals, outcome: make(chan outcome, 1)}
	position, _ := slices.BinarySearchFunc(state.waiters, waiting, func(left, right *waiter) int {
		if left.ask.Priority != right.ask.Priority {
			return left.ask.Priority - right.ask.Priority
		}
		return -1
	})
	state.waiters = slices.Insert(state.waiters, position, waiting)
	board.dispatch(state, now)
	return waiting, nil
}

// checkArrival refuses a new request that would reach an upstream too late.
func (board *Board) checkArrival(state *service, ask Ask, now time.Time) *Refusal {
	ahead, queueKey := 0, state.queueKey(ask)
	for _, other := range state.waiters {
		if other.ask.Priority > ask.Priority {
			break
		}
		if state.queueKey(other.ask) == queueKey {
			ahead++
		}
	}
	return state.checkDeadline(ask, ahead, now)
}

// queueKey identifies a group of upstreams whose requests wait in one queue.
type queueKey struct {
	owner      spans.Owner
	dataCentre string
}

func (service *service) queueKey(ask Ask) queueKey {
	if ask.Keyed {
		return queueKey{owner: service.ownerOf(ask), dataCentre: ask.Place}
	}
	return queueKey{dataCentre: ask.Place}
}

// checkDeadline refuses a request if so many are ahead of it that its answer
// would arrive after the deadline. During an overload, while requests are being
// refused anyway, the goal is the limit: an upstream that works on late answers
// makes all answers late.
func (service *service) checkDeadline(ask Ask, ahead int, now time.Time) *Refusal {
	wait, work := service.expectedWait(ask, ahead)
	if wait == 0 {
		return nil
	}
	limit, needed := ask.Deadline, work*minWorkTenths/10
	if ask.Goal.Before(limit) && now.Sub(service.overloadedAt) < overloadWindow {
		limit, needed = ask.Goal, work*goalWorkTenths/10
	}
	left := limit.Sub(now)
	if wait+needed <= left {
		return nil
	}
	service.overloadedAt = now
	return &Refusal{Reason: ReasonHopeless, RetryAfter: max(minRetryAfter, wait+work-left)}
}

// expectedWait estimates how long a request waits with the given number of
// requests ahead of it, and the latency of one request. The wait is 0 if an
// upstream has room.
func (service *service) expectedWait(ask Ask, ahead int) (wait, work time.Duration) {
	window, slots, running := 0.0, 0.0, 0.0
	owner := service.ownerOf(ask)
	for id, upstream := range service.upstreams {
		if !ask.Keyed && ask.eligible(upstream.target) || ask.Keyed && id == owner {
			window += max(1, upstream.window)
			slots += upstream.parallelism()
			running += float64(upstream.running)
			work = max(work, upstream.latency())
		}
	}
	if work == 0 || float64(ahead) < window-running {
		return 0, work
	}
	return time.Duration(float64(work) * (float64(ahead) + running - slots + 1) / slots), work
}

// minWork returns the time that must be left before the deadline for a request to
// be worth sending.
func (board *Board) minWork(name string) time.Duration {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.service(name).minLatency() * minWorkTenths / 10
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
func (board *Board) withdraw(waiting *waiter, reason Reason) (*Ticket, *Refusal) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	select {
	case outcome := <-waiting.outcome:
		return outcome.ticket, outcome.refusal
	default:
	}
	state := board.service(waiting.ask.Service)
	state.waiters = slices.DeleteFunc(state.waiters, func(other *waiter) bool { return other == waiting })
	if reason == ReasonWaited && board.candidate(state, waiting.ask, board.clock.Now(), false) == nil {
		reason = ReasonNoUpstream
		if waiting.ask.Keyed {
			reason = ReasonNoOwner
		}
	}
	return nil, &Refusal{Reason: reason, RetryAfter: max(minRetryAfter, state.minLatency())}
}

// dispatch grants tickets to waiting requests, the most urgent first, and refuses
// those that would now be too late because more urgent requests are ahead.
func (board *Board) dispatch(state *service, now time.Time) {
	rest := state.waiters[:0]
	ahead := map[queueKey]int{}
	for _, waiting := range state.waiters {
		if upstream := board.candidate(state, waiting.ask, now, true); upstream != nil {
			ticket := &Ticket{Target: upstream.target, ask: waiting.ask, board: board, started: now}
			upstream.begin(ticket)
			waiting.outcome <- outcome{ticket: ticket}
			continue
		}
		queueKey := state.queueKey(waiting.ask)
		if refusal := state.checkDeadline(waiting.ask, ahead[queueKey], now); refusal != nil {
			waiting.outcome <- outcome{refusal: refusal}
			continue
		}
		ahead[queueKey]++
		rest = append(rest, waiting)
	}
	clear(state.waiters[len(rest):])
	state.waiters = rest
}
