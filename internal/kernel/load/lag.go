package load

import (
	"context"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
)

const (
	// lagInterval is the time between two measurements of the scheduling delay.
	lagInterval = 50 * time.Millisecond
	// busyThreshold is the delay from which a process counts as having no processor time to spare, and busyPeriod
	// is how long it counts as busy after such a delay.
	busyThreshold = 60 * time.Millisecond
	busyPeriod    = time.Second
	// suspendThreshold is the delay from which a suspended machine is assumed, rather than load.
	suspendThreshold = 2 * time.Second
)

// LagMonitor detects that a process is overloaded by the delay with which periodic work starts.
type LagMonitor struct {
	clock     tick.Clock
	due       time.Duration
	busyUntil atomic.Int64 // end of the busy period, on the clock
}

// NewLagMonitor starts a monitor that measures until g stops.
func NewLagMonitor(g *run.Group, clock tick.Clock) *LagMonitor {
	l := &LagMonitor{clock: clock, due: clock.Since() + lagInterval}
	g.Repeat(lagInterval, func(context.Context) { l.check(clock.Since()) })
	return l
}

// check records the delay of this measurement and schedules the next one.
func (l *LagMonitor) check(now time.Duration) {
	late := now - l.due
	l.due = now + lagInterval
	if late >= busyThreshold && late < suspendThreshold {
		l.busyUntil.Store(int64(now + busyPeriod))
	}
}

// Busy reports whether the process has no processor time to spare.
func (l *LagMonitor) Busy() bool { return l.clock.Since() < time.Duration(l.busyUntil.Load()) }
