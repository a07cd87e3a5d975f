package load

import (
	"context"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
)

const (
	// lagInterval is the time between two looks at how late this process is.
	lagInterval = 50 * time.Millisecond
	// busyFrom is the lateness from which a process has no processor time to spare, and busyLasts for how
	// long that holds after it was last seen.
	busyThreshold = 60 * time.Millisecond
	busyPeriod    = time.Second
	// lagOfSleep is a lateness that tells of a machine that stood still, and not of much to do.
	suspendThreshold = 2 * time.Second
)

// Lag tells whether a process comes to its work late: what is due waits for what is being done.
type LagMonitor struct {
	clock     tick.Clock
	due       time.Duration
	busyUntil atomic.Int64 // until when the process counts as busy, on its clock
}

// NewLag looks until g stops.
func NewLagMonitor(g *run.Group, clock tick.Clock) *LagMonitor {
	l := &LagMonitor{clock: clock, due: clock.Since() + lagInterval}
	g.Repeat(lagInterval, func(context.Context) { l.check(clock.Since()) })
	return l
}

// look notes how late this look comes.
func (l *LagMonitor) check(now time.Duration) {
	late := now - l.due
	l.due = now + lagInterval
	if late >= busyThreshold && late < suspendThreshold {
		l.busyUntil.Store(int64(now + busyPeriod))
	}
}

// Busy says that the process has no processor time to spare.
func (l *LagMonitor) Busy() bool { return l.clock.Since() < time.Duration(l.busyUntil.Load()) }
