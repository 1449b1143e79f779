package ramp

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// admitted counts what a ramp lets through in a time, asked every millisecond.
func admitted(ramp *Ramp, from time.Time, duration time.Duration) int {
	count := 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += time.Millisecond {
		if ok, _ := ramp.Take(from.Add(elapsed)); ok {
			count++
		}
	}
	return count
}

// TestColdRate checks that a cold upstream gets no more than it bears: in the
// first tenth of its ramp the rate is within a tenth of the full rate above
// the cold rate.
func TestColdRate(t *testing.T) {
	for _, test := range []struct {
		name     string
		coldRate float64
		usual    time.Duration
	}{
		{"slow service", 5, 50 * time.Millisecond},
		{"fast service", 20, 4 * time.Millisecond},
		{"unknown service", 10, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(100, 0)
			ramp := &Ramp{ColdRate: test.coldRate, Duration: 10 * time.Second, Slots: 2, usual: test.usual}
			ramp.Chill(start)
			full := 2.0 * firstGuess
			if test.usual > 0 {
				full = 2 / test.usual.Seconds()
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

// TestSuddenColdness turns an upstream slow without warning.
func TestSuddenColdness(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	ramp := &Ramp{ColdRate: 5, Duration: time.Second, Slots: 2}
	for range 50 {
		is.True(!ramp.Answer(now, 10*time.Millisecond, now))
	}
	for range slowRun - 1 {
		is.True(!ramp.Answer(now, 100*time.Millisecond, now)) // a straggler's moment is no coldness
	}
	is.True(!ramp.Answer(now, 10*time.Millisecond, now))
	chilled := false
	for range slowRun {
		chilled = ramp.Answer(now, 100*time.Millisecond, now)
	}
	is.True(chilled)
	is.True(ramp.Cold(now))
}

// TestColdOrStraggler tells the two apart by what comes back at the cold rate.
func TestColdOrStraggler(t *testing.T) {
	for _, test := range []struct {
		name string
		// later is the time of answers to requests sent at the cold rate.
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
				ramp.Answer(now, 10*time.Millisecond, now)
			}
			for range slowRun {
				ramp.Answer(now, 100*time.Millisecond, now)
			}
			is.True(ramp.Cold(now))
			before := now.Add(-time.Millisecond)
			for range 10 {
				ramp.Answer(before, 100*time.Millisecond, now) // sent before the rate fell, so it proves nothing
			}
			is.True(ramp.Cold(now))
			now = now.Add(time.Second)
			for range doubtRun {
				ramp.Answer(now, test.later, now)
			}
			is.Equal(ramp.Cold(now), test.cold)
			is.Equal(ramp.Straggling(), test.straggling)
			if test.straggling {
				ramp.Answer(now, 10*time.Millisecond, now)
				is.True(!ramp.Straggling()) // it has recovered, and needs no ramp
				is.True(!ramp.Cold(now))
			}
		})
	}
}

func TestShedChills(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	ramp := &Ramp{ColdRate: 5, Duration: time.Second, Slots: 2}
	for range slowRun - 1 {
		is.True(!ramp.Shed(now))
	}
	is.True(ramp.Shed(now))
}
