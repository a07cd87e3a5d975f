package acceptor

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// promise is what is on the disk of a slot besides its records.
type promise struct {
	Epoch      uint64     `cbor:"1,keyasint"`
	Holder     state.Core `cbor:"2,keyasint"`
	FullEpoch  uint64     `cbor:"3,keyasint"`           // newest epoch whose whole table is here
	Version    uint64     `cbor:"4,keyasint"`           // newest version seen in the slot
	FullWriter state.Core `cbor:"5,keyasint,omitempty"` // who wrote the whole table under Full
}

// table is one slot; it belongs to its actor but for the atomic fields.
type slotState struct {
	actor      *run.Actor
	promise    promise
	leaseUntil atomic.Int64               // lease granted until, on our clock
	noGrantYet bool                       // since start nobody has been granted: wait a whole lease
	released   leaseClaim                 // let go of last
	idle       idlePeriod                 // by the word of who let go of it
	reserved   reservation                // for whom it was let go of
	lastHolder atomic.Pointer[state.Core] // pr.Holder, for readers outside the actor
}

// bid is one try of one core to lease a slot.
type leaseClaim struct {
	epoch  uint64
	holder state.Core
}

// quiet is since when, on our clock, no order has been sent under a lease that was let go of.
type idlePeriod struct {
	epoch uint64
	since time.Duration
}

// meantFor is how long a slot that was let go of for one core is promised to no other.
const reservationTime = time.Second

// meant is the core that a slot was let go of for, and until when on our clock it is kept for that one.
type reservation struct {
	core  string
	until time.Duration
}

// keepsOut says that the slot is kept for another core. Why: for a moment cores may know of different voters, and each
// other one would take what is free for itself and hand it on again.
func (m reservation) excludes(from state.Core, now time.Duration) bool {
	return m.core != "" && m.core != from.Name && now < m.until
}

// quietMs is for how long no order has been sent under the lease that was promised last; 0 is not known.
func (t *slotState) idleMs(now time.Duration) int64 {
	if t.idle.epoch == 0 || t.idle.epoch != t.promise.Epoch {
		return 0
	}
	return (now - t.idle.since).Milliseconds()
}

// keep takes a promise as it is on the disk now.
func (t *slotState) setPromise(pr promise) {
	t.promise = pr
	holder := pr.Holder
	t.lastHolder.Store(&holder)
}

// over says whether a message belongs to a bid that was let go of. Why: messages
// overtake each other, and a renewal read after its own release would keep
// everybody out for a whole lease.
func (t *slotState) wasReleased(from state.Core, epoch uint64) bool {
	return epoch <= t.released.epoch && t.released.holder.SameVoter(from)
}

// heldAgainst says that a lease may be in use that is not the asker's. Why: while
// one may be, no other holder is promised anything. Every grant was to the holder that is on the disk, so
// after a restart too only that one may have a lease, and may ask for it again.
func (t *slotState) unavailableTo(from state.Core, now time.Duration) bool {
	return now < time.Duration(t.leaseUntil.Load()) && !t.promise.Holder.SameVoter(from) && t.promise.Epoch > 0 || t.reserved.excludes(from, now)
}

// grant makes the lease end at a time on our clock.
func (t *slotState) setLeaseEnd(until time.Duration) { t.leaseUntil.Store(int64(until)) }

// forget makes the slot one of which nothing is known.
func (t *slotState) reset() {
	t.setPromise(promise{})
	t.noGrantYet, t.released, t.idle = true, leaseClaim{}, idlePeriod{}
	t.reserved = reservation{}
}

// vote checks what every vote needs: to be a voter, under the same core membership.
func (a *Acceptor) checkVote(set uint64) (state.Reply, bool) {
	st := a.membership.Load()
	switch {
	case a.diskFailed.Load():
		return state.Reply{Reason: state.ReasonDisk, SetVersion: st.Set.Version}, false
	case st.Phase != Voter:
		return state.Reply{Reason: state.ReasonNotVoter, SetVersion: st.Set.Version}, false
	case set < st.Set.Version:
		return state.Reply{Reason: state.ReasonOlderCoreSet, SetVersion: st.Set.Version}, false
	case set > st.Set.Version:
		return state.Reply{Reason: state.ReasonBehindCoreSet, SetVersion: st.Set.Version}, false
	}
	return state.Reply{SetVersion: st.Set.Version}, true
}

// onSlot runs f in the actor of a slot if this core may vote under the asker's set.
func (a *Acceptor) onSlot(ctx context.Context, q state.Request, f func(t *slotState, r *state.Reply)) (state.Reply, error) {
	if q.Slot < 0 || q.Slot >= state.SlotCount {
		return state.Reply{}, wire.Refuse("bad", fmt.Sprintf("slot %d", q.Slot))
	}
	t := a.slots[q.Slot]
	// Why: a stalled disk must not hold up who asked; what it syncs later counts all the same.
	return run.AskFor(ctx, t.actor, func() state.Reply {
		r, ok := a.checkVote(q.SetVersion)
		if ok {
			f(t, &r)
		}
		r.Epoch, r.Holder = t.promise.Epoch, t.promise.Holder
		return r
	})
}
