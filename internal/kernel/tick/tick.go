// Package tick gives the two clocks of a machine: one that only runs forward
// and counts suspended time, for holds; and the wall, for the minute of day.
package tick

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is what a node knows of time.
type Clock interface {
	// Since is the time since some fixed instant; it never jumps.
	Since() time.Duration
	// Wall is the time of day as the machine has it, right or wrong.
	Wall() time.Time
}

type machineClock struct{}

// Machine reads the clocks of this machine.
func MachineClock() Clock { return machineClock{} }

func (machineClock) Since() time.Duration {
	var ts unix.Timespec
	// Why: Go's monotonic clock stops while a machine is suspended, a lease does not.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("tick: no boot-time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

func (machineClock) Wall() time.Time { return time.Now() }
