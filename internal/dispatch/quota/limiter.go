package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// MaxWait bounds how long a request waits for a token before it is refused.
	MaxWait = 300 * time.Millisecond
	// takeoverMaxWait bounds the wait while the allocator moves to another host and
	// just after, when the new allocator's bucket is still empty.
	takeoverMaxWait = 1200 * time.Millisecond
	// overloadDelay is how long a backlog must last to count as an overload, during
	// which requests wait at most overloadMaxWait.
	overloadDelay   = time.Second
	overloadMaxWait = 40 * time.Millisecond
	// maxWaiting bounds the requests of a workspace that wait for tokens on one host.
	maxWaiting    = 512
	borrowTimeout = 250 * time.Millisecond
	// prefetchWindow is the time span whose expected demand is borrowed in advance.
	prefetchWindow = 20 * time.Millisecond
	// idleTimeout is the time without demand after which tokens are returned.
	idleTimeout       = 50 * time.Millisecond
	minBorrowInterval = 2 * time.Millisecond
	limiterInboxSize  = 1024
	tickInterval      = 25 * time.Millisecond
	// demandSmoothing is the weight of the latest interval in the moving average of
	// the demand.
	demandSmoothing = 0.2
)

// BorrowFunc sends a request for tokens to the workspace's current allocator.
type BorrowFunc func(ctx context.Context, borrowrequest BorrowRequest) BorrowResponse

// Decision is a limiter's decision on a request.
type Decision struct {
	Granted bool
	// Unavailable is set if no allocator responded, so that it is unknown whether
	// the workspace is over its rate.
	Unavailable bool
	RetryAfter  time.Duration
}

// batch holds the unspent tokens of a loan.
type batch struct {
	loan      uint64
	count     int
	expiresAt time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	reply    chan Decision
	arrived  time.Time
	deadline time.Time
	// takeoverDeadline replaces deadline while the allocator moves to another host.
	takeoverDeadline time.Time
}

func newWaiter(now time.Time, limit time.Duration) waiter {
	return waiter{
		reply: make(chan Decision, 1), arrived: now, deadline: now.Add(min(limit, MaxWait)), takeoverDeadline: now.Add(min(limit, takeoverMaxWait)),
	}
}

// Limiter enforces a workspace's rate on one entry host, with tokens that it borrows
// from the workspace's allocator. All fields after done are accessed only by its
// goroutine.
type Limiter struct {
	host      string
	workspace string
	borrow    BorrowFunc
	clock     clockwork.Clock
	inbox     chan waiter
	results   chan borrowResult
	stop      chan struct{}
	done      chan struct{}

	batches       []batch
	waiting       []waiter
	borrowing     bool
	nextBorrowAt  time.Time
	lastArrivalAt time.Time
	retryAfter    time.Duration
	unavailable   bool
	// unavailableAt is when a request for tokens last found no current allocator.
	unavailableAt time.Time
	// backlogSince is when the current backlog began, or zero if there is none. Since
	// then, at any time, a request was waiting or the last one was refused.
	backlogSince time.Time
	// demand is the moving average of the requests per second.
	demand float64
	// arrivals counts the requests since measuredAt.
	arrivals   int
	measuredAt time.Time
	// spentLoans are the loans spent since the last report.
	spentLoans []LoanReport
}

// borrowResult is the allocator's response and the time of the request.
type borrowResult struct {
	response BorrowResponse
	sentAt   time.Time
}

// NewLimiter returns a limiter and starts its goroutine.
func NewLimiter(host, workspace string, borrow BorrowFunc, clock clockwork.Clock) *Limiter {
	limiter := newLimiter(host, workspace, borrow, clock)
	go limiter.run()
	return limiter
}

// newLimiter returns a limiter without starting its goroutine.
func newLimiter(host, workspace string, borrow BorrowFunc, clock clockwork.Clock) *Limiter {
	return &Limiter{
		host: host, workspace: workspace, borrow: borrow, clock: clock,
		inbox: make(chan waiter, limiterInboxSize), results: make(chan borrowResult, 1),
		stop: make(chan struct{}), done: make(chan struct{}),
		measuredAt: clock.Now(),
	}
}

// Acquire takes a token. It waits at most as long as limit, and at most MaxWait or, during
// a takeover of the allocator's shard, takeoverMaxWait.
func (limiter *Limiter) Acquire(ctx context.Context, limit time.Duration) Decision {
	waiter := newWaiter(limiter.clock.Now(), limit)
	select {
	case limiter.inbox <- waiter:
	case <-ctx.Done():
		return Decision{Unavailable: true}
	case <-limiter.done:
		return Decision{Unavailable: true}
	}
	select {
	case decision := <-waiter.reply:
		return decision
	case <-limiter.done:
		return Decision{Unavailable: true}
	}
}

func (limiter *Limiter) run() {
	defer close(limiter.done)
	for {
		timer := limiter.clock.NewTimer(limiter.sleepTime())
		select {
		case <-limiter.stop:
			timer.Stop()
			limiter.returnTokens()
			return
		case waiter := <-limiter.inbox:
			limiter.enqueue(waiter)
		case result := <-limiter.results:
			limiter.receive(result)
		case <-timer.Chan():
		}
		timer.Stop()
		limiter.serveWaiters()
		limiter.replenish()
	}
}

// sleepTime returns how long the goroutine may sleep.
func (limiter *Limiter) sleepTime() time.Duration {
	if len(limiter.waiting) == 0 && len(limiter.batches) == 0 {
		return time.Second
	}
	wait := tickInterval
	if len(limiter.waiting) > 0 && !limiter.borrowing {
		wait = min(wait, max(minBorrowInterval, limiter.nextBorrowAt.Sub(limiter.clock.Now())))
	}
	return wait
}

func (limiter *Limiter) enqueue(waiter waiter) {
	now := limiter.clock.Now()
	limiter.lastArrivalAt = now
	limiter.arrivals++
	limiter.updateDemand(now)
	if len(limiter.waiting) >= maxWaiting {
		waiter.reply <- Decision{RetryAfter: max(limiter.retryAfter, MaxWait)}
		return
	}
	limiter.waiting = append(limiter.waiting, waiter)
}

// updateDemand updates the average demand in tokens per second.
func (limiter *Limiter) updateDemand(now time.Time) {
	elapsed := now.Sub(limiter.measuredAt)
	if elapsed < tickInterval {
		return
	}
	sample := float64(limiter.arrivals) / elapsed.Seconds()
	limiter.demand += demandSmoothing * (sample - limiter.demand)
	limiter.arrivals = 0
	limiter.measuredAt = now
}

// serveWaiters grants tokens to waiting requests in order of arrival, and refuses
// those whose deadline has passed.
func (limiter *Limiter) serveWaiters() {
	now := limiter.clock.Now()
	limiter.dropExpired(now)
	satisfied := false
	for len(limiter.waiting) > 0 {
		waiter := limiter.waiting[0]
		switch {
		case limiter.spend():
			waiter.reply <- Decision{Granted: true}
			satisfied = true
		case !now.Before(limiter.deadline(waiter, now)):
			waiter.reply <- Decision{Unavailable: limiter.unavailable, RetryAfter: max(limiter.retryAfter, minBorrowInterval)}
			satisfied = false
		default:
			if limiter.backlogSince.IsZero() {
				limiter.backlogSince = now
			}
			return
		}
		limiter.waiting = limiter.waiting[1:]
	}
	if satisfied {
		// The queue is empty and its last request got a token.
		limiter.backlogSince = time.Time{}
	}
}

// deadline returns the time until which a request waits for a token. During a
// sustained overload waiting avoids no refusals and only adds latency.
func (limiter *Limiter) deadline(waiter waiter, now time.Time) time.Time {
	if now.Sub(limiter.unavailableAt) < takeoverMaxWait && !limiter.unavailableAt.IsZero() {
		return waiter.takeoverDeadline
	}
	if !limiter.backlogSince.IsZero() && now.Sub(limiter.backlogSince) >= overloadDelay {
		return waiter.arrived.Add(overloadMaxWait)
	}
	return waiter.deadline
}

// dropExpired drops tokens whose loan has expired.
func (limiter *Limiter) dropExpired(now time.Time) {
	for len(limiter.batches) > 0 && !now.Before(limiter.batches[0].expiresAt) {
		limiter.batches = limiter.batches[1:]
	}
}

// spend spends a token of the oldest loan, or returns false if there is none.
func (limiter *Limiter) spend() bool {
	if len(limiter.batches) == 0 {
		return false
	}
	oldest := &limiter.batches[0]
	oldest.count--
	if oldest.count == 0 {
		limiter.spentLoans = append(limiter.spentLoans, LoanReport{Loan: oldest.loan})
		limiter.batches = limiter.batches[1:]
	}
	return true
}

// tokens returns the number of unspent tokens.
func (limiter *Limiter) tokens() int {
	total := 0
	for _, batch := range limiter.batches {
		total += batch.count
	}
	return total
}

// replenish borrows tokens for the waiting requests and for the demand expected
// within prefetchWindow, or returns the unspent tokens if there is no demand.
func (limiter *Limiter) replenish() {
	now := limiter.clock.Now()
	if limiter.borrowing {
		return
	}
	idle := now.Sub(limiter.lastArrivalAt) >= idleTimeout
	if len(limiter.waiting) == 0 && idle && (len(limiter.batches) > 0 || len(limiter.spentLoans) > 0) {
		limiter.send(limiter.report(true), now)
		limiter.batches = nil
		return
	}
	want := len(limiter.waiting)
	if reserve := int(limiter.demand * prefetchWindow.Seconds()); !idle && limiter.tokens() < reserve {
		want += reserve - limiter.tokens()
	}
	if want == 0 || now.Before(limiter.nextBorrowAt) {
		return
	}
	borrowrequest := limiter.report(false)
	borrowrequest.Want = want
	limiter.send(borrowrequest, now)
}

// report returns a request that reports to the allocator what is left of each loan.
func (limiter *Limiter) report(returned bool) BorrowRequest {
	borrowrequest := BorrowRequest{Host: limiter.host, Workspace: limiter.workspace, Held: limiter.spentLoans}
	for _, batch := range limiter.batches {
		borrowrequest.Held = append(borrowrequest.Held, LoanReport{Loan: batch.loan, Unspent: float64(batch.count), Returned: returned})
	}
	return borrowrequest
}

func (limiter *Limiter) send(borrowrequest BorrowRequest, now time.Time) {
	limiter.borrowing = true
	limiter.spentLoans = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		borrowresponse := limiter.borrow(ctx, borrowrequest)
		select {
		case limiter.results <- borrowResult{response: borrowresponse, sentAt: now}:
		case <-limiter.done:
		}
	}()
}

func (limiter *Limiter) receive(result borrowResult) {
	now := limiter.clock.Now()
	limiter.borrowing = false
	borrowresponse := result.response
	limiter.unavailable = borrowresponse.Refusal != ""
	if limiter.unavailable {
		limiter.unavailableAt = now
	}
	limiter.retryAfter = borrowresponse.RetryAfter
	limiter.nextBorrowAt = now
	if borrowresponse.Count == 0 {
		limiter.nextBorrowAt = now.Add(min(max(borrowresponse.RetryAfter, minBorrowInterval), tickInterval))
		return
	}
	// The TTL counts from the request, which precedes the loan.
	limiter.batches = append(limiter.batches, batch{loan: borrowresponse.Loan, count: borrowresponse.Count, expiresAt: result.sentAt.Add(LoanTTL)})
}

// returnTokens returns all unspent tokens when the limiter is closed.
func (limiter *Limiter) returnTokens() {
	if len(limiter.batches) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	limiter.borrow(ctx, limiter.report(true))
}

// Close returns the tokens and stops the goroutine.
func (limiter *Limiter) Close() {
	close(limiter.stop)
	<-limiter.done
}

// Limiters holds the limiters of a host, one per workspace.
type Limiters struct {
	Host        string
	Borrow      BorrowFunc
	Clock       clockwork.Clock
	mutex       sync.Mutex
	byWorkspace map[string]*Limiter
}

// Get returns the workspace's limiter, and creates it if there is none.
func (limiters *Limiters) Get(workspace string) *Limiter {
	limiters.mutex.Lock()
	defer limiters.mutex.Unlock()
	limiter, ok := limiters.byWorkspace[workspace]
	if !ok {
		limiter = NewLimiter(limiters.Host, workspace, limiters.Borrow, limiters.Clock)
		if limiters.byWorkspace == nil {
			limiters.byWorkspace = map[string]*Limiter{}
		}
		limiters.byWorkspace[workspace] = limiter
	}
	return limiter
}

// Close closes all limiters.
func (limiters *Limiters) Close() {
	limiters.mutex.Lock()
	defer limiters.mutex.Unlock()
	for _, limiter := range limiters.byWorkspace {
		limiter.Close()
	}
	limiters.byWorkspace = nil
}
