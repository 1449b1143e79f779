package share

import (
	"math"
	"time"
)

const (
	// LeaderTimeout is the time without contact after which a host falls back to its
	// share of the rate, and after which the leader no longer lends tokens from that
	// host's share. Tokens lent in advance bridge most of this time.
	LeaderTimeout = 800 * time.Millisecond
	// minRestartTime is the minimum time for which no tokens are spent when all hosts
	// restart: processes have to start and a leader has to be elected.
	minRestartTime = time.Second
	// LoanTerm is how long lent tokens stay valid.
	LoanTerm = 1300 * time.Millisecond
	// advanceTime is the period whose expected demand a host wants covered by tokens
	// lent in advance.
	advanceTime = time.Second
	// newTermFraction is the fraction of the burst with which a new leader starts,
	// since the previous leader may just have lent the whole burst.
	newTermFraction = 0.1
	// advanceReserve is the fraction of the burst that is not lent in advance.
	advanceReserve = 0.75
	// overloadBackoff is how much longer refused callers should wait for each multiple
	// of the rate by which the demand exceeds it.
	overloadBackoff = 400 * time.Millisecond
	// maxBackoff is the longest time that refused callers should wait.
	maxBackoff = 2 * time.Second
)

// bucket is the token bucket of one workspace.
type bucket struct {
	rate       Rate
	tokens     float64
	refilledAt time.Time
}

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

// bucket returns a workspace's bucket, refilled up to now. A new one starts full
// only if no tokens or shares from an earlier leader can still be in use.
func (allocator *Allocator) bucket(now time.Time, workspace string, rate Rate) *bucket {
	if allocator.buckets == nil {
		allocator.buckets = map[string]*bucket{}
	}
	found, ok := allocator.buckets[workspace]
	if !ok {
		found = &bucket{refilledAt: now, tokens: rate.Burst * newTermFraction}
		switch {
		case !now.Before(allocator.inheritedUntil):
			found.tokens = rate.Burst
		case allocator.allRestarted:
			found.tokens = min(rate.Burst, rate.PerSecond*minRestartTime.Seconds())
		}
		allocator.buckets[workspace] = found
	}
	found.rate = rate
	allocator.refill(now, workspace, found)
	return found
}

// refill refills a bucket up to now, at the fraction of the rate that was lendable at
// each time.
func (allocator *Allocator) refill(now time.Time, workspace string, bucket *bucket) {
	for bucket.refilledAt.Before(now) {
		until := allocator.nextExpiry(bucket.refilledAt, now)
		passed := until.Sub(bucket.refilledAt).Seconds()
		gained := passed * bucket.rate.PerSecond * allocator.lendable(bucket.refilledAt, now, workspace)
		bucket.tokens = min(max(bucket.rate.Burst, 1), bucket.tokens+gained)
		bucket.refilledAt = until
	}
}

// refillAll refills all buckets. It is called before a change of what hosts are known
// to use, since a bucket is refilled by what is known at that time.
func (allocator *Allocator) refillAll(now time.Time) {
	for workspace, bucket := range allocator.buckets {
		allocator.refill(now, workspace, bucket)
	}
}

// nextExpiry returns the earliest time between the two at which shares of unreachable
// hosts or of an earlier leader expire, or now if none do.
func (allocator *Allocator) nextExpiry(since, now time.Time) time.Time {
	next := now
	if since.Before(allocator.inheritedUntil) && allocator.inheritedUntil.Before(next) {
		next = allocator.inheritedUntil
	}
	for _, hoststate := range allocator.hosts {
		if hoststate.reachable(now) {
			continue
		}
		for _, grant := range hoststate.grants {
			if since.Before(grant.until) && grant.until.Before(next) {
				next = grant.until
			}
		}
	}
	return next
}

// lendable returns the fraction of the rate that no host that is unreachable now may
// have been using as its share at the given time. While shares of an earlier leader
// may be unknown, only the shares of reachable hosts are lendable.
func (allocator *Allocator) lendable(at, now time.Time, workspace string) float64 {
	reachable, unreachable := 0.0, 0.0
	for _, hoststate := range allocator.hosts {
		if hoststate.reachable(now) {
			reachable += hoststate.maxInUse(workspace, at)
		} else {
			unreachable += hoststate.maxInUse(workspace, at)
		}
	}
	if at.Before(allocator.inheritedUntil) && !allocator.allKnown {
		return min(1, reachable)
	}
	return max(0, 1-unreachable)
}

// Lend lends up to the wanted number of tokens to a host.
func (allocator *Allocator) Lend(now time.Time, host, workspace string, wanted float64, rate Rate) Loan {
	if hoststate, known := allocator.hosts[host]; known {
		allocator.recordContact(now, hoststate)
	}
	bucket := allocator.bucket(now, workspace, rate)
	if bucket.tokens < 1 {
		return Loan{Wait: allocator.backoff(bucket, workspace, rate)}
	}
	tokens := max(1, math.Floor(min(wanted, bucket.tokens/2)))
	bucket.tokens -= tokens
	return Loan{Tokens: tokens}
}

// backoff returns how long a refused caller should wait before a retry. It grows
// with the excess of the demand over the rate.
func (allocator *Allocator) backoff(bucket *bucket, workspace string, rate Rate) time.Duration {
	if rate.PerSecond <= 0 {
		return maxBackoff
	}
	demand := 0.0
	for _, hoststate := range allocator.hosts {
		demand += hoststate.demand[workspace]
	}
	next := time.Duration((1 - bucket.tokens) / rate.PerSecond * float64(time.Second))
	excess := max(0, demand/rate.PerSecond-1)
	return min(maxBackoff, next+time.Duration(excess*float64(overloadBackoff)))
}

// lendInAdvance lends the tokens that a host is expected to need until its next
// report.
func (allocator *Allocator) lendInAdvance(now time.Time, need map[string]float64, rates map[string]Rate) map[string]float64 {
	loans := map[string]float64{}
	for workspace, wanted := range need {
		rate, limited := rates[workspace]
		if !limited || rate.PerSecond <= 0 {
			continue
		}
		bucket := allocator.bucket(now, workspace, rate)
		tokens := math.Floor(min(wanted, bucket.tokens-rate.Burst*advanceReserve))
		if tokens < 1 {
			continue
		}
		bucket.tokens -= tokens
		loans[workspace] = tokens
	}
	return loans
}
