package owner

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// slot is one slot of the control state as this core sees it. Its plain fields
// belong to its actor; readers outside the actor use the atomic ones.
type slot struct {
	owner                   *Owner
	index                   int
	actor                   *run.Actor
	changes                 changeQueue
	epoch                   atomic.Uint64
	leaseUntil              atomic.Int64            // lease good until, on our clock; 0 when not held
	orderFrom               atomic.Int64            // from when on orders may be sent, on our clock
	unleasedFor             atomic.Int64            // how long nobody had held the slot for sure when it was taken
	orders                  orderActivity           // that are sent under the lease
	version                 uint64                  // of the newest write in the slot
	records                 map[string]state.Record // nil when not held
	highestEpoch            uint64                  // highest epoch heard of
	retryAt                 time.Duration           // the slot is not asked for before
	preferredElsewhereSince time.Duration           // since when another core is preferred
	ticks                   int
	missed                  map[string]map[state.Stamp]bool // by voter: writes that it has not answered for
}

func (s *slot) held() bool {
	return s.owner.d.Clock.Since() < time.Duration(s.leaseUntil.Load())
}

// giveUp ends the lease on the slot; release tells the grantors.
func (s *slot) giveUp(why string, release bool) { s.giveUpTo("", why, release) }

// giveUpFor is giveUp for the core that is to hold the slot next.
func (s *slot) giveUpTo(next, why string, release bool) {
	wasHeld := s.leaseUntil.Swap(0) > 0
	if !wasHeld {
		return
	}
	o := s.owner
	o.d.Log.Info("slot given up", "slot", s.index, "epoch", s.epoch.Load(), "why", why)
	s.records = nil
	s.backOff(200, 400)
	if release {
		set := o.d.Acceptor.Membership().Set
		q := state.Request{SetVersion: set.Version, From: o.d.Self(), Slot: s.index, Epoch: s.epoch.Load(), IdleMs: s.orders.idleFor(o.d.Clock.Since()).Milliseconds(), NextHolder: next}
		o.poll(set, "/state/release", q, o.d.Acceptor.Release, false)
	}
}

// tryAgainIn lets the slot be for low to low+spread milliseconds.
// Why: cores that ask for it at the same moment get in each other's way.
func (s *slot) backOff(low, spread int) {
	s.retryAt = s.owner.d.Clock.Since() + time.Duration(low+rand.IntN(spread))*time.Millisecond
}

// onTick takes the slot, gives it up or repairs it, as is due.
func (s *slot) onTick() {
	o := s.owner
	s.ticks++
	if s.records != nil && !s.held() {
		s.giveUp("hold ran out", false)
		s.records = nil
	}
	st := o.d.Acceptor.Membership()
	if st.Phase != acceptor.Voter || o.stopped.Load() {
		return
	}
	if !o.d.Acceptor.DiskUsable() {
		s.giveUp("disk", true)
		return
	}
	s.acquireOrHandBack(st.Set)
	if s.records != nil && (s.ticks%repairTicks == 0 || len(s.missed) > 0 && s.ticks%2 == 0) {
		s.repair(st.Set)
	}
}

// takeOrHandBack takes the slot if this core should hold it, and gives it up if
// another should and can.
func (s *slot) acquireOrHandBack(set state.CoreSet) {
	o := s.owner
	now := o.d.Clock.Since()
	rank := o.d.Rank(s.index)
	me := slices.IndexFunc(rank, func(c state.Core) bool { return c.SameVoter(o.d.Self()) })
	known := me >= 0
	switch {
	case s.records == nil && known && now >= s.retryAt && s.mayAcquireNow(me, now):
		s.acquire(set)
	case s.records != nil && me > 0 && o.SinceLastGrant(rank[0]) < 2*time.Second:
		// Why: opinions of who is alive flap; a slot moves only when one holds for a while, and only to a
		// core that grants us our own leases.
		if s.preferredElsewhereSince == 0 {
			s.preferredElsewhereSince = now
		} else if now-s.preferredElsewhereSince > s.handbackDelay(now) {
			s.giveUpTo(rank[0].Name, "another core is preferred", true)
		}
	default:
		s.preferredElsewhereSince = 0
	}
}

// handback is how long the slot is kept that another core is preferred for.
func (s *slot) handbackDelay(now time.Duration) time.Duration {
	if s.orders.idleFor(now) >= s.owner.d.Quarantine {
		return min(idleHandbackDelay, s.owner.d.HandbackDelay)
	}
	return s.owner.d.HandbackDelay
}

// inTurn says whether the core at this place of the rank may take the slot now.
// Why: who should hold it may be alive for some and cut off from the other cores;
// a slot that nobody holds goes to the next in rank.
func (s *slot) mayAcquireNow(me int, now time.Duration) bool {
	return me == 0 || s.heldBeforeStart(now) || s.owner.d.Acceptor.UnleasedFor(s.index) > takeoverDelay*time.Duration(me)
}

// heldBeforeStart says that this core held the slot last, before it was started.
// Why: the others keep everybody else out until that lease has run out.
func (s *slot) heldBeforeStart(now time.Duration) bool {
	return now-s.owner.startedAt < state.LeaseDuration && s.owner.d.Acceptor.LastHolder(s.index).SameVoter(s.owner.d.Self())
}
