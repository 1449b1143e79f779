// Package ramp limits what an upstream gets while it is cold, and notices when
// a warm one turns cold without saying so.
package ramp

import (
	"time"
)

const (
	// slowFactor is how much slower than usual an answer counts as slow.
	slowFactor = 3
	// slowRun is the number of slow or shed answers in a row that make an
	// upstream cold.
	slowRun = 4
	// doubtRun is the number of slow answers in a row to requests sent at the
	// cold rate that show a straggler.
	doubtRun = 2
	// usualWeight is the weight of a new answer in the usual time.
	usualWeight = 0.05
	// minSlow is the least time that counts as slow.
	minSlow = 20 * time.Millisecond
	// headroom is the share of the estimated full rate that the ramp uses.
	headroom = 0.9
	// firstGuess is the full rate per slot in requests per second before any
	// answer was seen.
	firstGuess = 50
)

// Ramp is one upstream's warm-up. Its zero value is a warm upstream. It is not
// safe for concurrent use.
type Ramp struct {
	// ColdRate is the number of requests per second that it bears when cold.
	ColdRate float64
	// Duration is the time from cold to full load.
	Duration time.Duration
	Slots    int

	started time.Time
	cold    bool
	tokens  float64
	filled  time.Time
	usual   time.Duration
	slow    int
	// doubted is set after a chill that slow answers caused: answers to requests
	// sent since then show whether the upstream is cold or a straggler.
	doubted bool
	// straggling is set while answers are slow whatever the load.
	straggling bool
}

// Chill puts the ramp back to its start.
func (ramp *Ramp) Chill(now time.Time) {
	ramp.cold = ramp.Duration > 0
	ramp.started = now
	ramp.filled = now
	ramp.tokens = 1
	ramp.slow = 0
	ramp.doubted = false
	ramp.straggling = false
}

// Since sets the ramp as if it had been started at a time in the past.
func (ramp *Ramp) Since(started, now time.Time) {
	ramp.Chill(now)
	ramp.started = started
}

// Cold tells whether the upstream is warming up.
func (ramp *Ramp) Cold(now time.Time) bool {
	if ramp.cold && now.Sub(ramp.started) >= ramp.Duration {
		ramp.cold = false
	}
	return ramp.cold
}

// rate is the number of requests per second that the upstream bears now.
func (ramp *Ramp) rate(now time.Time) float64 {
	full := firstGuess * float64(max(ramp.Slots, 1))
	if ramp.usual > 0 {
		full = float64(max(ramp.Slots, 1)) / ramp.usual.Seconds()
	}
	full = max(full*headroom, ramp.ColdRate)
	progress := min(1, now.Sub(ramp.started).Seconds()/ramp.Duration.Seconds())
	return ramp.ColdRate + (full-ramp.ColdRate)*progress*progress
}

// Take takes one request's worth of capacity, or returns how long to wait.
func (ramp *Ramp) Take(now time.Time) (bool, time.Duration) {
	if !ramp.Cold(now) {
		return true, 0
	}
	rate := ramp.rate(now)
	ramp.tokens = min(1, ramp.tokens+rate*now.Sub(ramp.filled).Seconds())
	ramp.filled = now
	if ramp.tokens >= 1 {
		ramp.tokens--
		return true, 0
	}
	return false, time.Duration((1 - ramp.tokens) / rate * float64(time.Second))
}

// Concurrency is the number of slots that may be used at a time: one in the first
// half of the ramp, all of them later.
func (ramp *Ramp) Concurrency(now time.Time) int {
	if ramp.Cold(now) && now.Sub(ramp.started) < ramp.Duration/2 {
		return 1
	}
	return max(ramp.Slots, 1)
}

// Answer notes the time of an answer to a request that was sent at a time. A
// run of slow ones chills the ramp, and the result tells so. An upstream that
// stays slow at the cold rate is not cold but a straggler, and is not held to
// that rate; one that gets fast again is cold, and goes through the ramp.
func (ramp *Ramp) Answer(sent time.Time, took time.Duration, now time.Time) bool {
	if ramp.usual == 0 {
		ramp.usual = took
		return false
	}
	if took <= max(ramp.usual*slowFactor, minSlow) {
		ramp.slow = 0
		ramp.doubted = ramp.doubted && sent.Before(ramp.started)
		ramp.straggling = false
		ramp.usual += time.Duration(usualWeight * float64(took-ramp.usual))
		return false
	}
	if ramp.straggling || ramp.doubted && sent.Before(ramp.started) {
		return false
	}
	return ramp.strike(now)
}

// Straggling tells whether answers are slow whatever the load.
func (ramp *Ramp) Straggling() bool { return ramp.straggling }

// Shed notes that the upstream refused work as too much.
func (ramp *Ramp) Shed(now time.Time) bool { return ramp.strike(now) }

func (ramp *Ramp) strike(now time.Time) bool {
	ramp.slow++
	if ramp.doubted && ramp.slow >= doubtRun {
		ramp.doubted = false
		ramp.straggling = true
		ramp.cold = false
		return false
	}
	if ramp.slow < slowRun {
		return false
	}
	ramp.Chill(now)
	ramp.doubted = true
	return true
}

// Usual returns the time that answers usually take, or 0 before the first.
func (ramp *Ramp) Usual() time.Duration { return ramp.usual }
