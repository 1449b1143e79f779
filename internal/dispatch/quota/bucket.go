// Package quota keeps each workspace within its rate and burst over all hosts
// together: one bank per workspace holds the token bucket, and entry hosts
// borrow tokens from it in small batches.
package quota

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("quota")

const (
	// LoanTTL is how long a borrower may use tokens after it asked for them.
	LoanTTL = 250 * time.Millisecond
	// loanMargin is what the bank waits beyond the TTL, for clocks that run at
	// different speeds.
	loanMargin = 20 * time.Millisecond
	// loanShare is the share of the burst that may be out on loan, so that a
	// new bank knows how much an earlier one may have lent.
	loanShare = 0.5
)

// loan is a batch of tokens that a borrower may hold.
type loan struct {
	host string
	id   uint64
	// unspent is the most tokens that the borrower may still use.
	unspent float64
	ends    time.Time
}

// bucket is a token bucket that counts lent tokens until they are spent,
// returned or expired: level and unspent loans together never exceed the
// burst. So in any window no more than rate times its length plus the burst
// are spent. It is not safe for concurrent use.
type bucket struct {
	perSecond float64
	burst     float64
	level     float64
	filledAt  time.Time
	loans     []loan
	// reserve stands for what an earlier bank may have lent.
	reserve     float64
	reserveEnds time.Time
	nextLoan    uint64
}

// newBucket starts empty, since an earlier bank may have lent a moment ago.
func newBucket(perSecond, burst float64, now time.Time) *bucket {
	bucket := &bucket{perSecond: perSecond, burst: burst, filledAt: now}
	bucket.reserve = bucket.loanLimit()
	bucket.reserveEnds = now.Add(LoanTTL + loanMargin)
	return bucket
}

// loanLimit is the number of tokens that may be out on loan.
func (bucket *bucket) loanLimit() float64 {
	return max(1, bucket.burst*loanShare)
}

// outstanding is the number of tokens that borrowers may still spend.
func (bucket *bucket) outstanding() float64 {
	total := bucket.reserve
	for _, loan := range bucket.loans {
		total += loan.unspent
	}
	return total
}

// advance ends loans and fills the bucket.
func (bucket *bucket) advance(now time.Time) {
	if !now.Before(bucket.reserveEnds) {
		bucket.reserve = 0
	}
	var open []loan
	for _, loan := range bucket.loans {
		if now.Before(loan.ends) && loan.unspent > 0 {
			open = append(open, loan)
		}
	}
	bucket.loans = open
	gained := bucket.perSecond * now.Sub(bucket.filledAt).Seconds()
	bucket.filledAt = now
	bucket.level = max(0, min(bucket.level+gained, bucket.burst-bucket.outstanding()))
}

// setRate puts another rate in force at once.
func (bucket *bucket) setRate(perSecond, burst float64, now time.Time) {
	bucket.advance(now)
	bucket.perSecond = perSecond
	bucket.burst = burst
	bucket.advance(now)
}

// report notes what a borrower has left of a loan. Reports may repeat or cross:
// what is left only shrinks.
func (bucket *bucket) report(host string, id uint64, unspent float64) {
	for position := range bucket.loans {
		loan := &bucket.loans[position]
		if loan.host == host && loan.id == id {
			loan.unspent = max(0, min(loan.unspent, unspent))
		}
	}
}

// giveBack takes unused tokens of a loan back into the bucket.
func (bucket *bucket) giveBack(host string, id uint64, count float64) {
	for position := range bucket.loans {
		loan := &bucket.loans[position]
		if loan.host == host && loan.id == id {
			back := min(count, loan.unspent)
			loan.unspent -= back
			bucket.level = min(bucket.level+back, bucket.burst-bucket.outstanding())
		}
	}
}

// lend hands out up to want whole tokens, or says when there will be one.
func (bucket *bucket) lend(host string, want int, now time.Time) (loan, time.Duration) {
	bucket.advance(now)
	room := bucket.loanLimit() - bucket.outstanding()
	count := min(float64(want), float64(int(bucket.level)), float64(int(room)))
	if count < 1 {
		return loan{}, bucket.nextToken(room, now)
	}
	bucket.nextLoan++
	bucket.level -= count
	given := loan{host: host, id: bucket.nextLoan, unspent: count, ends: now.Add(LoanTTL + loanMargin)}
	bucket.loans = append(bucket.loans, given)
	return given, 0
}

// nextToken estimates when the next token can be lent.
func (bucket *bucket) nextToken(room float64, now time.Time) time.Duration {
	wait := time.Duration(max(0, 1-bucket.level) / bucket.perSecond * float64(time.Second))
	if room >= 1 {
		return wait
	}
	ends := bucket.reserveEnds
	for _, loan := range bucket.loans {
		if ends.IsZero() || loan.ends.Before(ends) || !now.Before(ends) {
			ends = loan.ends
		}
	}
	return max(wait, ends.Sub(now))
}
