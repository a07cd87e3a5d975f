package run

import (
	"sync/atomic"
	"time"
)

// Alarm hands an actor the same command a while after it is set.
type Alarm struct {
	actor *Actor
	f     func()
	set   atomic.Bool
	timer *time.Timer
}

// retryAlarm is when an actor that had no place left for the command is tried again.
const retryAlarm = 20 * time.Millisecond

// NewAlarm is for one command of an actor; it is not set.
func NewAlarm(d *Actor, f func()) *Alarm {
	a := &Alarm{actor: d, f: f}
	a.timer = time.AfterFunc(time.Hour, a.ring)
	a.timer.Stop()
	return a
}

// In sets the alarm; one that is set already stays as it is. It can be set again
// as soon as its command begins.
func (a *Alarm) In(d time.Duration) {
	if !a.set.Swap(true) {
		a.wait(d)
	}
}

// Move sets the alarm, also if it is set already; only its actor may.
func (a *Alarm) Move(d time.Duration) {
	a.set.Store(true)
	a.wait(d)
}

// wait has the alarm ring after d. Why: an actor that has stopped never needs the command.
func (a *Alarm) wait(d time.Duration) {
	if a.actor.group.ctx.Err() == nil {
		a.timer.Reset(max(d, 0))
	}
}

func (a *Alarm) ring() {
	// Why: an actor that has no place left now has one later.
	if a.actor.Tell(func() { a.set.Store(false); a.f() }) != nil {
		a.wait(retryAlarm)
	}
}
