package share

import (
	"sync"
	"time"
)

const (
	// maxWait is the longest time that a request waits for a token rather than
	// be refused.
	maxWait = 150 * time.Millisecond
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// demandFloor is the demand per second below which it counts as none.
	demandFloor = 0.05
)

// bucket is a host's part of a workspace's token bucket.
type bucket struct {
	tokens float64
	at     time.Time
	full   bool
	demand float64
	seen   time.Time
}

// Purse holds a host's parts of all workspaces' rates. The zero Purse holds
// none and refuses whatever is limited.
type Purse struct {
	mutex   sync.Mutex
	parts   Parts
	until   time.Time
	number  uint64
	buckets map[string]*bucket
}

// Take takes a token of a workspace's rate. It returns how long the request
// must wait for it, or ok false and the time until a token is expected.
func (purse *Purse) Take(now time.Time, workspace string, rate, burst float64) (wait time.Duration, ok bool) {
	if rate <= 0 {
		return 0, true
	}
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	bucket := purse.bucket(workspace, now)
	bucket.count(now, 1)
	part := 0.0
	if now.Before(purse.until) {
		part = purse.parts[workspace]
	}
	bucket.fill(now, rate*part, burst*part)
	wait = maxWait
	if speed := rate * part; speed > 0 {
		wait = time.Duration((1 - bucket.tokens) / speed * float64(time.Second))
	} else {
		return time.Second, false
	}
	if wait > maxWait {
		return wait, false
	}
	bucket.tokens--
	return max(0, wait), true
}

// Return gives a token back that was not used.
func (purse *Purse) Return(workspace string) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	if bucket, ok := purse.buckets[workspace]; ok {
		bucket.tokens++
	}
}

func (purse *Purse) bucket(workspace string, now time.Time) *bucket {
	if purse.buckets == nil {
		purse.buckets = map[string]*bucket{}
	}
	found, ok := purse.buckets[workspace]
	if !ok {
		found = &bucket{at: now, seen: now}
		purse.buckets[workspace] = found
	}
	return found
}

// fill adds the tokens of the time that has passed. The first filling brings
// the whole burst.
func (bucket *bucket) fill(now time.Time, rate, burst float64) {
	if !bucket.full && burst > 0 {
		bucket.full = true
		bucket.tokens = burst
	}
	bucket.tokens = min(max(burst, 1), bucket.tokens+rate*now.Sub(bucket.at).Seconds())
	bucket.at = now
}

// count keeps the average demand in requests per second.
func (bucket *bucket) count(now time.Time, requests float64) {
	passed := now.Sub(bucket.seen).Seconds() / demandTime.Seconds()
	bucket.seen = now
	bucket.demand = bucket.demand/(1+passed) + requests/demandTime.Seconds()
}

// Report returns what the host says to the control leader.
func (purse *Purse) Report(now time.Time, host string) Report {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	report := Report{Host: host, Got: purse.number, Demand: map[string]float64{}}
	if now.Before(purse.until) {
		report.Held, report.Left = purse.parts, purse.until.Sub(now)
	}
	for workspace, bucket := range purse.buckets {
		bucket.count(now, 0)
		if bucket.demand > demandFloor {
			report.Demand[workspace] = bucket.demand
		}
	}
	return report
}

// Accept puts a grant in force that answers a report sent at the given time.
func (purse *Purse) Accept(sent time.Time, grant Grant) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.parts, purse.number = grant.Parts, grant.Number
	purse.until = sent.Add(grant.Term)
}
