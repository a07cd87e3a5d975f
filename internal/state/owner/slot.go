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
	o         *Owner
	n         int
	actor     *run.Actor
	changes   changes
	epoch     atomic.Uint64
	until     atomic.Int64            // lease good until, on our clock; 0 when not held
	orderFrom atomic.Int64            // from when on orders may be sent, on our clock
	freeFor   atomic.Int64            // how long nobody had held the slot for sure when it was taken
	orders    orders                  // that are sent under the lease
	version   uint64                  // of the newest write in the slot
	table     map[string]state.Record // nil when not held
	seen      uint64                  // highest epoch heard of
	waitUntil time.Duration           // the slot is not asked for before
	strayed   time.Duration           // since when another core is preferred
	ticks     int
	owes      map[string]map[state.Stamp]bool // by voter: writes that it has not answered for
}

func (s *slot) held() bool {
	return s.o.d.Clock.Since() < time.Duration(s.until.Load())
}

// giveUp ends the lease on the slot; release tells the grantors.
func (s *slot) giveUp(why string, release bool) { s.giveUpFor("", why, release) }

// giveUpFor is giveUp for the core that is to hold the slot next.
func (s *slot) giveUpFor(next, why string, release bool) {
	wasHeld := s.until.Swap(0) > 0
	if !wasHeld {
		return
	}
	o := s.o
	o.d.Log.Info("slot given up", "slot", s.n, "epoch", s.epoch.Load(), "why", why)
	s.table = nil
	s.tryAgainIn(200, 400)
	if release {
		set := o.d.Acceptor.Standing().Set
		q := state.Request{SetVersion: set.Version, From: o.d.Self(), Slot: s.n, Epoch: s.epoch.Load(), IdleMs: s.orders.quietFor(o.d.Clock.Since()).Milliseconds(), NextHolder: next}
		o.poll(set, "/state/release", q, o.d.Acceptor.Release, false)
	}
}

// tryAgainIn lets the slot be for low to low+spread milliseconds.
// Why: cores that ask for it at the same moment get in each other's way.
func (s *slot) tryAgainIn(low, spread int) {
	s.waitUntil = s.o.d.Clock.Since() + time.Duration(low+rand.IntN(spread))*time.Millisecond
}

// onTick takes the slot, gives it up or repairs it, as is due.
func (s *slot) onTick() {
	o := s.o
	s.ticks++
	if s.table != nil && !s.held() {
		s.giveUp("hold ran out", false)
		s.table = nil
	}
	st := o.d.Acceptor.Standing()
	if st.Phase != acceptor.Voter || o.stop.Load() {
		return
	}
	if !o.d.Acceptor.Keeps() {
		s.giveUp("disk", true)
		return
	}
	s.takeOrHandBack(st.Set)
	if s.table != nil && (s.ticks%repairEvery == 0 || len(s.owes) > 0 && s.ticks%2 == 0) {
		s.repair(st.Set)
	}
}

// takeOrHandBack takes the slot if this core should hold it, and gives it up if
// another should and can.
func (s *slot) takeOrHandBack(set state.CoreSet) {
	o := s.o
	now := o.d.Clock.Since()
	rank := o.d.Rank(s.n)
	me := slices.IndexFunc(rank, func(c state.Core) bool { return c.SameVoter(o.d.Self()) })
	known := me >= 0
	switch {
	case s.table == nil && known && now >= s.waitUntil && s.inTurn(me, now):
		s.take(set)
	case s.table != nil && me > 0 && o.HeardFor(rank[0]) < 2*time.Second:
		// Why: opinions of who is alive flap; a slot moves only when one holds for a while, and only to a
		// core that grants us our own leases.
		if s.strayed == 0 {
			s.strayed = now
		} else if now-s.strayed > s.handback(now) {
			s.giveUpFor(rank[0].Name, "another core is preferred", true)
		}
	default:
		s.strayed = 0
	}
}

// handback is how long the slot is kept that another core is preferred for.
func (s *slot) handback(now time.Duration) time.Duration {
	if s.orders.quietFor(now) >= s.o.d.Quarantine {
		return min(quietHandback, s.o.d.Handback)
	}
	return s.o.d.Handback
}

// inTurn says whether the core at this place of the rank may take the slot now.
// Why: who should hold it may be alive for some and cut off from the other cores;
// a slot that nobody holds goes to the next in rank.
func (s *slot) inTurn(me int, now time.Duration) bool {
	return me == 0 || s.heldBeforeStart(now) || s.o.d.Acceptor.Lapsed(s.n) > lapse*time.Duration(me)
}

// heldBeforeStart says that this core held the slot last, before it was started.
// Why: the others keep everybody else out until that lease has run out.
func (s *slot) heldBeforeStart(now time.Duration) bool {
	return now-s.o.began < state.LeaseDuration && s.o.d.Acceptor.Promised(s.n).SameVoter(s.o.d.Self())
}
