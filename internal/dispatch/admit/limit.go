package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

const (
	// limitBurst is the number of requests that a limited upstream may get at once, and
	// standInBurst the number that it may get from a host that stands in for its primary.
	limitBurst   = 3
	standInBurst = 1
	// maxWait is the expected wait for an upstream that gets no requests from here.
	maxWait = time.Hour
	// maxReturnSpread bounds the time over which callers that were refused because of a
	// rate limit are told to come back.
	maxReturnSpread = 2 * time.Second
)

// rateLimit is the request rate that an upstream takes from all hosts together, by its
// own word, and the part of it that this scheduler admits. The zero value is no limit.
type rateLimit struct {
	perSecond float64
	// share is the part of the limit that this scheduler admits.
	share float64
	// namedAt is when an answer that named the limit was received, and heardAt when any
	// answer was.
	namedAt, heardAt time.Time
	bucket           *rate.Limiter
}

// active reports whether the upstream has a limit.
func (ratelimit *rateLimit) active() bool { return ratelimit.perSecond > 0 }

// record records the rate limit in an answer to a request that was sent at the given
// time, 0 if it names none, and reports whether the limit changed. Answers may overtake
// each other: only one to a request that was sent after the limit was named ends it.
func (ratelimit *rateLimit) record(now time.Time, perSecond float64, sent time.Time) bool {
	before := ratelimit.perSecond
	ratelimit.heardAt = now
	switch {
	case perSecond > 0:
		ratelimit.set(now, perSecond)
		ratelimit.namedAt = now
	case sent.After(ratelimit.namedAt):
		ratelimit.perSecond = 0
	}
	return ratelimit.perSecond != before
}

// adopt takes over a limit that another host heard at the given time, unless this host
// has heard from the upstream since.
func (ratelimit *rateLimit) adopt(now time.Time, perSecond float64, namedAt time.Time) {
	if perSecond > 0 && namedAt.After(ratelimit.heardAt) {
		ratelimit.set(now, perSecond)
		ratelimit.namedAt, ratelimit.heardAt = namedAt, namedAt
	}
}

// set changes the limit. A limit begins without tokens: other hosts may just have used
// all that there are.
func (ratelimit *rateLimit) set(now time.Time, perSecond float64) {
	began := !ratelimit.active()
	ratelimit.perSecond = perSecond
	ratelimit.updateBucket(now)
	if began {
		ratelimit.bucket.AllowN(now, int(ratelimit.bucket.TokensAt(now)))
	}
}

// setShare changes the part of the limit that this scheduler admits.
func (ratelimit *rateLimit) setShare(now time.Time, share float64) {
	if share != ratelimit.share {
		ratelimit.share = share
		ratelimit.updateBucket(now)
	}
}

func (ratelimit *rateLimit) updateBucket(now time.Time) {
	burst := limitBurst
	if ratelimit.share < 1 {
		burst = standInBurst
	}
	if ratelimit.bucket == nil {
		ratelimit.bucket = rate.NewLimiter(0, burst)
	}
	ratelimit.bucket.SetLimitAt(now, rate.Limit(ratelimit.rate()))
	ratelimit.bucket.SetBurstAt(now, burst)
}

// rate returns the requests per second that this scheduler admits.
func (ratelimit *rateLimit) rate() float64 { return ratelimit.perSecond * ratelimit.share }

// tokens returns the number of requests that may be admitted now.
func (ratelimit *rateLimit) tokens(now time.Time) float64 {
	if ratelimit.share <= 0 {
		return 0
	}
	return max(0, ratelimit.bucket.TokensAt(now))
}

// allows reports whether a request may be admitted now, and take admits it.
func (ratelimit *rateLimit) allows(now time.Time) bool {
	return !ratelimit.active() || ratelimit.tokens(now) >= 1
}

func (ratelimit *rateLimit) take(now time.Time) {
	if ratelimit.active() {
		ratelimit.bucket.AllowN(now, 1)
	}
}

// RecordLimit records the rate limit that an upstream named in its answer to a request
// that was sent at the given time, in requests per second from all hosts together, or 0
// if it named none. It reports whether the limit changed.
func (scheduler *Scheduler) RecordLimit(name string, owner spans.Owner, perSecond float64, sent time.Time) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	upstream, ok := scheduler.service(name).upstreams[owner]
	if !ok {
		return false
	}
	changed := upstream.limit.record(scheduler.clock.Now(), perSecond, sent)
	scheduler.updateLimitShare(upstream)
	return changed
}

// AdoptLimit takes over an upstream's rate limit that another host heard at the given
// time, unless this scheduler knows of a later answer.
func (scheduler *Scheduler) AdoptLimit(name string, owner spans.Owner, perSecond float64, namedAt time.Time) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if upstream, ok := scheduler.service(name).upstreams[owner]; ok {
		upstream.limit.adopt(scheduler.clock.Now(), perSecond, namedAt)
		scheduler.updateLimitShare(upstream)
	}
}

// Limit returns the rate limit of an upstream in requests per second, 0 if it has none,
// and when it was named.
func (scheduler *Scheduler) Limit(name string, owner spans.Owner) (perSecond float64, namedAt time.Time) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	upstream, ok := scheduler.service(name).upstreams[owner]
	if !ok {
		return 0, time.Time{}
	}
	return upstream.limit.perSecond, upstream.limit.namedAt
}

// updateLimitShare determines the scheduler's part of an upstream's rate limit. Without
// LimitShare an exclusive scheduler admits all of it and any other nothing.
func (scheduler *Scheduler) updateLimitShare(upstream *upstream) {
	if !upstream.limit.active() {
		return
	}
	share := 0.0
	switch {
	case scheduler.LimitShare != nil:
		share = scheduler.LimitShare(upstream.target)
	case scheduler.exclusive:
		share = 1
	}
	upstream.limit.setShare(scheduler.clock.Now(), share)
}

// RecordLimit records the rate limit in the answer to the ticket's request.
func (ticket *Ticket) RecordLimit(perSecond float64) bool {
	return ticket.scheduler.RecordLimit(ticket.Target.Service, ticket.Target.Owner, perSecond, ticket.granted)
}

// limitWait returns how long a request waits for a token with the given number of
// requests ahead of it, if all upstreams that it may go to are limited, and the rate at
// which they get requests from here.
func (service *service) limitWait(job Job, ahead int, now time.Time) (wait time.Duration, perSecond float64) {
	tokens := 0.0
	for id, upstream := range service.upstreams {
		if !service.mayServe(job, id, upstream) {
			continue
		}
		if !upstream.limit.active() {
			return 0, 0
		}
		tokens += upstream.limit.tokens(now)
		perSecond += upstream.limit.rate()
	}
	missing := float64(ahead) + 1 - tokens
	switch {
	case missing <= 0:
		return 0, perSecond
	case perSecond <= 0:
		return maxWait, 0
	}
	return time.Duration(math.Ceil(missing / perSecond * float64(time.Second))), perSecond
}

// refuseLimited refuses a request that would wait too long for a token. Refused callers
// are told to come back one after the other.
func (service *service) refuseLimited(job Job, wait time.Duration, perSecond float64, now time.Time) *Refusal {
	if perSecond <= 0 {
		return &Refusal{Reason: ReasonNoPrimary, RetryAfter: ownerRetryAfter}
	}
	key := service.queueKey(job)
	if service.returns == nil {
		service.returns = map[queueKey]time.Time{}
	}
	next := now.Add(wait)
	if previous := service.returns[key]; previous.After(next) {
		next = previous
	}
	service.returns[key] = next.Add(time.Duration(float64(time.Second) / perSecond))
	if last := now.Add(wait + maxReturnSpread); next.After(last) {
		next = last
		service.returns[key] = last
	}
	return &Refusal{Reason: ReasonLimited, RetryAfter: max(minRetryAfter, next.Sub(now))}
}
