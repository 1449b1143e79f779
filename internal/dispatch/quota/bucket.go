// Package quota enforces each workspace's rate and burst across all hosts. One
// allocator per workspace owns the token bucket, and the limiters of the entry hosts
// borrow tokens from it in small batches.
package quota

import (
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("quota")

const (
	// LoanTTL is how long a limiter may spend lent tokens, counted from its request.
	LoanTTL = 250 * time.Millisecond
	// clockDriftMargin is added to LoanTTL on the allocator's side, since clocks run
	// at different speeds.
	clockDriftMargin = 20 * time.Millisecond
	// maxLoanFraction is the fraction of the burst that may be on loan at any time, so
	// that a new allocator knows how much the previous one may have lent.
	maxLoanFraction = 0.5
	// epochShift is the number of low bits in a loan's ID that count the loans of one
	// allocator. The other bits are the epoch of its shard.
	epochShift = 32
)

// loan is a batch of tokens that was lent to a host's limiter.
type loan struct {
	host string
	id   uint64
	// unspent is an upper bound of the tokens that the limiter may still spend.
	unspent   float64
	expiresAt time.Time
}

// bucket is a token bucket that accounts for lent tokens until they are spent,
// returned or expired: the level plus the unspent loans never exceeds the burst.
// Therefore the tokens spent in any window never exceed the rate times the window's
// length plus the burst. It is not safe for concurrent use.
type bucket struct {
	perSecond float64
	burst     float64
	level     float64
	filledAt  time.Time
	loans     []loan
	// reserve is the number of tokens that a previous allocator may have lent.
	reserve          float64
	reserveExpiresAt time.Time
	nextLoan         uint64
}

// newBucket returns an empty bucket, since a previous allocator may just have lent
// tokens. The IDs of its loans begin with the epoch of the allocator's shard: late
// reports on the previous allocator's loans must match none of them.
func newBucket(epoch uint64, perSecond, burst float64, now time.Time) *bucket {
	bucket := &bucket{perSecond: perSecond, burst: burst, filledAt: now, nextLoan: epoch << epochShift}
	bucket.reserve = bucket.loanLimit()
	bucket.reserveExpiresAt = now.Add(LoanTTL + clockDriftMargin)
	return bucket
}

// loanLimit returns the maximum number of tokens on loan.
func (bucket *bucket) loanLimit() float64 {
	return max(1, bucket.burst*maxLoanFraction)
}

// outstanding returns the number of tokens that limiters may still spend.
func (bucket *bucket) outstanding() float64 {
	total := bucket.reserve
	for _, loan := range bucket.loans {
		total += loan.unspent
	}
	return total
}

// advance refills the bucket, and drops spent loans and those that have expired.
// Loans are ordered by expiry, and each one limits the level until it expires.
func (bucket *bucket) advance(now time.Time) {
	if bucket.reserve > 0 && !now.Before(bucket.reserveExpiresAt) {
		bucket.refill(bucket.reserveExpiresAt)
		bucket.reserve = 0
	}
	bucket.loans = slices.DeleteFunc(bucket.loans, func(loan loan) bool { return loan.unspent <= 0 })
	for len(bucket.loans) > 0 && !now.Before(bucket.loans[0].expiresAt) {
		bucket.refill(bucket.loans[0].expiresAt)
		bucket.loans = bucket.loans[1:]
	}
	bucket.refill(now)
}

// refill refills the bucket for the time up to now, in which the loans did not change.
func (bucket *bucket) refill(now time.Time) {
	gained := bucket.perSecond * max(0, now.Sub(bucket.filledAt).Seconds())
	bucket.filledAt = now
	bucket.level = max(0, min(bucket.level+gained, bucket.burst-bucket.outstanding()))
}

// setRate applies a new rate and burst immediately.
func (bucket *bucket) setRate(perSecond, burst float64, now time.Time) {
	bucket.advance(now)
	bucket.perSecond = perSecond
	bucket.burst = burst
	bucket.advance(now)
}

// updateLoan records what a limiter has left of a loan. Reports may be repeated or
// reordered, so the unspent count never increases.
func (bucket *bucket) updateLoan(host string, id uint64, unspent float64) {
	for position := range bucket.loans {
		loan := &bucket.loans[position]
		if loan.host == host && loan.id == id {
			loan.unspent = max(0, min(loan.unspent, unspent))
		}
	}
}

// returnTokens moves unspent tokens of a loan back into the bucket.
func (bucket *bucket) returnTokens(host string, id uint64, count float64) {
	for position := range bucket.loans {
		loan := &bucket.loans[position]
		if loan.host == host && loan.id == id {
			returned := min(count, loan.unspent)
			loan.unspent -= returned
			bucket.level = min(bucket.level+returned, bucket.burst-bucket.outstanding())
		}
	}
}

// lend lends up to want whole tokens, or returns the estimated time until one is
// available.
func (bucket *bucket) lend(host string, want int, now time.Time) (loan, time.Duration) {
	bucket.advance(now)
	headroom := bucket.loanLimit() - bucket.outstanding()
	count := min(float64(want), float64(int(bucket.level)), float64(int(headroom)))
	if count < 1 {
		return loan{}, bucket.untilNextToken(headroom, now)
	}
	bucket.nextLoan++
	bucket.level -= count
	granted := loan{host: host, id: bucket.nextLoan, unspent: count, expiresAt: now.Add(LoanTTL + clockDriftMargin)}
	bucket.loans = append(bucket.loans, granted)
	return granted, 0
}

// untilNextToken estimates the time until a token can be lent.
func (bucket *bucket) untilNextToken(headroom float64, now time.Time) time.Duration {
	wait := time.Duration(max(0, 1-bucket.level) / bucket.perSecond * float64(time.Second))
	if headroom >= 1 {
		return wait
	}
	expiresAt := bucket.reserveExpiresAt
	for _, loan := range bucket.loans {
		if expiresAt.IsZero() || loan.expiresAt.Before(expiresAt) || !now.Before(expiresAt) {
			expiresAt = loan.expiresAt
		}
	}
	return max(wait, expiresAt.Sub(now))
}
