package group

import (
	"math/rand/v2"
	"time"
)

// Backoff gives the pauses between attempts that fail: they double from Min to Max, each
// with a jitter, so that hosts that began to wait at the same time do not return at the
// same time. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration
	// Random returns a random number below its argument; nil means that of math/rand/v2.
	Random  func(int64) int64
	current time.Duration
}

// Next returns the pause after another failed attempt.
func (backoff *Backoff) Next() time.Duration {
	backoff.current = min(max(backoff.Min, 2*backoff.current), backoff.Max)
	if backoff.Random == nil {
		return jitter(backoff.current)
	}
	return backoff.current/2 + time.Duration(backoff.Random(int64(backoff.current)))
}

// Reset makes the next pause the shortest again, after an attempt that succeeded.
func (backoff *Backoff) Reset() { backoff.current = 0 }

// jitter returns a random duration around the given one.
func jitter(duration time.Duration) time.Duration {
	return duration/2 + rand.N(duration) //nolint:gosec // spreads load
}
