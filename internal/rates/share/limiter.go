package share

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// demandWindow is the time over which the demand is averaged.
	demandWindow = time.Second
	// minDemand is the lowest demand, in requests per second, that is reported.
	minDemand = 0.05
	// demandSteps is the resolution of reported demand: it is rounded up to multiples
	// of 1/demandSteps requests per second.
	demandSteps = 4
	// minRefusal is how long the leader's refusal is applied without asking again, and
	// the shortest time that a refused caller should wait.
	minRefusal = 50 * time.Millisecond
	// loanWindow is the period whose expected demand a host asks for in one loan.
	loanWindow = 300 * time.Millisecond
	// initialFallbackTokens is the number of tokens with which all hosts together
	// begin to use their shares. It is below the excess over a rate that users
	// tolerate, since the leader may just have lent the whole burst.
	initialFallbackTokens = 4.0
)

// BorrowFunc requests tokens from the leader. An error means that it was not reached.
type BorrowFunc func(ctx context.Context, workspace string, wanted float64) (Loan, error)

// account holds a host's tokens and demand for one workspace.
type account struct {
	// borrowed is the number of unspent tokens borrowed from the leader. They expire at
	// borrowedUntil.
	borrowed      float64
	borrowedUntil time.Time
	// refusedUntil is until when requests are refused without asking the leader again.
	refusedUntil time.Time
	// fallbackTokens are tokens of the host's share, and inFallback is set while the
	// share is in use. initializedAt is when they last started from
	// initialFallbackTokens.
	fallbackTokens float64
	refilledAt     time.Time
	inFallback     bool
	initializedAt  time.Time
	demand         float64
	demandAt       time.Time
}

// Limiter is an entry host's rate limiter for all workspaces. The zero Limiter can't
// reach a leader, has no shares, and refuses all requests of workspaces with a rate.
type Limiter struct {
	// Borrow requests tokens from the leader. It may be nil.
	Borrow BorrowFunc

	mutex       sync.Mutex
	shares      Shares
	sharesUntil time.Time
	lastContact time.Time
	grantNumber uint64
	// reportHeld is set if the leader has asked for the shares that the host has.
	reportHeld bool
	accounts   map[string]*account
}

// Take takes a token of a workspace's rate limit. If there is none, it returns false
// and the time after which there may be one.
func (limiter *Limiter) Take(ctx context.Context, now time.Time, workspace string, rate Rate) (wait time.Duration, ok bool) {
	if rate.PerSecond <= 0 {
		return 0, true
	}
	wanted, wait, ok := limiter.takeBorrowed(now, workspace)
	if ok || wait > 0 {
		return wait, ok
	}
	if wanted > 0 && limiter.Borrow != nil {
		if loan, err := limiter.Borrow(ctx, workspace, wanted); err == nil {
			return limiter.takeFromLoan(now, workspace, loan)
		}
	}
	return limiter.takeFallback(now, workspace, rate)
}

// takeBorrowed takes a token that was borrowed before. Otherwise it returns the
// remaining time of a refusal, or how many tokens to borrow: none if the leader is
// unreachable.
func (limiter *Limiter) takeBorrowed(now time.Time, workspace string) (wanted float64, wait time.Duration, ok bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.account(workspace, now)
	account.updateDemand(now, 1)
	if !now.Before(account.borrowedUntil) {
		account.borrowed = 0
	}
	switch {
	case account.borrowed >= 1:
		account.borrowed--
		return 0, 0, true
	case now.Before(account.refusedUntil):
		return 0, account.refusedUntil.Sub(now), false
	case now.Sub(limiter.lastContact) > LeaderTimeout:
		return 0, 0, false
	}
	return max(1, math.Floor(account.demand*loanWindow.Seconds())), 0, false
}

// takeFromLoan adds a loan to the account and takes a token of it.
func (limiter *Limiter) takeFromLoan(now time.Time, workspace string, loan Loan) (time.Duration, bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.lastContact = now
	account := limiter.account(workspace, now)
	account.inFallback = false
	if loan.Tokens < 1 {
		account.refusedUntil = now.Add(minRefusal)
		return max(minRefusal, loan.Wait), false
	}
	account.addLoan(now, loan.Tokens-1)
	return 0, true
}

// unspent returns the number of borrowed tokens that are neither spent nor expired.
func (account *account) unspent(now time.Time) float64 {
	if !now.Before(account.borrowedUntil) {
		return 0
	}
	return account.borrowed
}

func (account *account) addLoan(now time.Time, tokens float64) {
	if !now.Before(account.borrowedUntil) {
		account.borrowed = 0
	}
	account.borrowed += tokens
	account.borrowedUntil = now.Add(LoanTerm)
}

// takeFallback takes a token of the host's own share of the rate.
func (limiter *Limiter) takeFallback(now time.Time, workspace string, rate Rate) (time.Duration, bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if fallbackAt := limiter.lastContact.Add(LeaderTimeout); now.Before(fallbackAt) {
		return fallbackAt.Sub(now), false
	}
	if !now.Before(limiter.sharesUntil) {
		return LeaderTimeout, false
	}
	account := limiter.account(workspace, now)
	share := limiter.shares[workspace]
	if !account.inFallback {
		account.inFallback, account.fallbackTokens, account.refilledAt = true, 0, now
		if now.Sub(account.initializedAt) > ShareTerm {
			account.fallbackTokens, account.initializedAt = initialFallbackTokens*share, now
		}
	}
	passed := now.Sub(account.refilledAt).Seconds()
	account.refilledAt = now
	account.fallbackTokens = min(max(1, initialFallbackTokens*share, rate.Burst*share), account.fallbackTokens+passed*rate.PerSecond*share)
	if account.fallbackTokens >= 1 {
		account.fallbackTokens--
		return 0, true
	}
	if share <= 0 {
		return LeaderTimeout, false
	}
	return time.Duration((1 - account.fallbackTokens) / (rate.PerSecond * share) * float64(time.Second)), false
}

func (limiter *Limiter) account(workspace string, now time.Time) *account {
	if limiter.accounts == nil {
		limiter.accounts = map[string]*account{}
	}
	found, ok := limiter.accounts[workspace]
	if !ok {
		found = &account{demandAt: now}
		limiter.accounts[workspace] = found
	}
	return found
}

// updateDemand adds requests to the average demand in requests per second.
func (account *account) updateDemand(now time.Time, requests float64) {
	passed := now.Sub(account.demandAt).Seconds() / demandWindow.Seconds()
	account.demandAt = now
	account.demand = account.demand/(1+passed) + requests/demandWindow.Seconds()
}

// Report returns the host's next report to the control leader.
func (limiter *Limiter) Report(now time.Time, host string) Report {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	report := Report{Host: host, Got: limiter.grantNumber, Demand: map[string]float64{}, Need: map[string]float64{}}
	if now.Before(limiter.sharesUntil) {
		report.Left = limiter.sharesUntil.Sub(now)
		if limiter.reportHeld {
			report.Held = limiter.shares
		}
	}
	for workspace, account := range limiter.accounts {
		account.updateDemand(now, 0)
		if account.demand > minDemand {
			report.Demand[workspace] = math.Ceil(account.demand*demandSteps) / demandSteps
		}
		if need := math.Round(account.demand*advanceTime.Seconds() - account.unspent(now)); need >= 1 {
			report.Need[workspace] = need
		}
	}
	return report
}

// ApplyGrant applies the grant that answers a report sent at the given time.
func (limiter *Limiter) ApplyGrant(sent, now time.Time, grant Grant) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.lastContact = now
	limiter.reportHeld = grant.Unknown
	if grant.Unknown {
		return
	}
	if grant.Parts != nil {
		limiter.shares = grant.Parts
	}
	limiter.grantNumber = grant.Number
	limiter.sharesUntil = sent.Add(grant.Term)
	for _, account := range limiter.accounts {
		account.inFallback = false
	}
	for workspace, tokens := range grant.Lent {
		limiter.account(workspace, now).addLoan(now, tokens)
	}
}
