package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// MaxWait is how long a request may wait for a token rather than be refused.
	MaxWait = 300 * time.Millisecond
	// takeoverWait is how long it may wait while the bank moves to another host
	// and just after, when the new bank is still empty.
	takeoverWait = 1200 * time.Millisecond
	// overloadTime is how long requests have had to wait for tokens before that
	// counts as an overload, in which they wait no longer than overloadWait.
	overloadTime = time.Second
	overloadWait = 40 * time.Millisecond
	// maxWaiting bounds the requests of one workspace that wait on one host.
	maxWaiting = 512
	askTimeout = 250 * time.Millisecond
	// horizon is the time whose demand one loan covers.
	horizon = 20 * time.Millisecond
	// idleReturn is the time without demand after which tokens are given back.
	idleReturn = 50 * time.Millisecond
	minAskWait = 2 * time.Millisecond
	purseInbox = 1024
	purseTick  = 25 * time.Millisecond
	// demandWeight is the weight of a new interval in the demand's average.
	demandWeight = 0.2
)

// Borrower carries an ask to the bank in charge.
type Borrower func(ctx context.Context, ask Ask) Lent

// Verdict is what becomes of a request's wish for a token.
type Verdict struct {
	Granted bool
	// Unavailable is set where no bank answered, so that it is not known
	// whether the workspace is over its rate.
	Unavailable bool
	RetryAfter  time.Duration
}

// batch is a loan in the purse.
type batch struct {
	loan    uint64
	count   int
	expires time.Time
}

// taker is a request that waits for a token.
type taker struct {
	reply    chan Verdict
	arrived  time.Time
	deadline time.Time
	// last is the deadline that counts around a takeover.
	last time.Time
}

func newTaker(now time.Time, limit time.Duration) taker {
	return taker{
		reply: make(chan Verdict, 1), arrived: now, deadline: now.Add(min(limit, MaxWait)), last: now.Add(min(limit, takeoverWait)),
	}
}

// Purse holds one workspace's borrowed tokens on one entry host. Its task owns
// all fields below inbox.
type Purse struct {
	host      string
	workspace string
	borrow    Borrower
	clock     clockwork.Clock
	inbox     chan taker
	answers   chan answer
	stop      chan struct{}
	done      chan struct{}

	batches  []batch
	waiting  []taker
	asking   bool
	askAfter time.Time
	lastTake time.Time
	retry    time.Duration
	noBank   bool
	// noBankAt is when an ask last found no bank in charge.
	noBankAt time.Time
	// shortSince is since when there was always one that waited in vain.
	shortSince time.Time
	demand     float64
	taken      int
	measured   time.Time
	closed     []Held
}

// answer is the bank's reply and when the ask was sent.
type answer struct {
	lent   Lent
	sentAt time.Time
}

// NewPurse starts a purse.
func NewPurse(host, workspace string, borrow Borrower, clock clockwork.Clock) *Purse {
	purse := newPurse(host, workspace, borrow, clock)
	go purse.run()
	return purse
}

// newPurse returns a purse whose task does not run yet.
func newPurse(host, workspace string, borrow Borrower, clock clockwork.Clock) *Purse {
	return &Purse{
		host: host, workspace: workspace, borrow: borrow, clock: clock,
		inbox: make(chan taker, purseInbox), answers: make(chan answer, 1),
		stop: make(chan struct{}), done: make(chan struct{}),
		measured: clock.Now(),
	}
}

// Take takes a token, and waits for one for a bounded time.
func (purse *Purse) Take(ctx context.Context, limit time.Duration) Verdict {
	wish := newTaker(purse.clock.Now(), limit)
	select {
	case purse.inbox <- wish:
	case <-ctx.Done():
		return Verdict{Unavailable: true}
	case <-purse.done:
		return Verdict{Unavailable: true}
	}
	select {
	case verdict := <-wish.reply:
		return verdict
	case <-purse.done:
		return Verdict{Unavailable: true}
	}
}

func (purse *Purse) run() {
	defer close(purse.done)
	for {
		timer := purse.clock.NewTimer(purse.pause())
		select {
		case <-purse.stop:
			timer.Stop()
			purse.giveBack()
			return
		case wish := <-purse.inbox:
			purse.take(wish)
		case answered := <-purse.answers:
			purse.receive(answered)
		case <-timer.Chan():
		}
		timer.Stop()
		purse.serve()
		purse.ask()
	}
}

// pause is how long the task may sleep.
func (purse *Purse) pause() time.Duration {
	if len(purse.waiting) == 0 && len(purse.batches) == 0 {
		return time.Second
	}
	wait := purseTick
	if len(purse.waiting) > 0 && !purse.asking {
		wait = min(wait, max(minAskWait, purse.askAfter.Sub(purse.clock.Now())))
	}
	return wait
}

func (purse *Purse) take(wish taker) {
	now := purse.clock.Now()
	purse.lastTake = now
	purse.taken++
	purse.measure(now)
	if len(purse.waiting) >= maxWaiting {
		wish.reply <- Verdict{RetryAfter: max(purse.retry, MaxWait)}
		return
	}
	purse.waiting = append(purse.waiting, wish)
}

// measure updates the average demand in tokens per second.
func (purse *Purse) measure(now time.Time) {
	passed := now.Sub(purse.measured)
	if passed < purseTick {
		return
	}
	present := float64(purse.taken) / passed.Seconds()
	purse.demand += demandWeight * (present - purse.demand)
	purse.taken = 0
	purse.measured = now
}

// serve hands tokens to those who wait and refuses whose time is up.
func (purse *Purse) serve() {
	now := purse.clock.Now()
	purse.expire(now)
	satisfied := false
	for len(purse.waiting) > 0 {
		wish := purse.waiting[0]
		switch {
		case purse.spend():
			wish.reply <- Verdict{Granted: true}
			satisfied = true
		case !now.Before(purse.deadline(wish, now)):
			wish.reply <- Verdict{Unavailable: purse.noBank, RetryAfter: max(purse.retry, minAskWait)}
			satisfied = false
		default:
			if purse.shortSince.IsZero() {
				purse.shortSince = now
			}
			return
		}
		purse.waiting = purse.waiting[1:]
	}
	if satisfied {
		// The last one that waited got its token.
		purse.shortSince = time.Time{}
	}
}

// deadline returns until when a request waits for a token. In a lasting
// overload waiting saves nobody and only adds to everyone's time.
func (purse *Purse) deadline(wish taker, now time.Time) time.Time {
	if now.Sub(purse.noBankAt) < takeoverWait && !purse.noBankAt.IsZero() {
		return wish.last
	}
	if !purse.shortSince.IsZero() && now.Sub(purse.shortSince) >= overloadTime {
		return wish.arrived.Add(overloadWait)
	}
	return wish.deadline
}

// expire drops tokens that may no longer be used.
func (purse *Purse) expire(now time.Time) {
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
		purse.closed = append(purse.closed, Held{Loan: oldest.loan})
		purse.batches = purse.batches[1:]
	}
	return true
}

// tokens is the number of tokens at hand.
func (purse *Purse) tokens() int {
	total := 0
	for _, batch := range purse.batches {
		total += batch.count
	}
	return total
}

// ask borrows what waits and what the demand of the next moment needs, or
// gives tokens back that nobody wants.
func (purse *Purse) ask() {
	now := purse.clock.Now()
	if purse.asking {
		return
	}
	idle := now.Sub(purse.lastTake) >= idleReturn
	if len(purse.waiting) == 0 && idle && (len(purse.batches) > 0 || len(purse.closed) > 0) {
		purse.send(purse.report(true), now)
		purse.batches = nil
		return
	}
	want := len(purse.waiting)
	if reserve := int(purse.demand * horizon.Seconds()); !idle && purse.tokens() < reserve {
		want += reserve - purse.tokens()
	}
	if want == 0 || now.Before(purse.askAfter) {
		return
	}
	ask := purse.report(false)
	ask.Want = want
	purse.send(ask, now)
}

// report tells the bank what is left of each loan.
func (purse *Purse) report(returned bool) Ask {
	ask := Ask{Host: purse.host, Workspace: purse.workspace, Held: purse.closed}
	for _, batch := range purse.batches {
		ask.Held = append(ask.Held, Held{Loan: batch.loan, Unspent: float64(batch.count), Returned: returned})
	}
	return ask
}

func (purse *Purse) send(ask Ask, now time.Time) {
	purse.asking = true
	purse.closed = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		lent := purse.borrow(ctx, ask)
		select {
		case purse.answers <- answer{lent: lent, sentAt: now}:
		case <-purse.done:
		}
	}()
}

func (purse *Purse) receive(answered answer) {
	now := purse.clock.Now()
	purse.asking = false
	lent := answered.lent
	purse.noBank = lent.Refusal != ""
	if purse.noBank {
		purse.noBankAt = now
	}
	purse.retry = lent.RetryAfter
	purse.askAfter = now
	if lent.Count == 0 {
		purse.askAfter = now.Add(min(max(lent.RetryAfter, minAskWait), purseTick))
		return
	}
	// The loan counts from when it was asked for, which is before it was given.
	purse.batches = append(purse.batches, batch{loan: lent.Loan, count: lent.Count, expires: answered.sentAt.Add(LoanTTL)})
}

// giveBack returns all tokens when the host stops.
func (purse *Purse) giveBack() {
	if len(purse.batches) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	purse.borrow(ctx, purse.report(true))
}

// Close ends the task.
func (purse *Purse) Close() {
	close(purse.stop)
	<-purse.done
}

// Purses holds a host's purses by workspace.
type Purses struct {
	Host   string
	Borrow Borrower
	Clock  clockwork.Clock
	mutex  sync.Mutex
	purses map[string]*Purse
}

// Get returns the workspace's purse and starts it if needed.
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

// Close ends all purses.
func (purses *Purses) Close() {
	purses.mutex.Lock()
	defer purses.mutex.Unlock()
	for _, purse := range purses.purses {
		purse.Close()
	}
	purses.purses = nil
}
