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

// Pass blocks while the group is frozen.
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

// Tell hands over a command without waiting; it is dropped when the queue is full.
func (a *Actor) TryEnqueue(f func()) error {
	select {
	case a.inbox <- f:
		return nil
	default:
		return ErrFull
	}
}

// Nudge hands an actor the same command again and again; many before it begins
// make one run of it.
type Trigger struct {
	actor   *Actor
	f       func()
	pending atomic.Bool
}

// NewNudge is for one command of an actor.
func NewTrigger(d *Actor, f func()) *Trigger { return &Trigger{actor: d, f: f} }

// Now sees to it that the command begins after this call.
func (n *Trigger) Fire() {
	if n.pending.Swap(true) {
		return
	}
	if n.actor.TryEnqueue(func() { n.pending.Store(false); n.f() }) != nil {
		n.pending.Store(false)
	}
}

// Ask hands over a command and waits until it has been worked off. With an
// error it has not run and never will: one that had begun is waited for, so
// what it wrote may be read.
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

// AskFor is Ask for commands that may take longer than anyone wants to wait:
// it goes without the answer when ctx ends, and the command may still run.
func Call[T any](ctx context.Context, d *Actor, f func() T) (T, error) {
	answer := make(chan T, 1)
	var zero T
	select {
	case d.inbox <- func() { answer <- f() }:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-d.group.ctx.Done():
		return zero, ErrStopped
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-d.group.ctx.Done():
		return zero, ErrStopped
	}
}

// Wait lets d pass; false when ctx ends first.
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

// Fan calls f for 0..n-1 side by side and gives the answers as they come.
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
