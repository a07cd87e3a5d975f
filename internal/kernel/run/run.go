// Package run is the one place that starts goroutines and the one place that
// holds a select loop.
package run

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrStopped is given to whoever asks an actor whose group has stopped.
var ErrStopped = errors.New("run: stopped")

// ErrFull is given when an actor's queue has no place left.
var ErrFull = errors.New("run: queue is full")

// Group is a set of goroutines that live and end together.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	ended  bool
	frozen atomic.Pointer[chan struct{}]
	parent *Group
}

// Child makes a group that freezes and ends with this one, or before it.
func (g *Group) Child() *Group {
	c := NewGroup(g.ctx)
	c.parent = g
	return c
}

// NewGroup starts an empty group under ctx.
func NewGroup(ctx context.Context) *Group {
	inner, cancel := context.WithCancel(ctx)
	return &Group{ctx: inner, cancel: cancel}
}

// Context ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f until it returns; it is not started once the group has stopped.
func (g *Group) Go(f func(ctx context.Context)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Why: a late start must not race with the wait in Stop.
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

// Stop ends the group and waits for every goroutine in it.
func (g *Group) Stop() {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	g.Thaw()
	g.cancel()
	g.wg.Wait()
}

// Freeze makes every loop of the group stand still, as a stopped machine does.
func (g *Group) Freeze() {
	gate := make(chan struct{})
	g.frozen.CompareAndSwap(nil, &gate)
}

// Thaw lets a frozen group go on.
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

// loop is the select loop; every other loop in the system is made of it.
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

// Every calls f at each interval until the group stops.
func (g *Group) Every(interval time.Duration, f func(ctx context.Context)) {
	g.Go(func(ctx context.Context) {
		g.loop(ctx, nil, interval, func() { f(ctx) })
	})
}

// Actor owns a table: commands are worked off one at a time, in order.
type Actor struct {
	group *Group
	inbox chan func()
}

// NewActor opens an actor with a queue of depth commands and an optional interval, at which it calls onTick.
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

// WaitOn waits until ch closes, d passes or ctx ends; true when ch closed.
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

// Repeat calls f again and again, at least gap apart, until the group stops.
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
