// Package run owns the start of goroutines and the select loop of the system: groups of goroutines with a common
// lifetime, actors that run commands one at a time, and helpers to wait.
package run

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrStopped is returned by calls to an actor whose group has stopped.
var ErrStopped = errors.New("run: stopped")

// ErrFull is returned when an actor's queue is full.
var ErrFull = errors.New("run: queue is full")

// Group is a set of goroutines with a common lifetime.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	ended  bool
	frozen atomic.Pointer[chan struct{}]
	parent *Group
}

// Child returns a group that freezes and stops with this one, or earlier.
func (g *Group) Child() *Group {
	c := NewGroup(g.ctx)
	c.parent = g
	return c
}

// NewGroup returns an empty group whose context is derived from ctx.
func NewGroup(ctx context.Context) *Group {
	inner, cancel := context.WithCancel(ctx)
	return &Group{ctx: inner, cancel: cancel}
}

// Context returns a context that is cancelled when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine of the group and reports whether it was started; a stopped group starts none.
func (g *Group) Go(f func(ctx context.Context)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Checked under the mutex, so that a late start does not race with wg.Wait in Stop.
	if g.ended {
		return false
	}
	g.wg.Add(1)
	body := func(context.Context) {
		defer g.wg.Done()
		f(g.ctx)
	}
	if g.parent != nil {
		if !g.parent.Go(body) {
			g.wg.Done()
			return false
		}
		return true
	}
	go body(g.ctx)
	return true
}

// Stop cancels the group's context and waits until all its goroutines have returned.
func (g *Group) Stop() {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	g.Thaw()
	g.cancel()
	g.wg.Wait()
}

// Freeze suspends every loop of the group, like a stopped machine.
func (g *Group) Freeze() {
	gate := make(chan struct{})
	g.frozen.CompareAndSwap(nil, &gate)
}

// Thaw resumes a frozen group.
func (g *Group) Thaw() {
	if gate := g.frozen.Swap(nil); gate != nil {
		close(*gate)
	}
}

// WaitWhileFrozen blocks while the group or one of its parents is frozen.
func (g *Group) WaitWhileFrozen() {
	if g.parent != nil {
		g.parent.WaitWhileFrozen()
	}
	if gate := g.frozen.Load(); gate != nil {
		<-*gate
	}
}

// loop runs commands from inbox and calls onTick at each interval until ctx ends.
func (g *Group) loop(ctx context.Context, inbox <-chan func(), interval time.Duration, onTick func()) {
	var ticks <-chan time.Time
	if interval > 0 {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-inbox:
			g.WaitWhileFrozen()
			f()
		case <-ticks:
			g.WaitWhileFrozen()
			onTick()
		}
	}
}

// Every calls f at a fixed interval until the group stops.
func (g *Group) Every(interval time.Duration, f func(ctx context.Context)) {
	g.Go(func(ctx context.Context) {
		g.loop(ctx, nil, interval, func() { f(ctx) })
	})
}

// Actor runs commands one at a time, in order, and so guards the state that they use.
type Actor struct {
	group *Group
	inbox chan func()
}

// NewActor starts an actor with a queue of depth commands. If interval is positive, the actor calls onTick at it.
func NewActor(g *Group, depth int, interval time.Duration, onTick func()) *Actor {
	a := &Actor{group: g, inbox: make(chan func(), depth)}
	g.Go(func(ctx context.Context) { g.loop(ctx, a.inbox, interval, onTick) })
	return a
}

// TryEnqueue enqueues a command without blocking. It returns ErrFull and drops the command if the queue is full.
func (a *Actor) TryEnqueue(f func()) error {
	select {
	case a.inbox <- f:
		return nil
	default:
		return ErrFull
	}
}

// Trigger enqueues a fixed command at an actor. Calls of Fire before the command begins are
// coalesced into one run.
type Trigger struct {
	actor   *Actor
	f       func()
	pending atomic.Bool
}

// NewTrigger returns a trigger that enqueues f at actor.
func NewTrigger(actor *Actor, f func()) *Trigger { return &Trigger{actor: actor, f: f} }

// Fire enqueues the command unless it is already pending. It is dropped if the queue is full.
func (t *Trigger) Fire() {
	if t.pending.Swap(true) {
		return
	}
	if t.actor.TryEnqueue(func() { t.pending.Store(false); t.f() }) != nil {
		t.pending.Store(false)
	}
}

// Do enqueues a command and waits until it has run. If Do returns an error, the command has not run
// and never will: a command that has begun is waited for, so that its results
// may be read.
func (a *Actor) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	var begun atomic.Bool
	select {
	case a.inbox <- func() {
		if begun.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	}:
	case <-ctx.Done():
		return ctx.Err()
	case <-a.group.ctx.Done():
		return ErrStopped
	}
	err := ErrStopped
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-a.group.ctx.Done():
	}
	if begun.CompareAndSwap(false, true) {
		return err
	}
	<-done
	return nil
}

// Call enqueues a command and returns its result. Unlike Do, it returns as soon as ctx ends, for commands that
// may take long; the command may still run after that.
func Call[T any](ctx context.Context, actor *Actor, f func() T) (T, error) {
	result := make(chan T, 1)
	var zero T
	select {
	case actor.inbox <- func() { result <- f() }:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-actor.group.ctx.Done():
		return zero, ErrStopped
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-actor.group.ctx.Done():
		return zero, ErrStopped
	}
}

// Sleep pauses for d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WaitOn waits until ch is closed, d has passed or ctx ends, and reports whether ch was closed.
func WaitOn(ctx context.Context, ch <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ch:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Repeat calls f until the group stops, with a pause of gap after each call.
func (g *Group) Repeat(gap time.Duration, f func(ctx context.Context)) {
	g.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			g.WaitWhileFrozen()
			f(ctx)
			Sleep(ctx, gap)
		}
	})
}

// FanOut calls f for 0..n-1 concurrently and returns a channel with the n results in order of completion.
// Calls that a stopped group does not start yield the zero value.
func FanOut[T any](g *Group, n int, f func(ctx context.Context, i int) T) <-chan T {
	out := make(chan T, n)
	for i := range n {
		if !g.Go(func(ctx context.Context) { out <- f(ctx, i) }) {
			var zero T
			out <- zero
		}
	}
	return out
}
