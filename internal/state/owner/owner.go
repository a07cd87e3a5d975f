// Package owner manages the slots of the control state that this core holds a lease
// on: it acquires them under increasing epochs, renews the leases, writes through a
// majority of synced disks and repairs voters that missed a write.
//
// A core creates one Owner; package coremembers, the placement planner and the
// operator interface read and change keys through it. It stores nothing on disk
// itself (each voter's acceptor does), never changes the core set, and never
// serves a slot whose lease has expired.
package owner

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

const (
	// tickInterval is the time between two checks of a slot, and between two renewals.
	tickInterval = 250 * time.Millisecond
	// callTimeout bounds one message to a voter.
	callTimeout = 900 * time.Millisecond
	// takeoverDelay, times a core's rank for a slot, is how long the slot must be unleased before that core may acquire it.
	takeoverDelay = time.Second
	// idleHandbackDelay bounds HandbackDelay for a slot that can be transferred without delaying orders.
	idleHandbackDelay = 3 * time.Second
	// repairTicks is the number of ticks between two checks of a slot for missed writes.
	repairTicks = 8
)

// Deps holds the dependencies and settings of an Owner.
type Deps struct {
	// Self returns this core as a voter; its disk ID changes when the core is reset.
	Self     func() state.Core
	Group    *run.Group
	Clock    tick.Clock
	Log      *slog.Logger
	Caller   *wire.Client
	Acceptor *acceptor.Acceptor
	// Addr returns the current address of a voter, or false if the voter is believed to be down.
	Addr func(state.Core) (string, bool)
	// Rank lists the live voters in order of preference for the slot, the preferred holder first.
	Rank func(slot int) []state.Core
	// OnVoterBehind is called when a voter refuses a request because its core set is older.
	OnVoterBehind func(state.Core)
	// Quarantine is how long a new holder of a slot sends no orders, because orders of the
	// previous holder may still be in flight.
	Quarantine time.Duration
	// RestartQuarantine is how long after its start a core sends no orders for slots that
	// it held before the restart; 0 where replicas identify a controller by its name alone.
	RestartQuarantine time.Duration
	// HandbackDelay is how long a slot is kept after another core has become its preferred holder. A slot that was
	// idle for Quarantine is kept for at most idleHandbackDelay, because its next holder may send orders at once.
	HandbackDelay time.Duration
	// OnAcquire is called in the slot's actor after the slot has been acquired.
	OnAcquire func(slot int, records []state.Record)
}

// Owner manages the slots that this core holds. Its methods are safe for concurrent use.
type Owner struct {
	d         Deps
	slots     [state.SlotCount]*slot
	stopped   atomic.Bool
	repaired  atomic.Int64
	startedAt time.Duration
	mu        sync.Mutex
	lastGrant map[string]time.Duration // by voter name: when the last renewal that it answered was sent
}

// New creates an Owner and starts to acquire slots; it runs until the group of d stops.
func New(d Deps) *Owner {
	o := &Owner{d: d, lastGrant: map[string]time.Duration{}, startedAt: d.Clock.Since()}
	for i := range o.slots {
		s := &slot{owner: o, index: i, missed: map[string]map[state.Stamp]bool{}, ticks: i}
		s.actor = run.NewActor(d.Group, 256, tickInterval, s.onTick)
		o.slots[i] = s
	}
	d.Group.Every(tickInterval, o.renew)
	return o
}

// Stop releases all slots, so that other cores can acquire them at once, and acquires none after that.
func (o *Owner) Stop(ctx context.Context) {
	o.stopped.Store(true)
	for _, s := range o.slots {
		_ = s.actor.Do(ctx, func() { s.giveUp("stopping", true) })
	}
}

// Repaired returns how many times a voter's differing copy of a slot was replaced.
func (o *Owner) Repaired() int64 { return o.repaired.Load() }

// Held returns the epochs of the slots that are held now, by slot.
func (o *Owner) Held() map[int]uint64 {
	out := map[int]uint64{}
	for _, s := range o.slots {
		if s.held() {
			out[s.index] = s.epoch.Load()
		}
	}
	return out
}

// Holds reports whether this core holds the slot of the key now.
func (o *Owner) Holds(key string) bool { return o.slots[state.SlotOf(key)].held() }

// MayOrder reports whether this core may send an order for the key now, the
// epoch to send it under, and the remaining time of the lease.
func (o *Owner) MayOrder(key string) (epoch uint64, left time.Duration, ok bool) {
	s := o.slots[state.SlotOf(key)]
	epoch = s.epoch.Load()
	now := o.d.Clock.Since()
	left = time.Duration(s.leaseUntil.Load()) - now
	return epoch, left, left > 0 && now >= time.Duration(s.orderFrom.Load()) && s.epoch.Load() == epoch
}

// UnleasedFor returns for how long, at least, no core had held the slot of the key when it was acquired.
func (o *Owner) UnleasedFor(key string) time.Duration {
	return time.Duration(o.slots[state.SlotOf(key)].unleasedFor.Load())
}

// SinceLastGrant returns the time since the voter last answered a renewal, or an hour if it never has.
func (o *Owner) SinceLastGrant(c state.Core) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.lastGrant[c.Name]
	if !found {
		return time.Hour
	}
	return o.d.Clock.Since() - at
}
