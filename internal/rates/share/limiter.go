package share

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// demandWindow is the time over which the demand is averaged.
	demandWindow = 5 * time.Second
	// minDemand is the lowest demand, in requests per second, that is reported.
	minDemand = 0.05
	// demandSteps is the resolution of reported demand: it is rounded up to multiples
	// of 1/demandSteps requests per second.
	demandSteps = 4
	// minRefusal and maxRefusal bound how long the lender's refusal is applied without
	// asking again, so that overloaded workspaces do not overload the lender. minRefusal
	// is also the shortest time that a refused caller should wait.
	minRefusal = 50 * time.Millisecond
	maxRefusal = 500 * time.Millisecond
	// extraBurst is added to the burst of which each host keeps its share, since the
	// tokens of a host are of no use to the others. It is below the excess over a rate
	// that users tolerate.
	extraBurst = 16.0
	// minWanted is the least number of tokens that a host asks to be topped up by.
	minWanted = 0.5
	// loanWindow is the period whose expected demand a host asks for in one loan.
	loanWindow = 300 * time.Millisecond
	// minBorrowPause and maxBorrowPause bound how long no tokens are asked for
	// after a request for them had no answer. The pause doubles with each failure.
	minBorrowPause = 100 * time.Millisecond
	maxBorrowPause = 800 * time.Millisecond
)

// BorrowFunc requests tokens from another host. An error means that it was not reached.
type BorrowFunc func(ctx context.Context, workspace string, wanted float64) (Loan, error)

// account holds a host's tokens and demand for one workspace.
type account struct {
	rate Rate
	// borrowed is the number of unspent borrowed tokens. They expire at
	// borrowedUntil.
	borrowed      float64
	borrowedUntil time.Time
	// refusedUntil is until when no tokens are asked for after a refusal, and
	// expectedAt is when the lender expected to have a token again.
	refusedUntil time.Time
	expectedAt   time.Time
	// own are the unspent tokens of the host's share, refilled up to refilledAt.
	own        float64
	refilledAt time.Time
	// surplus are tokens of the share that the host could not keep. The next report
	// returns them to the leader.
	surplus  float64
	demand   float64
	demandAt time.Time
	// loan is closed when the request for tokens that is under way ends; it is nil if
	// there is none. waiting counts the requests that wait for it.
	loan    chan struct{}
	waiting int
}

// take takes a token that the host has.
func (account *account) take(now time.Time) bool {
	switch {
	case account.borrowed >= 1 && now.Before(account.borrowedUntil):
		account.borrowed--
	case account.own >= 1:
		account.own--
	default:
		return false
	}
	return true
}

// refill adds the tokens of the host's share up to now.
func (account *account) refill(now time.Time, share float64, sharesUntil time.Time) {
	passed := now.Sub(account.refilledAt).Seconds()
	account.refilledAt = now
	if !now.Before(sharesUntil) {
		account.own, account.surplus = 0, 0
		return
	}
	account.own += passed * account.rate.PerSecond * share
	account.keep(share)
}

// capacity returns the most tokens that a host with the share keeps.
func (account *account) capacity(share float64) float64 {
	if share <= 0 {
		return 0
	}
	return max(1, (account.rate.Burst+extraBurst)*share)
}

// keep limits the host's own tokens to its capacity. The rest is surplus.
func (account *account) keep(share float64) {
	if capacity := account.capacity(share); account.own > capacity {
		account.surplus += account.own - capacity
		account.own = capacity
	}
}

// takeSurplus removes and returns the tokens to return to the leader.
func (account *account) takeSurplus() float64 {
	tokens := math.Floor(account.surplus*demandSteps) / demandSteps
	account.surplus -= tokens
	return tokens
}

// updateDemand adds requests to the average demand in requests per second.
func (account *account) updateDemand(now time.Time, requests float64) {
	passed := now.Sub(account.demandAt).Seconds() / demandWindow.Seconds()
	account.demandAt = now
	account.demand = account.demand/(1+passed) + requests/demandWindow.Seconds()
}

// Limiter is a host's rate limiter for all workspaces: on an entry host, which borrows
// tokens, or on a control host, which lends them from its shares and borrows the rest. The
// zero Limiter can't borrow, has no shares, and refuses all requests of workspaces with a
// rate.
type Limiter struct {
	// Borrow requests tokens from another host. It may be nil.
	Borrow BorrowFunc
	// Random returns a random number below its argument; nil means that of math/rand/v2.
	Random func(int64) int64

	mutex       sync.Mutex
	shares      Shares
	sharesUntil time.Time
	grantNumber uint64
	// reports counts the reports.
	reports uint64
	// reportHeld is set if the leader has asked for the shares that the host has.
	reportHeld bool
	accounts   map[string]*account
	// borrowAfter is when the leader may be asked for tokens again after it did not
	// answer, and borrowPause is the pause that ends then.
	borrowAfter time.Time
	borrowPause time.Duration
}

// Take takes a token of a workspace's rate limit. If there is none, it returns false
// and the time after which there may be one.
func (limiter *Limiter) Take(ctx context.Context, now time.Time, workspace string, rate Rate) (wait time.Duration, ok bool) {
	if rate.PerSecond <= 0 {
		return 0, true
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	_, wait = limiter.take(ctx, now, workspace, 1, rate)
	return wait, wait == 0
}

// Lend takes up to the wanted number of tokens for another host. It reports false if there are
// none and no more could be borrowed either, so that another host may have some.
func (limiter *Limiter) Lend(ctx context.Context, now time.Time, workspace string, wanted float64, rate Rate) (loan Loan, ok bool) {
	if rate.PerSecond <= 0 {
		return Loan{Tokens: wanted}, true
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account, wait := limiter.take(ctx, now, workspace, wanted, rate)
	if wait > 0 {
		return Loan{Wait: wait}, !now.Before(limiter.borrowAfter)
	}
	tokens := 1.0
	for most := math.Floor(min(wanted-1, (account.own+account.borrowed)/2)); tokens <= most && account.take(now); {
		tokens++
	}
	return Loan{Tokens: tokens}, true
}

// take takes a token and records demand for the wanted number. If there is none, it returns
// the time after which there may be one. The mutex is held before and after.
func (limiter *Limiter) take(ctx context.Context, now time.Time, workspace string, wanted float64, rate Rate) (*account, time.Duration) {
	account := limiter.account(workspace, now)
	account.refill(now, limiter.shares[workspace], limiter.sharesUntil)
	account.rate = rate
	account.updateDemand(now, wanted)
	for {
		switch {
		case account.take(now):
			return account, 0
		case limiter.Borrow == nil, now.Before(limiter.borrowAfter), now.Before(account.refusedUntil), ctx.Err() != nil:
			return account, limiter.refusalTime(account, now, limiter.shares[workspace])
		case account.loan != nil:
			limiter.awaitLoan(ctx, account)
		default:
			limiter.borrow(ctx, now, workspace, account)
		}
	}
}

// awaitLoan waits for the loan that another request asked for. The mutex is held before
// and after.
func (limiter *Limiter) awaitLoan(ctx context.Context, account *account) {
	loan := account.loan
	account.waiting++
	limiter.mutex.Unlock()
	select {
	case <-loan:
	case <-ctx.Done():
	}
	limiter.mutex.Lock()
	account.waiting--
}

// borrow asks the leader for tokens. The mutex is held before and after.
func (limiter *Limiter) borrow(ctx context.Context, now time.Time, workspace string, account *account) {
	wanted := max(float64(account.waiting+1), math.Floor(account.demand*loanWindow.Seconds()))
	done := make(chan struct{})
	account.loan = done
	limiter.mutex.Unlock()
	loan, err := limiter.Borrow(ctx, workspace, wanted)
	limiter.mutex.Lock()
	account.loan = nil
	close(done)
	if err != nil {
		if ctx.Err() == nil {
			limiter.pauseBorrowing(now)
		}
		return
	}
	limiter.borrowPause = 0
	if loan.Tokens < 1 {
		account.expectedAt = now.Add(max(minRefusal, loan.Wait))
		account.refusedUntil = now.Add(min(max(minRefusal, loan.Wait), maxRefusal))
		return
	}
	account.addLoan(now, loan.Tokens)
}

// pauseBorrowing keeps the host from asking for tokens for a while. The pause is random in
// part, so that hosts do not ask at the same time.
func (limiter *Limiter) pauseBorrowing(now time.Time) {
	limiter.borrowPause = min(max(minBorrowPause, 2*limiter.borrowPause), maxBorrowPause)
	random := limiter.Random
	if random == nil {
		random = rand.Int64N //nolint:gosec // spreads load
	}
	limiter.borrowAfter = now.Add(limiter.borrowPause/2 + time.Duration(random(int64(limiter.borrowPause))))
}

// refusalTime returns when a refused caller may find a token: when the host's share has
// one, or when more may be borrowed.
func (limiter *Limiter) refusalTime(account *account, now time.Time, share float64) time.Duration {
	wait := max(account.expectedAt.Sub(now), limiter.borrowAfter.Sub(now))
	if perSecond := account.rate.PerSecond * share; perSecond > 0 && now.Before(limiter.sharesUntil) {
		wait = min(wait, time.Duration((1-account.own)/perSecond*float64(time.Second)))
	}
	return max(minRefusal, wait)
}

// addLoan adds borrowed tokens.
func (account *account) addLoan(now time.Time, tokens float64) {
	if !now.Before(account.borrowedUntil) {
		account.borrowed = 0
	}
	account.borrowed += tokens
	account.borrowedUntil = now.Add(LoanTerm)
}

func (limiter *Limiter) account(workspace string, now time.Time) *account {
	if limiter.accounts == nil {
		limiter.accounts = map[string]*account{}
	}
	found, ok := limiter.accounts[workspace]
	if !ok {
		found = &account{demandAt: now, refilledAt: now}
		limiter.accounts[workspace] = found
	}
	return found
}

// Report returns the host's next report to the control leader. It reports the demand for
// workspaces of which the host sees at least leastDemand requests per second.
func (limiter *Limiter) Report(now time.Time, host string, leastDemand float64) Report {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.reports++
	report := Report{
		Host: host, Standing: true, Sequence: limiter.reports, Got: limiter.grantNumber,
		Demand: map[string]float64{}, Returned: map[string]float64{}, Wanted: map[string]float64{},
	}
	if now.Before(limiter.sharesUntil) {
		report.Left = limiter.sharesUntil.Sub(now)
		if limiter.reportHeld {
			report.Held = limiter.shares
		}
	}
	for workspace, account := range limiter.accounts {
		account.updateDemand(now, 0)
		account.refill(now, limiter.shares[workspace], limiter.sharesUntil)
		if tokens := account.takeSurplus(); tokens > 0 {
			report.Returned[workspace] = tokens
		} else if wanted := account.capacity(limiter.shares[workspace]) - account.own; wanted >= minWanted {
			report.Wanted[workspace] = math.Floor(wanted*demandSteps) / demandSteps
		}
		if account.demand > max(minDemand, leastDemand) {
			report.Demand[workspace] = math.Ceil(account.demand*demandSteps) / demandSteps
		}
	}
	return report
}

// ApplyGrant applies the grant that answers a report sent at the given time.
func (limiter *Limiter) ApplyGrant(sent, now time.Time, grant Grant) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.reportHeld = grant.Unknown
	if grant.Unknown {
		return
	}
	for workspace, account := range limiter.accounts {
		account.refill(now, limiter.shares[workspace], limiter.sharesUntil)
	}
	limiter.grantNumber = grant.Number
	if !grant.Standing {
		limiter.shares, limiter.sharesUntil = nil, time.Time{}
		return
	}
	if grant.Parts != nil {
		limiter.shares = grant.Parts
	}
	limiter.sharesUntil = sent.Add(grant.Term)
	for workspace, tokens := range grant.Tokens {
		limiter.account(workspace, now).own += tokens
	}
	for workspace, account := range limiter.accounts {
		account.keep(limiter.shares[workspace])
	}
}
