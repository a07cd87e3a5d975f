package run

import "time"

// retryWake is when an actor that had no place left for its command is tried again.
const retryWake = 20 * time.Millisecond

// Wake hands an actor a command at a time that the actor sets, and may move while it has not come.
type Wake struct {
	actor *Actor
	f     func()
	timer *time.Timer
}

// NewWake is for one command of an actor; it is not set.
func NewWake(a *Actor, f func()) *Wake {
	w := &Wake{actor: a, f: f}
	w.timer = time.AfterFunc(time.Hour, w.fire)
	w.timer.Stop()
	return w
}

// In has the command come a while from now, and not at the time that was set before.
func (w *Wake) In(d time.Duration) {
	if w.actor.group.ctx.Err() == nil {
		w.timer.Reset(max(d, 0))
	}
}

func (w *Wake) fire() {
	if w.actor.Tell(w.f) != nil {
		w.In(retryWake)
	}
}
