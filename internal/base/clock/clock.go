// Package clock provides the clock used to measure leases. It keeps counting
// while the machine is suspended, unlike the monotonic clock of package time.
package clock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Boot is a clock backed by CLOCK_BOOTTIME, which includes time spent suspended.
// Its times carry no monotonic reading, so that subtracting two of them uses
// this clock rather than the monotonic clock of package time.
type Boot struct {
	clockwork.Clock
	start  time.Time
	origin time.Duration
}

// NewBoot returns a clock that starts at the current wall-clock time.
func NewBoot() *Boot {
	return &Boot{Clock: clockwork.NewRealClock(), start: time.Now().Round(0), origin: sinceBoot()}
}

// Now returns the wall-clock time at the clock's start plus the time elapsed
// since. Later adjustments of the wall clock do not affect it.
func (boot *Boot) Now() time.Time { return boot.start.Add(sinceBoot() - boot.origin) }

// Since returns the time elapsed since then.
func (boot *Boot) Since(then time.Time) time.Duration { return boot.Now().Sub(then) }

// Until returns the time remaining until then.
func (boot *Boot) Until(then time.Time) time.Duration { return then.Sub(boot.Now()) }

func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39; leases are unsafe without it.
		panic(err)
	}
	return time.Duration(now.Nano())
}
