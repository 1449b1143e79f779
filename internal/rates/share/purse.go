package share

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// demandFloor is the demand per second below which it counts as none.
	demandFloor = 0.05
	// demandSteps is how finely the demand per second is told.
	demandSteps = 4
	// refusedFor is the shortest time for which a refusal of the leader counts.
	refusedFor = 50 * time.Millisecond
	// askAhead is the demand that a host asks for with a loan.
	askAhead = 300 * time.Millisecond
	// standingStart is the number of tokens with which all hosts together begin to
	// use their standing parts: less than what the users tolerate beyond a rate,
	// since the leader may have lent the whole burst a moment before.
	standingStart = 4.0
)

// Borrow asks the leader for tokens. An error means that it was not reached.
type Borrow func(ctx context.Context, workspace string, wanted float64) (Loan, error)

// account is a host's account of one workspace.
type account struct {
	// lent are tokens of the leader's bucket, until they expire.
	lent      float64
	lentUntil time.Time
	// refusedUntil is until when the leader's last refusal counts.
	refusedUntil time.Time
	// saved are tokens of the standing part, and alone is set while it is in use.
	saved   float64
	savedAt time.Time
	alone   bool
	aloneAt time.Time
	demand  float64
	seen    time.Time
}

// Purse is a host's account of all workspaces' rates. The zero Purse reaches no
// leader, has no standing parts, and refuses whatever is limited.
type Purse struct {
	// Borrow asks the leader for tokens.
	Borrow Borrow

	mutex   sync.Mutex
	parts   Parts
	until   time.Time
	reached time.Time
	number  uint64
	// asked is set where the leader wants to know the parts held.
	asked    bool
	accounts map[string]*account
}

// Take takes a token of a workspace's rate. Where there is none it returns false
// and the time after which there may be one.
func (purse *Purse) Take(ctx context.Context, now time.Time, workspace string, rate Rate) (wait time.Duration, ok bool) {
	if rate.PerSecond <= 0 {
		return 0, true
	}
	wanted, wait, ok := purse.own(now, workspace)
	if ok || wait > 0 {
		return wait, ok
	}
	if wanted > 0 && purse.Borrow != nil {
		if loan, err := purse.Borrow(ctx, workspace, wanted); err == nil {
			return purse.take(now, workspace, loan)
		}
	}
	return purse.standing(now, workspace, rate)
}

// own takes a token that was lent before. Otherwise it returns how many tokens
// to ask for, none where the leader is out of reach, or the rest of a refusal.
func (purse *Purse) own(now time.Time, workspace string) (wanted float64, wait time.Duration, ok bool) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	account := purse.account(workspace, now)
	account.count(now, 1)
	if !now.Before(account.lentUntil) {
		account.lent = 0
	}
	switch {
	case account.lent >= 1:
		account.lent--
		return 0, 0, true
	case now.Before(account.refusedUntil):
		return 0, account.refusedUntil.Sub(now), false
	case now.Sub(purse.reached) > Reach:
		return 0, 0, false
	}
	return max(1, math.Floor(account.demand*askAhead.Seconds())), 0, false
}

// take enters a loan and takes a token of it.
func (purse *Purse) take(now time.Time, workspace string, loan Loan) (time.Duration, bool) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.reached = now
	account := purse.account(workspace, now)
	account.alone = false
	if loan.Tokens < 1 {
		account.refusedUntil = now.Add(refusedFor)
		return max(refusedFor, loan.Wait), false
	}
	account.lend(now, loan.Tokens-1)
	return 0, true
}

// left returns the lent tokens that are not spent yet.
func (account *account) left(now time.Time) float64 {
	if !now.Before(account.lentUntil) {
		return 0
	}
	return account.lent
}

func (account *account) lend(now time.Time, tokens float64) {
	if !now.Before(account.lentUntil) {
		account.lent = 0
	}
	account.lent += tokens
	account.lentUntil = now.Add(LoanTerm)
}

// standing takes a token of the host's own part of the rate.
func (purse *Purse) standing(now time.Time, workspace string, rate Rate) (time.Duration, bool) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	if alone := purse.reached.Add(Reach); now.Before(alone) {
		return alone.Sub(now), false
	}
	if !now.Before(purse.until) {
		return Reach, false
	}
	account := purse.account(workspace, now)
	part := purse.parts[workspace]
	if !account.alone {
		account.alone, account.saved, account.savedAt = true, 0, now
		if now.Sub(account.aloneAt) > Term {
			account.saved, account.aloneAt = standingStart*part, now
		}
	}
	passed := now.Sub(account.savedAt).Seconds()
	account.savedAt = now
	account.saved = min(max(1, standingStart*part, rate.Burst*part), account.saved+passed*rate.PerSecond*part)
	if account.saved >= 1 {
		account.saved--
		return 0, true
	}
	if part <= 0 {
		return Reach, false
	}
	return time.Duration((1 - account.saved) / (rate.PerSecond * part) * float64(time.Second)), false
}

func (purse *Purse) account(workspace string, now time.Time) *account {
	if purse.accounts == nil {
		purse.accounts = map[string]*account{}
	}
	found, ok := purse.accounts[workspace]
	if !ok {
		found = &account{seen: now}
		purse.accounts[workspace] = found
	}
	return found
}

// count keeps the average demand in requests per second.
func (account *account) count(now time.Time, requests float64) {
	passed := now.Sub(account.seen).Seconds() / demandTime.Seconds()
	account.seen = now
	account.demand = account.demand/(1+passed) + requests/demandTime.Seconds()
}

// Report returns what the host says to the control leader.
func (purse *Purse) Report(now time.Time, host string) Report {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	report := Report{Host: host, Got: purse.number, Demand: map[string]float64{}, Need: map[string]float64{}}
	if now.Before(purse.until) {
		report.Left = purse.until.Sub(now)
		if purse.asked {
			report.Held = purse.parts
		}
	}
	for workspace, account := range purse.accounts {
		account.count(now, 0)
		if account.demand > demandFloor {
			report.Demand[workspace] = math.Ceil(account.demand*demandSteps) / demandSteps
		}
		if need := math.Round(account.demand*aheadTime.Seconds() - account.left(now)); need >= 1 {
			report.Need[workspace] = need
		}
	}
	return report
}

// Accept puts a grant in force that answers a report sent at the given time.
func (purse *Purse) Accept(sent, now time.Time, grant Grant) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.reached = now
	purse.asked = grant.Unknown
	if grant.Unknown {
		return
	}
	if grant.Parts != nil {
		purse.parts = grant.Parts
	}
	purse.number = grant.Number
	purse.until = sent.Add(grant.Term)
	for _, account := range purse.accounts {
		account.alone = false
	}
	for workspace, tokens := range grant.Lent {
		purse.account(workspace, now).lend(now, tokens)
	}
}
