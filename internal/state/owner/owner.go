// Package owner holds the slots of the control state that this core has a lease
// on: it takes them under a rising epoch, renews the leases, writes through a
// majority of synced disks and repairs voters that missed a write.
//
// A core makes one Owner; the core membership, the placement planner and the
// operators' interface read and change keys through it. It keeps nothing on disk
// itself (each voter's acceptor does), never changes the set of voters, and never
// answers for a slot whose lease has run out.
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
	// interval is the time between two looks at a slot, and between two renewals.
	tickInterval = 250 * time.Millisecond
	// callTimeout bounds one message to a voter.
	callTimeout = 900 * time.Millisecond
	// lapse is how long, times its rank, a core lets a slot go unheld before it takes it out of turn.
	takeoverDelay = time.Second
	// quietHandback is how long a slot is kept that another core is preferred for, where handing it over costs no orders.
	idleHandbackDelay = 3 * time.Second
	// repairEvery is how many intervals lie between two looks for missed writes in one slot.
	repairTicks = 8
)

// Deps is what an owner needs from the rest of the core.
type Deps struct {
	// Self is this core as a voter; its disk's identity changes when the core is reset.
	Self     func() state.Core
	Group    *run.Group
	Clock    tick.Clock
	Log      *slog.Logger
	Caller   *wire.Caller
	Acceptor *acceptor.Acceptor
	// Addr is where a voter is reached now; false when it is thought gone.
	Addr func(state.Core) (string, bool)
	// Rank lists the live voters, the one who should hold the slot first.
	Rank func(slot int) []state.Core
	// Behind is told that a voter knows an older core membership.
	Behind func(state.Core)
	// Quarantine is how long a new owner gives no orders: what the old one sent
	// may still be on its way.
	Quarantine time.Duration
	// OwnQuarantine is how long after its start a core gives no orders for slots that
	// its earlier life held; 0 where replicas know a controller by its name alone.
	OwnQuarantine time.Duration
	// Handback is how long a slot is kept that another core is preferred for. One under which no order was sent
	// for Quarantine is kept for quietHandback at most: its next holder may send orders at once.
	HandbackDelay time.Duration
	// OnTake is called in the slot's actor when a slot has been taken.
	OnTake func(slot int, records []state.Record)
}

// Owner is the slots this core holds. Its methods may be called from anywhere.
type Owner struct {
	d         Deps
	slots     [state.SlotCount]*slot
	stopped   atomic.Bool
	repaired  atomic.Int64
	startedAt time.Duration
	mu        sync.Mutex
	lastGrant map[string]time.Duration // voter: when it last granted us something
}

// New starts to look for slots to hold; it runs until the group of d stops.
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

// Stop gives up all slots, so that others may have them at once, and takes none again.
func (o *Owner) Stop(ctx context.Context) {
	o.stopped.Store(true)
	for _, s := range o.slots {
		_ = s.actor.Ask(ctx, func() { s.giveUp("stopping", true) })
	}
}

// Owed counts writes that voters missed and were handed later.
func (o *Owner) Repaired() int64 { return o.repaired.Load() }

// Held lists the slots held now with their epochs.
func (o *Owner) Held() map[int]uint64 {
	out := map[int]uint64{}
	for _, s := range o.slots {
		if s.held() {
			out[s.index] = s.epoch.Load()
		}
	}
	return out
}

// Holds says whether this core holds the key now.
func (o *Owner) Holds(key string) bool { return o.slots[state.SlotOf(key)].held() }

// MayOrder says whether this core may send an order for the key now, under
// which epoch, and how long the lease still lasts.
func (o *Owner) MayOrder(key string) (epoch uint64, left time.Duration, ok bool) {
	s := o.slots[state.SlotOf(key)]
	epoch = s.epoch.Load()
	now := o.d.Clock.Since()
	left = time.Duration(s.leaseUntil.Load()) - now
	return epoch, left, left > 0 && now >= time.Duration(s.orderFrom.Load()) && s.epoch.Load() == epoch
}

// FreeFor is how long nobody had held the slot of a key for sure when it was taken.
func (o *Owner) UnleasedFor(key string) time.Duration {
	return time.Duration(o.slots[state.SlotOf(key)].unleasedFor.Load())
}

// HeardFor is how long ago a voter granted us something; an hour if it never has.
func (o *Owner) SinceLastGrant(c state.Core) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.lastGrant[c.Name]
	if !found {
		return time.Hour
	}
	return o.d.Clock.Since() - at
}
