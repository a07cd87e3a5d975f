// Package tick provides the two clocks of a machine: a monotonic clock
// that includes time in suspension, for leases; and the wall clock, for the time of day.
package tick

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock provides a monotonic clock and the wall clock.
type Clock interface {
	// Since returns the time since a fixed but arbitrary instant; it is monotonic.
	Since() time.Duration
	// Wall returns the wall-clock time of the machine, which may be wrong.
	Wall() time.Time
}

type machineClock struct{}

// MachineClock returns the clocks of this machine.
func MachineClock() Clock { return machineClock{} }

func (machineClock) Since() time.Duration {
	var ts unix.Timespec
	// Go's monotonic clock stops while a machine is suspended, but leases keep running.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("tick: no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

func (machineClock) Wall() time.Time { return time.Now() }
