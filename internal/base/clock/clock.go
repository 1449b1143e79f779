// Package clock provides the clock that leases are measured by. It goes on
// while the machine is suspended, unlike the monotonic clock of package time.
package clock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Boot is a clock that counts from the machine's start, suspension included.
// Its times carry no monotonic reading, so differences come from this clock.
type Boot struct {
	clockwork.Clock
	start  time.Time
	origin time.Duration
}

// NewBoot returns a clock that starts at the present time of day.
func NewBoot() *Boot {
	return &Boot{Clock: clockwork.NewRealClock(), start: time.Now().Round(0), origin: sinceBoot()}
}

// Now returns the time of day at the clock's start plus what has passed since.
func (boot *Boot) Now() time.Time { return boot.start.Add(sinceBoot() - boot.origin) }

// Since returns the time that has passed since then.
func (boot *Boot) Since(then time.Time) time.Duration { return boot.Now().Sub(then) }

// Until returns the time that is left until then.
func (boot *Boot) Until(then time.Time) time.Duration { return then.Sub(boot.Now()) }

func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The kernel has had this clock since 2.6.39; without it no lease is safe.
		panic(err)
	}
	return time.Duration(now.Nano())
}
