package share

import (
	"math"
	"time"
)

const (
	// minRestartTime is the minimum time for which no tokens are spent when all hosts
	// restart: processes have to start and a leader has to be elected.
	minRestartTime = time.Second
	// LoanTerm is how long lent tokens stay valid.
	LoanTerm = 1300 * time.Millisecond
	// newTermFraction is the fraction of the burst with which a new leader starts,
	// since the previous leader may just have lent the whole burst.
	newTermFraction = 0.1
	// overloadBackoff is how much longer refused callers should wait for each multiple
	// of the rate by which the demand exceeds it.
	overloadBackoff = 400 * time.Millisecond
	// maxBackoff is the longest time that refused callers should wait.
	maxBackoff = 2 * time.Second
)

// bucket is the token bucket of one workspace: the part of its rate that no host has a
// share of.
type bucket struct {
	rate       Rate
	tokens     float64
	refilledAt time.Time
	// shared is the sum of the shares that hosts may be using, and demand is the sum of
	// the demand that hosts reported, in requests per second.
	shared, demand float64
}

// capacity returns the most tokens that the bucket holds. The rest of the burst belongs to
// the hosts that have shares.
func (bucket *bucket) capacity() float64 { return max(1, bucket.rate.Burst*(1-bucket.shared)) }

// Rate limits a workspace's requests over all hosts. A PerSecond of 0 is no limit.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Loan is the answer to a host that asks for tokens.
type Loan struct {
	Tokens float64
	// Wait is how long a refused caller should wait before a retry. It is set if no
	// token was lent.
	Wait time.Duration
}

// known returns a workspace's bucket, which is refilled up to an earlier time. A
// workspace whose rate is not known yet has a bucket without tokens.
func (allocator *Allocator) known(now time.Time, workspace string) *bucket {
	if allocator.buckets == nil {
		allocator.buckets = map[string]*bucket{}
	}
	found, ok := allocator.buckets[workspace]
	if !ok {
		found = &bucket{refilledAt: now}
		allocator.buckets[workspace] = found
	}
	return found
}

// bucket returns a workspace's bucket, refilled up to now. A new one starts full
// only if no tokens or shares from an earlier leader can still be in use.
func (allocator *Allocator) bucket(now time.Time, workspace string, rate Rate) *bucket {
	found := allocator.known(now, workspace)
	if found.rate == (Rate{}) {
		found.tokens = rate.Burst * newTermFraction
		switch {
		case !now.Before(allocator.inheritedUntil):
			found.tokens = rate.Burst
		case allocator.allRestarted:
			found.tokens = min(rate.Burst, rate.PerSecond*minRestartTime.Seconds())
		}
	}
	allocator.refill(now, found)
	found.rate = rate
	found.tokens = min(found.tokens, found.capacity())
	return found
}

// refill refills a bucket up to now. It is called before each change of the shares that
// hosts are known to have.
func (allocator *Allocator) refill(now time.Time, bucket *bucket) {
	for bucket.refilledAt.Before(now) {
		until := now
		if known := allocator.inheritedUntil; bucket.refilledAt.Before(known) && known.Before(now) {
			until = known
		}
		passed := until.Sub(bucket.refilledAt).Seconds()
		gained := passed * bucket.rate.PerSecond * allocator.lendable(bucket)
		bucket.tokens = min(bucket.capacity(), bucket.tokens+gained)
		bucket.refilledAt = until
	}
}

// refillAll refills all buckets.
func (allocator *Allocator) refillAll(now time.Time) {
	for _, bucket := range allocator.buckets {
		allocator.refill(now, bucket)
	}
}

// lendable returns the fraction of the rate that no host may be using as its share at the
// time up to which the bucket is refilled. While shares of an earlier leader may be
// unknown, that is what no leader divides into shares.
func (allocator *Allocator) lendable(bucket *bucket) float64 {
	free := max(0, 1-bucket.shared)
	switch {
	case allocator.allKnown || !bucket.refilledAt.Before(allocator.inheritedUntil):
		return free
	case allocator.reserveFree:
		return min(free, 1-maxShared)
	default:
		return 0
	}
}

// Lend lends up to the wanted number of tokens to a host.
func (allocator *Allocator) Lend(now time.Time, workspace string, wanted float64, rate Rate) Loan {
	allocator.expire(now)
	bucket := allocator.bucket(now, workspace, rate)
	if bucket.tokens < 1 {
		return Loan{Wait: bucket.backoff()}
	}
	tokens := max(1, math.Floor(min(wanted, bucket.tokens/2)))
	bucket.tokens -= tokens
	return Loan{Tokens: tokens}
}

// backoff returns how long a refused caller should wait before a retry. It grows
// with the excess of the demand over the rate.
func (bucket *bucket) backoff() time.Duration {
	rate := bucket.rate
	if rate.PerSecond <= 0 {
		return maxBackoff
	}
	next := time.Duration((1 - bucket.tokens) / rate.PerSecond * float64(time.Second))
	excess := max(0, bucket.demand/rate.PerSecond-1)
	return min(maxBackoff, next+time.Duration(excess*float64(overloadBackoff)))
}
