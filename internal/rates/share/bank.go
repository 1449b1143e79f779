package share

import (
	"math"
	"time"
)

const (
	// Reach is the time without an answer of the leader after which a host goes
	// on with its standing part, and after which the leader lends no more of that.
	// Tokens lent ahead bridge most of it.
	Reach = 800 * time.Millisecond
	// restartTime is how long nobody spends tokens at least when all hosts have
	// started anew: processes start and a leader is elected meanwhile.
	restartTime = time.Second
	// LoanTerm is how long lent tokens may be spent.
	LoanTerm = 1300 * time.Millisecond
	// aheadTime is the demand for which a host wants tokens ahead.
	aheadTime = time.Second
	// newTermPart is the part of the burst with which a new leader starts, since
	// the one before may have lent the burst a moment ago.
	newTermPart = 0.1
	// aheadReserve is the part of the burst that is not lent ahead.
	aheadReserve = 0.75
	// overloadPause is how long callers are told to wait for each time that the
	// demand exceeds the rate.
	overloadPause = 400 * time.Millisecond
	// maxPause bounds what callers are told.
	maxPause = 2 * time.Second
)

// bank is the token bucket of one workspace.
type bank struct {
	level float64
	at    time.Time
}

// Rate bounds a workspace over all hosts.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Loan is the answer to a host that asks for tokens.
type Loan struct {
	Tokens float64
	// Wait is how long the host should refuse where it got no token.
	Wait time.Duration
}

// bank returns a workspace's bucket, filled up to the present. A new one starts
// full only where no earlier leader can have lent from it.
func (book *Book) bank(now time.Time, workspace string, rate Rate) *bank {
	if book.banks == nil {
		book.banks = map[string]*bank{}
	}
	found, ok := book.banks[workspace]
	if !ok {
		found = &bank{at: now, level: rate.Burst * newTermPart}
		switch {
		case !now.Before(book.openAt):
			found.level = rate.Burst
		case book.anew:
			found.level = min(rate.Burst, rate.PerSecond*restartTime.Seconds())
		}
		book.banks[workspace] = found
	}
	passed := now.Sub(found.at).Seconds()
	found.at = now
	found.level = min(max(rate.Burst, 1), found.level+passed*rate.PerSecond*book.lendable(now, workspace))
	return found
}

// lendable returns the part of the rate that no host out of reach may be using
// by itself.
func (book *Book) lendable(now time.Time, workspace string) float64 {
	heard, silent := 0.0, 0.0
	for _, account := range book.hosts {
		if now.Sub(account.heardAt) < Reach {
			heard += account.inUse(workspace, now)
		} else {
			silent += account.inUse(workspace, now)
		}
	}
	if now.Before(book.openAt) && !book.allKnown {
		return min(1, heard)
	}
	return max(0, 1-silent)
}

// Lend lends up to the wanted number of tokens to a host.
func (book *Book) Lend(now time.Time, host, workspace string, wanted float64, rate Rate) Loan {
	bank := book.bank(now, workspace, rate)
	if account, known := book.hosts[host]; known {
		account.heardAt = now
	}
	if bank.level < 1 {
		return Loan{Wait: book.pause(bank, workspace, rate)}
	}
	tokens := max(1, math.Floor(min(wanted, bank.level/2)))
	bank.level -= tokens
	return Loan{Tokens: tokens}
}

// pause returns when a refused caller has a chance: sooner the less the demand
// exceeds the rate.
func (book *Book) pause(bank *bank, workspace string, rate Rate) time.Duration {
	if rate.PerSecond <= 0 {
		return maxPause
	}
	demand := 0.0
	for _, account := range book.hosts {
		demand += account.demand[workspace]
	}
	next := time.Duration((1 - bank.level) / rate.PerSecond * float64(time.Second))
	excess := max(0, demand/rate.PerSecond-1)
	return min(maxPause, next+time.Duration(excess*float64(overloadPause)))
}

// ahead lends what a host is expected to need until its next report.
func (book *Book) ahead(now time.Time, need map[string]float64, rates map[string]Rate) map[string]float64 {
	lent := map[string]float64{}
	for workspace, wanted := range need {
		rate, limited := rates[workspace]
		if !limited || rate.PerSecond <= 0 {
			continue
		}
		bank := book.bank(now, workspace, rate)
		tokens := math.Floor(min(wanted, bank.level-rate.Burst*aheadReserve))
		if tokens < 1 {
			continue
		}
		bank.level -= tokens
		lent[workspace] = tokens
	}
	return lent
}
