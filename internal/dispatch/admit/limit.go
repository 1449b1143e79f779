package admit

import (
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spans"
)

// rateLimit is the request rate that an upstream takes from all hosts together, by its
// own word. The zero value is no limit.
type rateLimit struct {
	perSecond float64
	// namedAt is when an answer that named the limit was received.
	namedAt time.Time
}

// record records the rate limit in an answer to a request that was sent at the given
// time, 0 if it names none, and reports whether the limit changed. Answers may overtake
// each other: only one to a request that was sent after the limit was named ends it.
func (ratelimit *rateLimit) record(now time.Time, perSecond float64, sent time.Time) bool {
	before := ratelimit.perSecond
	switch {
	case perSecond > 0:
		ratelimit.perSecond, ratelimit.namedAt = perSecond, now
	case sent.After(ratelimit.namedAt):
		ratelimit.perSecond = 0
	}
	return ratelimit.perSecond != before
}

// RecordLimit records the rate limit that an upstream named in its answer to a request
// that was sent at the given time, in requests per second from all hosts together, or 0
// if it named none. It reports whether the limit changed.
func (scheduler *Scheduler) RecordLimit(name string, owner spans.Owner, perSecond float64, sent time.Time) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	upstream, ok := scheduler.service(name).upstreams[owner]
	return ok && upstream.limit.record(scheduler.clock.Now(), perSecond, sent)
}

// RecordLimit records the rate limit in the answer to the ticket's request.
func (ticket *Ticket) RecordLimit(perSecond float64) bool {
	return ticket.scheduler.RecordLimit(ticket.Target.Service, ticket.Target.Owner, perSecond, ticket.granted)
}
