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
	// takeoverMaxWait bounds the wait while the bank moves to another host and just
	// after, when the new bank is still empty.
	takeoverMaxWait = 1200 * time.Millisecond
	// overloadDelay is how long a backlog must last to count as an overload, during
	// which requests wait at most overloadMaxWait.
	overloadDelay   = time.Second
	overloadMaxWait = 40 * time.Millisecond
	// maxWaiting bounds the requests of a workspace that wait for tokens on one host.
	maxWaiting    = 512
	borrowTimeout = 250 * time.Millisecond
	// prefetchWindow is the time for whose expected demand tokens are borrowed ahead.
	prefetchWindow = 20 * time.Millisecond
	// idleTimeout is the time without demand after which tokens are returned.
	idleTimeout       = 50 * time.Millisecond
	minBorrowInterval = 2 * time.Millisecond
	purseInboxSize    = 1024
	tickInterval      = 25 * time.Millisecond
	// demandSmoothing is the weight of the latest interval in the moving average of
	// the demand.
	demandSmoothing = 0.2
)

// Borrower sends a request for tokens to the bank in charge.
type Borrower func(ctx context.Context, ask Ask) Lent

// Verdict is the rate limiting decision on a request.
type Verdict struct {
	Granted bool
	// Unavailable is set if no bank responded, so that it is unknown whether the
	// workspace is over its rate.
	Unavailable bool
	RetryAfter  time.Duration
}

// batch holds the unspent tokens of a loan.
type batch struct {
	loan    uint64
	count   int
	expires time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	reply    chan Verdict
	arrived  time.Time
	deadline time.Time
	// takeoverDeadline replaces deadline while the bank moves to another host.
	takeoverDeadline time.Time
}

func newWaiter(now time.Time, limit time.Duration) waiter {
	return waiter{
		reply: make(chan Verdict, 1), arrived: now, deadline: now.Add(min(limit, MaxWait)), takeoverDeadline: now.Add(min(limit, takeoverMaxWait)),
	}
}

// Purse holds the tokens that an entry host has borrowed for a workspace. All fields
// after done are accessed only by its goroutine.
type Purse struct {
	host      string
	workspace string
	borrow    Borrower
	clock     clockwork.Clock
	inbox     chan waiter
	results   chan borrowResult
	stop      chan struct{}
	done      chan struct{}

	batches      []batch
	waiting      []waiter
	borrowing    bool
	nextBorrowAt time.Time
	lastTakeAt   time.Time
	retryAfter   time.Duration
	unavailable  bool
	// unavailableAt is when a request for tokens last found no bank in charge.
	unavailableAt time.Time
	// backlogSince is when the current backlog began, zero if there is none. Since then
	// at least one request has been waiting or was refused.
	backlogSince time.Time
	demand       float64
	taken        int
	measuredAt   time.Time
	spentLoans   []Held
}

// borrowResult is the bank's response and the time of the request.
type borrowResult struct {
	lent   Lent
	sentAt time.Time
}

// NewPurse returns a purse and starts its goroutine.
func NewPurse(host, workspace string, borrow Borrower, clock clockwork.Clock) *Purse {
	purse := newPurse(host, workspace, borrow, clock)
	go purse.run()
	return purse
}

// newPurse returns a purse without starting its goroutine.
func newPurse(host, workspace string, borrow Borrower, clock clockwork.Clock) *Purse {
	return &Purse{
		host: host, workspace: workspace, borrow: borrow, clock: clock,
		inbox: make(chan waiter, purseInboxSize), results: make(chan borrowResult, 1),
		stop: make(chan struct{}), done: make(chan struct{}),
		measuredAt: clock.Now(),
	}
}

// Take takes a token. It waits for at most the limit, and for at most MaxWait or,
// around a takeover of the bank, takeoverMaxWait.
func (purse *Purse) Take(ctx context.Context, limit time.Duration) Verdict {
	waiter := newWaiter(purse.clock.Now(), limit)
	select {
	case purse.inbox <- waiter:
	case <-ctx.Done():
		return Verdict{Unavailable: true}
	case <-purse.done:
		return Verdict{Unavailable: true}
	}
	select {
	case verdict := <-waiter.reply:
		return verdict
	case <-purse.done:
		return Verdict{Unavailable: true}
	}
}

func (purse *Purse) run() {
	defer close(purse.done)
	for {
		timer := purse.clock.NewTimer(purse.sleepTime())
		select {
		case <-purse.stop:
			timer.Stop()
			purse.returnTokens()
			return
		case waiter := <-purse.inbox:
			purse.enqueue(waiter)
		case result := <-purse.results:
			purse.receive(result)
		case <-timer.Chan():
		}
		timer.Stop()
		purse.serveWaiters()
		purse.replenish()
	}
}

// sleepTime returns how long the goroutine may sleep.
func (purse *Purse) sleepTime() time.Duration {
	if len(purse.waiting) == 0 && len(purse.batches) == 0 {
		return time.Second
	}
	wait := tickInterval
	if len(purse.waiting) > 0 && !purse.borrowing {
		wait = min(wait, max(minBorrowInterval, purse.nextBorrowAt.Sub(purse.clock.Now())))
	}
	return wait
}

func (purse *Purse) enqueue(waiter waiter) {
	now := purse.clock.Now()
	purse.lastTakeAt = now
	purse.taken++
	purse.updateDemand(now)
	if len(purse.waiting) >= maxWaiting {
		waiter.reply <- Verdict{RetryAfter: max(purse.retryAfter, MaxWait)}
		return
	}
	purse.waiting = append(purse.waiting, waiter)
}

// updateDemand updates the average demand in tokens per second.
func (purse *Purse) updateDemand(now time.Time) {
	elapsed := now.Sub(purse.measuredAt)
	if elapsed < tickInterval {
		return
	}
	sample := float64(purse.taken) / elapsed.Seconds()
	purse.demand += demandSmoothing * (sample - purse.demand)
	purse.taken = 0
	purse.measuredAt = now
}

// serveWaiters grants tokens to waiting requests in order of arrival, and refuses
// those whose deadline has passed.
func (purse *Purse) serveWaiters() {
	now := purse.clock.Now()
	purse.dropExpired(now)
	satisfied := false
	for len(purse.waiting) > 0 {
		waiter := purse.waiting[0]
		switch {
		case purse.spend():
			waiter.reply <- Verdict{Granted: true}
			satisfied = true
		case !now.Before(purse.deadline(waiter, now)):
			waiter.reply <- Verdict{Unavailable: purse.unavailable, RetryAfter: max(purse.retryAfter, minBorrowInterval)}
			satisfied = false
		default:
			if purse.backlogSince.IsZero() {
				purse.backlogSince = now
			}
			return
		}
		purse.waiting = purse.waiting[1:]
	}
	if satisfied {
		// The queue is empty and its last request got a token.
		purse.backlogSince = time.Time{}
	}
}

// deadline returns the time until which a request waits for a token. During a
// sustained overload waiting avoids no refusals and only adds latency.
func (purse *Purse) deadline(waiter waiter, now time.Time) time.Time {
	if now.Sub(purse.unavailableAt) < takeoverMaxWait && !purse.unavailableAt.IsZero() {
		return waiter.takeoverDeadline
	}
	if !purse.backlogSince.IsZero() && now.Sub(purse.backlogSince) >= overloadDelay {
		return waiter.arrived.Add(overloadMaxWait)
	}
	return waiter.deadline
}

// dropExpired drops tokens whose loan has expired.
func (purse *Purse) dropExpired(now time.Time) {
	for len(purse.batches) > 0 && !now.Before(purse.batches[0].expires) {
		purse.batches = purse.batches[1:]
	}
}

func (purse *Purse) spend() bool {
	if len(purse.batches) == 0 {
		return false
	}
	oldest := &purse.batches[0]
	oldest.count--
	if oldest.count == 0 {
		purse.spentLoans = append(purse.spentLoans, Held{Loan: oldest.loan})
		purse.batches = purse.batches[1:]
	}
	return true
}

// tokens returns the number of unspent tokens.
func (purse *Purse) tokens() int {
	total := 0
	for _, batch := range purse.batches {
		total += batch.count
	}
	return total
}

// replenish borrows tokens for the waiting requests and for the demand expected
// within prefetchWindow, or returns the unspent tokens if there is no demand.
func (purse *Purse) replenish() {
	now := purse.clock.Now()
	if purse.borrowing {
		return
	}
	idle := now.Sub(purse.lastTakeAt) >= idleTimeout
	if len(purse.waiting) == 0 && idle && (len(purse.batches) > 0 || len(purse.spentLoans) > 0) {
		purse.send(purse.report(true), now)
		purse.batches = nil
		return
	}
	want := len(purse.waiting)
	if reserve := int(purse.demand * prefetchWindow.Seconds()); !idle && purse.tokens() < reserve {
		want += reserve - purse.tokens()
	}
	if want == 0 || now.Before(purse.nextBorrowAt) {
		return
	}
	ask := purse.report(false)
	ask.Want = want
	purse.send(ask, now)
}

// report returns a request that tells the bank what is left of each loan.
func (purse *Purse) report(returned bool) Ask {
	ask := Ask{Host: purse.host, Workspace: purse.workspace, Held: purse.spentLoans}
	for _, batch := range purse.batches {
		ask.Held = append(ask.Held, Held{Loan: batch.loan, Unspent: float64(batch.count), Returned: returned})
	}
	return ask
}

func (purse *Purse) send(ask Ask, now time.Time) {
	purse.borrowing = true
	purse.spentLoans = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		lent := purse.borrow(ctx, ask)
		select {
		case purse.results <- borrowResult{lent: lent, sentAt: now}:
		case <-purse.done:
		}
	}()
}

func (purse *Purse) receive(result borrowResult) {
	now := purse.clock.Now()
	purse.borrowing = false
	lent := result.lent
	purse.unavailable = lent.Refusal != ""
	if purse.unavailable {
		purse.unavailableAt = now
	}
	purse.retryAfter = lent.RetryAfter
	purse.nextBorrowAt = now
	if lent.Count == 0 {
		purse.nextBorrowAt = now.Add(min(max(lent.RetryAfter, minBorrowInterval), tickInterval))
		return
	}
	// The TTL counts from the request, which precedes the grant.
	purse.batches = append(purse.batches, batch{loan: lent.Loan, count: lent.Count, expires: result.sentAt.Add(LoanTTL)})
}

// returnTokens returns all unspent tokens when the purse is closed.
func (purse *Purse) returnTokens() {
	if len(purse.batches) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	purse.borrow(ctx, purse.report(true))
}

// Close returns the tokens and stops the goroutine.
func (purse *Purse) Close() {
	close(purse.stop)
	<-purse.done
}

// Purses holds the purses of a host by workspace.
type Purses struct {
	Host   string
	Borrow Borrower
	Clock  clockwork.Clock
	mutex  sync.Mutex
	purses map[string]*Purse
}

// Get returns the workspace's purse, and creates it if there is none.
func (purses *Purses) Get(workspace string) *Purse {
	purses.mutex.Lock()
	defer purses.mutex.Unlock()
	purse, ok := purses.purses[workspace]
	if !ok {
		purse = NewPurse(purses.Host, workspace, purses.Borrow, purses.Clock)
		if purses.purses == nil {
			purses.purses = map[string]*Purse{}
		}
		purses.purses[workspace] = purse
	}
	return purse
}

// Close closes all purses.
func (purses *Purses) Close() {
	purses.mutex.Lock()
	defer purses.mutex.Unlock()
	for _, purse := range purses.purses {
		purse.Close()
	}
	purses.purses = nil
}
