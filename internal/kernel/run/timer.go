package run

import (
	"sync/atomic"
	"time"
)

// Timer enqueues a fixed command at an actor after a delay.
type Timer struct {
	actor   *Actor
	f       func()
	pending atomic.Bool
	timer   *time.Timer
}

// retryDelay is the time between attempts to enqueue the command at an actor whose queue is full.
const retryDelay = 20 * time.Millisecond

// NewTimer returns a stopped timer that enqueues f at actor.
func NewTimer(actor *Actor, f func()) *Timer {
	t := &Timer{actor: actor, f: f}
	t.timer = time.AfterFunc(time.Hour, t.fire)
	t.timer.Stop()
	return t
}

// Start starts the timer; a timer that is already pending is left unchanged. It can be started again
// as soon as its command begins.
func (t *Timer) Start(d time.Duration) {
	if !t.pending.Swap(true) {
		t.schedule(d)
	}
}

// Reset starts the timer, or moves it if it is pending. Only the timer's actor may call it.
func (t *Timer) Reset(d time.Duration) {
	t.pending.Store(true)
	t.schedule(d)
}

// schedule arms the timer to fire after d, unless the actor's group has stopped: a stopped actor never runs the command.
func (t *Timer) schedule(d time.Duration) {
	if t.actor.group.ctx.Err() == nil {
		t.timer.Reset(max(d, 0))
	}
}

// fire enqueues the command, and retries later if the actor's queue is full.
func (t *Timer) fire() {
	if t.actor.TryEnqueue(func() { t.pending.Store(false); t.f() }) != nil {
		t.schedule(retryDelay)
	}
}
