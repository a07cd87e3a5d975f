package run

import (
	"sync/atomic"
	"time"
)

// Alarm hands a desk the same command a while after it is set.
type Alarm struct {
	desk *Desk
	f    func()
	set  atomic.Bool
}

// NewAlarm is for one command of a desk.
func NewAlarm(d *Desk, f func()) *Alarm { return &Alarm{desk: d, f: f} }

// In sets the alarm; one that is set already stays as it is. It can be set again
// as soon as its command begins.
func (a *Alarm) In(d time.Duration) {
	if !a.set.Swap(true) {
		a.wait(d)
	}
}

func (a *Alarm) wait(d time.Duration) {
	time.AfterFunc(d, func() {
		// Why: a desk that has no place left now has one later; one that has stopped never needs the command.
		if a.desk.Tell(func() { a.set.Store(false); a.f() }) != nil && a.desk.group.ctx.Err() == nil {
			a.wait(d)
		}
	})
}
