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

// slot is one slot of the control state as seen by this core. Its plain fields
// belong to its actor; readers outside the actor use the atomic ones.
type slot struct {
	owner                   *Owner
	index                   int
	actor                   *run.Actor
	changes                 changeQueue
	epoch                   atomic.Uint64
	leaseUntil              atomic.Int64            // end of the lease on the local clock; 0 when not held
	orderFrom               atomic.Int64            // orders may be sent from this time on the local clock
	unleasedFor             atomic.Int64            // minimum time without a holder before the slot was acquired
	orders                  orderActivity           // activity of orders sent under the lease
	version                 uint64                  // of the newest write in the slot
	records                 map[string]state.Record // nil when not held
	highestEpoch            uint64                  // highest epoch seen in replies
	retryAt                 time.Duration           // no attempt to acquire the slot before this time
	preferredElsewhereSince time.Duration           // since when another core is preferred; 0 if none is
	ticks                   int
	missed                  map[string]map[state.Stamp]bool // by voter name: writes that the voter has not confirmed
}

// held reports whether the lease on the slot is valid now.
func (s *slot) held() bool {
	return s.owner.d.Clock.Since() < time.Duration(s.leaseUntil.Load())
}

// giveUp ends the lease on the slot; with release it also notifies the voters.
func (s *slot) giveUp(reason string, release bool) { s.giveUpTo("", reason, release) }

// giveUpTo is giveUp with the name of the core that should hold the slot next.
func (s *slot) giveUpTo(next, reason string, release bool) {
	wasHeld := s.leaseUntil.Swap(0) > 0
	if !wasHeld {
		return
	}
	o := s.owner
	o.d.Log.Info("slot given up", "slot", s.index, "epoch", s.epoch.Load(), "why", reason)
	s.records = nil
	s.backOff(200, 400)
	if release {
		set := o.d.Acceptor.Membership().Set
		q := state.Request{SetVersion: set.Version, From: o.d.Self(), Slot: s.index, Epoch: s.epoch.Load(), IdleMs: s.orders.idleFor(o.d.Clock.Since()).Milliseconds(), NextHolder: next}
		o.poll(set, "/state/release", q, o.d.Acceptor.Release, false)
	}
}

// backOff delays the next attempt to acquire the slot by a random time from low to low+spread
// milliseconds, because cores that ask for it at the same time block each other.
func (s *slot) backOff(low, spread int) {
	s.retryAt = s.owner.d.Clock.Since() + time.Duration(low+rand.IntN(spread))*time.Millisecond
}

// onTick acquires the slot, gives it up or repairs its copies, as needed.
func (s *slot) onTick() {
	o := s.owner
	s.ticks++
	if s.records != nil && !s.held() {
		s.giveUp("lease expired", false)
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

// acquireOrHandBack acquires the slot if this core should hold it, and gives it up if
// another core is preferred and able to hold it.
func (s *slot) acquireOrHandBack(set state.CoreSet) {
	o := s.owner
	now := o.d.Clock.Since()
	ranking := o.d.Rank(s.index)
	position := slices.IndexFunc(ranking, func(c state.Core) bool { return c.SameVoter(o.d.Self()) })
	known := position >= 0
	switch {
	case s.records == nil && known && now >= s.retryAt && s.mayAcquireNow(position, now):
		s.acquire(set)
	case s.records != nil && position > 0 && o.SinceLastGrant(ranking[0]) < 2*time.Second:
		// Failure detection may flap, so a slot moves only after the preference has been stable for a while, and only to a
		// core that answers this core's lease renewals.
		if s.preferredElsewhereSince == 0 {
			s.preferredElsewhereSince = now
		} else if now-s.preferredElsewhereSince > s.handbackDelay(now) {
			s.giveUpTo(ranking[0].Name, "another core is preferred", true)
		}
	default:
		s.preferredElsewhereSince = 0
	}
}

// handbackDelay returns how long the slot is kept while another core is preferred.
func (s *slot) handbackDelay(now time.Duration) time.Duration {
	if s.orders.idleFor(now) >= s.owner.d.Quarantine {
		return min(idleHandbackDelay, s.owner.d.HandbackDelay)
	}
	return s.owner.d.HandbackDelay
}

// mayAcquireNow reports whether the core at this position of the ranking may acquire the slot now.
// The preferred core may be alive for some cores and unreachable for others, so
// a slot without a holder goes to the next in rank after a delay.
func (s *slot) mayAcquireNow(position int, now time.Duration) bool {
	return position == 0 || s.heldBeforeStart(now) || s.owner.d.Acceptor.UnleasedFor(s.index) > takeoverDelay*time.Duration(position)
}

// heldBeforeStart reports whether this core was the last holder of the slot before its restart.
// Until that lease expires the voters refuse the slot to all other cores.
func (s *slot) heldBeforeStart(now time.Duration) bool {
	return now-s.owner.startedAt < state.LeaseDuration && s.owner.d.Acceptor.LastHolder(s.index).SameVoter(s.owner.d.Self())
}
