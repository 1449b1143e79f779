package ramp

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// admitted counts the requests that a ramp admits in a period, at one attempt per
// millisecond.
func admitted(ramp *Ramp, from time.Time, duration time.Duration) int {
	count := 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += time.Millisecond {
		if ok, _ := ramp.Take(from.Add(elapsed)); ok {
			count++
		}
	}
	return count
}

// TestColdRate checks the rate limit of a cold upstream: in the first tenth of the
// warm-up, the rate must not exceed the cold rate by more than a tenth of the full
// rate.
func TestColdRate(t *testing.T) {
	for _, test := range []struct {
		name           string
		coldRate       float64
		typicalLatency time.Duration
	}{
		{"slow service", 5, 50 * time.Millisecond},
		{"fast service", 20, 4 * time.Millisecond},
		{"unknown service", 10, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(100, 0)
			ramp := &Ramp{ColdRate: test.coldRate, Duration: 10 * time.Second, Slots: 2, typicalLatency: test.typicalLatency}
			ramp.Restart(start)
			full := 2.0 * initialRatePerSlot
			if test.typicalLatency > 0 {
				full = 2 / test.typicalLatency.Seconds()
			}
			bound := 1 + test.coldRate + full/10
			is.True(float64(admitted(ramp, start, time.Second)) <= bound)
			is.Equal(ramp.Concurrency(start.Add(time.Second)), 1)
			is.Equal(ramp.Concurrency(start.Add(6*time.Second)), 2)
			is.True(!ramp.Cold(start.Add(10 * time.Second))) // warm at the end
		})
	}
}

func TestZeroValueIsWarm(t *testing.T) {
	is := is.New(t)
	ramp := &Ramp{}
	is.Equal(admitted(ramp, time.Unix(0, 0), 100*time.Millisecond), 100)
}

// TestSuddenlySlowUpstreamTurnsCold makes a warm upstream slow without a report.
// Only a run of slow answers, not a shorter one, may restart the warm-up.
func TestSuddenlySlowUpstreamTurnsCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	ramp := &Ramp{ColdRate: 5, Duration: time.Second, Slots: 2}
	for range 50 {
		is.True(!ramp.RecordAnswer(now, 10*time.Millisecond, now))
	}
	for range coldThreshold - 1 {
		is.True(!ramp.RecordAnswer(now, 100*time.Millisecond, now)) // a few slow answers do not make it cold
	}
	is.True(!ramp.RecordAnswer(now, 10*time.Millisecond, now))
	restarted := false
	for range coldThreshold {
		restarted = ramp.RecordAnswer(now, 100*time.Millisecond, now)
	}
	is.True(restarted)
	is.True(ramp.Cold(now))
}

// TestColdOrStraggler checks that a cold upstream and a straggler are
// distinguished by the latency at the cold rate.
func TestColdOrStraggler(t *testing.T) {
	for _, test := range []struct {
		name string
		// later is the latency of requests sent at the cold rate.
		later      time.Duration
		cold       bool
		straggling bool
	}{
		{"cold", 12 * time.Millisecond, true, false},
		{"straggler", 100 * time.Millisecond, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(100, 0)
			ramp := &Ramp{ColdRate: 5, Duration: 10 * time.Second, Slots: 2}
			for range 50 {
				ramp.RecordAnswer(now, 10*time.Millisecond, now)
			}
			for range coldThreshold {
				ramp.RecordAnswer(now, 100*time.Millisecond, now)
			}
			is.True(ramp.Cold(now))
			before := now.Add(-time.Millisecond)
			for range 10 {
				ramp.RecordAnswer(before, 100*time.Millisecond, now) // sent before the limit, so not counted
			}
			is.True(ramp.Cold(now))
			now = now.Add(time.Second)
			for range stragglerThreshold {
				ramp.RecordAnswer(now, test.later, now)
			}
			is.Equal(ramp.Cold(now), test.cold)
			is.Equal(ramp.Straggling(), test.straggling)
			if test.straggling {
				ramp.RecordAnswer(now, 10*time.Millisecond, now)
				is.True(!ramp.Straggling()) // it has recovered, and needs no warm-up
				is.True(!ramp.Cold(now))
			}
		})
	}
}

func TestShedRequestsTurnUpstreamCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	ramp := &Ramp{ColdRate: 5, Duration: time.Second, Slots: 2}
	for range coldThreshold - 1 {
		is.True(!ramp.RecordShed(now))
	}
	is.True(ramp.RecordShed(now))
}
