// Package ramp limits the request rate of an upstream during its warm-up (slow
// start), and detects when a warm upstream has become cold without reporting it.
package ramp

import (
	"time"
)

const (
	// slowFactor is the multiple of the typical latency above which an answer counts
	// as slow.
	slowFactor = 3
	// coldThreshold is the number of consecutive slow answers or shed requests after
	// which an upstream counts as cold.
	coldThreshold = 4
	// stragglerThreshold is the number of consecutive slow answers to requests sent
	// at the cold rate, or of shed requests, after which the upstream counts as a
	// straggler.
	stragglerThreshold = 2
	// sampleWeight is the weight of a new answer in the moving average of the
	// latency.
	sampleWeight = 0.05
	// minSlowLatency is the latency up to which no answer counts as slow.
	minSlowLatency = 20 * time.Millisecond
	// fullRateShare is the fraction of the estimated full rate at which the ramp
	// ends.
	fullRateShare = 0.9
	// initialRatePerSlot is the full rate per slot, in requests per second, assumed
	// before the first answer.
	initialRatePerSlot = 50
)

// Ramp limits the request rate of one upstream during its warm-up. The zero value
// is a warm upstream. It is not safe for concurrent use.
type Ramp struct {
	// ColdRate is the rate that a cold upstream can sustain, in requests per second.
	// The warm-up starts with it.
	ColdRate float64
	// Duration is the length of the warm-up. Without it the upstream is always warm.
	Duration time.Duration
	Slots    int

	startedAt time.Time
	cold      bool
	// tokens and refilledAt are the state of the token bucket, of capacity 1.
	tokens     float64
	refilledAt time.Time
	// typicalLatency is the moving average of the latency, without slow answers.
	typicalLatency time.Duration
	// slowCount is the number of consecutive slow answers and shed requests.
	slowCount int
	// probing is set after slow answers or shed requests have restarted the warm-up:
	// answers to requests sent since then show whether the upstream is cold or a
	// straggler.
	probing bool
	// straggling is set while answers are slow at any load.
	straggling bool
}

// Restart marks the upstream as cold and restarts the warm-up.
func (ramp *Ramp) Restart(now time.Time) {
	ramp.cold = ramp.Duration > 0
	ramp.startedAt = now
	ramp.refilledAt = now
	ramp.tokens = 1
	ramp.slowCount = 0
	ramp.probing = false
	ramp.straggling = false
}

// RestartAt restarts the warm-up as if it had begun at a time in the past.
func (ramp *Ramp) RestartAt(startedAt, now time.Time) {
	ramp.Restart(now)
	ramp.startedAt = startedAt
}

// Cold reports whether the upstream is warming up.
func (ramp *Ramp) Cold(now time.Time) bool {
	if ramp.cold && now.Sub(ramp.startedAt) >= ramp.Duration {
		ramp.cold = false
	}
	return ramp.cold
}

// rate returns the current limit in requests per second. It grows with the square
// of the elapsed part of the warm-up, from the cold rate to the full rate.
func (ramp *Ramp) rate(now time.Time) float64 {
	full := initialRatePerSlot * float64(max(ramp.Slots, 1))
	if ramp.typicalLatency > 0 {
		full = float64(max(ramp.Slots, 1)) / ramp.typicalLatency.Seconds()
	}
	full = max(full*fullRateShare, ramp.ColdRate)
	progress := min(1, now.Sub(ramp.startedAt).Seconds()/ramp.Duration.Seconds())
	return ramp.ColdRate + (full-ramp.ColdRate)*progress*progress
}

// Take takes a token for one request, or returns false and the time until there
// will be one. A warm upstream needs no token.
func (ramp *Ramp) Take(now time.Time) (bool, time.Duration) {
	if !ramp.Cold(now) {
		return true, 0
	}
	rate := ramp.rate(now)
	ramp.tokens = min(1, ramp.tokens+rate*now.Sub(ramp.refilledAt).Seconds())
	ramp.refilledAt = now
	if ramp.tokens >= 1 {
		ramp.tokens--
		return true, 0
	}
	return false, time.Duration((1 - ramp.tokens) / rate * float64(time.Second))
}

// Concurrency returns the number of slots that may be in use at a time: one in the
// first half of the warm-up, all of them later.
func (ramp *Ramp) Concurrency(now time.Time) int {
	if ramp.Cold(now) && now.Sub(ramp.startedAt) < ramp.Duration/2 {
		return 1
	}
	return max(ramp.Slots, 1)
}

// RecordAnswer records the latency of an answer to a request sent at the given
// time. It returns true if consecutive slow answers have restarted the warm-up.
// An upstream that stays slow at the cold rate is not cold but a straggler, and
// is no longer limited to that rate; one that becomes fast again was cold, and
// continues its warm-up.
func (ramp *Ramp) RecordAnswer(sent time.Time, took time.Duration, now time.Time) bool {
	if ramp.typicalLatency == 0 {
		ramp.typicalLatency = took
		return false
	}
	if took <= max(ramp.typicalLatency*slowFactor, minSlowLatency) {
		ramp.slowCount = 0
		ramp.probing = ramp.probing && sent.Before(ramp.startedAt)
		ramp.straggling = false
		ramp.typicalLatency += time.Duration(sampleWeight * float64(took-ramp.typicalLatency))
		return false
	}
	if ramp.straggling || ramp.probing && sent.Before(ramp.startedAt) {
		return false
	}
	return ramp.recordSlow(now)
}

// Straggling reports whether answers are slow at any load.
func (ramp *Ramp) Straggling() bool { return ramp.straggling }

// RecordShed records that the upstream shed a request. It returns true if this has
// restarted the warm-up.
func (ramp *Ramp) RecordShed(now time.Time) bool { return ramp.recordSlow(now) }

// recordSlow counts a slow answer or a shed request. It returns true if this has
// restarted the warm-up.
func (ramp *Ramp) recordSlow(now time.Time) bool {
	ramp.slowCount++
	if ramp.probing && ramp.slowCount >= stragglerThreshold {
		ramp.probing = false
		ramp.straggling = true
		ramp.cold = false
		return false
	}
	if ramp.slowCount < coldThreshold {
		return false
	}
	ramp.Restart(now)
	ramp.probing = true
	return true
}

// TypicalLatency returns the typical latency of answers, or 0 before the first answer.
func (ramp *Ramp) TypicalLatency() time.Duration { return ramp.typicalLatency }
