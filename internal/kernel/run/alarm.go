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
}

// NewAlarm is for one command of an actor.
func NewAlarm(d *Actor, f func()) *Alarm { return &Alarm{actor: d, f: f} }

// In sets the alarm; one that is set already stays as it is. It can be set again
// as soon as its command begins.
func (a *Alarm) In(d time.Duration) {
	if !a.set.Swap(true) {
		a.wait(d)
	}
}

func (a *Alarm) wait(d time.Duration) {
	time.AfterFunc(d, func() {
		// Why: an actor that has no place left now has one later; one that has stopped never needs the command.
		if a.actor.Tell(func() { a.set.Store(false); a.f() }) != nil && a.actor.group.ctx.Err() == nil {
			a.wait(d)
		}
	})
}
