package run

import (
	"sync/atomic"
	"time"
)

// Alarm hands an actor the same command a while after it is set.
type Timer struct {
	actor   *Actor
	f       func()
	pending atomic.Bool
	timer   *time.Timer
}

// retryAlarm is when an actor that had no place left for the command is tried again.
const retryDelay = 20 * time.Millisecond

// NewAlarm is for one command of an actor; it is not set.
func NewTimer(d *Actor, f func()) *Timer {
	a := &Timer{actor: d, f: f}
	a.timer = time.AfterFunc(time.Hour, a.fire)
	a.timer.Stop()
	return a
}

// In sets the alarm; one that is set already stays as it is. It can be set again
// as soon as its command begins.
func (a *Timer) Start(d time.Duration) {
	if !a.pending.Swap(true) {
		a.schedule(d)
	}
}

// Move sets the alarm, also if it is set already; only its actor may.
func (a *Timer) Reset(d time.Duration) {
	a.pending.Store(true)
	a.schedule(d)
}

// wait has the alarm ring after d. Why: an actor that has stopped never needs the command.
func (a *Timer) schedule(d time.Duration) {
	if a.actor.group.ctx.Err() == nil {
		a.timer.Reset(max(d, 0))
	}
}

func (a *Timer) fire() {
	// Why: an actor that has no place left now has one later.
	if a.actor.TryEnqueue(func() { a.pending.Store(false); a.f() }) != nil {
		a.schedule(retryDelay)
	}
}
