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

// promise is the stored state of a slot apart from its records.
type promise struct {
	Epoch      uint64     `cbor:"1,keyasint"`
	Holder     state.Core `cbor:"2,keyasint"`
	FullEpoch  uint64     `cbor:"3,keyasint"`           // newest epoch whose complete table is stored here
	Version    uint64     `cbor:"4,keyasint"`           // newest version seen in the slot
	FullWriter state.Core `cbor:"5,keyasint,omitempty"` // the core that wrote the complete table of FullEpoch
}

// slotState is the state of one slot. Its fields belong to its actor, except for the atomic ones.
type slotState struct {
	actor      *run.Actor
	promise    promise
	leaseUntil atomic.Int64               // end of the granted lease, on the local clock
	noGrantYet bool                       // no lease has been granted since the start or the last reset
	released   leaseClaim                 // the claim that was released last
	idle       idlePeriod                 // as reported by the holder that released the slot
	reserved   reservation                // for the next holder that the release named
	lastHolder atomic.Pointer[state.Core] // promise.Holder, for readers outside the actor
}

// leaseClaim is the claim of one core to a slot under one epoch.
type leaseClaim struct {
	epoch  uint64
	holder state.Core
}

// idlePeriod records since when, on the local clock, no order has been in flight under a released lease.
type idlePeriod struct {
	epoch uint64
	since time.Duration
}

// reservationTime is how long a slot released in favour of one core is refused to all others.
const reservationTime = time.Second

// reservation names the core that a slot was released in favour of, and when it ends on the local clock.
type reservation struct {
	core  string
	until time.Duration
}

// excludes reports whether the slot is reserved for a core other than from. Cores may briefly disagree about the
// set of voters; without a reservation another core would acquire the free slot and then release it again.
func (m reservation) excludes(from state.Core, now time.Duration) bool {
	return m.core != "" && m.core != from.Name && now < m.until
}

// idleMs returns how long no order has been in flight under the lease that was promised last; 0 means unknown.
func (t *slotState) idleMs(now time.Duration) int64 {
	if t.idle.epoch == 0 || t.idle.epoch != t.promise.Epoch {
		return 0
	}
	return (now - t.idle.since).Milliseconds()
}

// setPromise replaces the promise with the one that has been synced to disk.
func (t *slotState) setPromise(pr promise) {
	t.promise = pr
	holder := pr.Holder
	t.lastHolder.Store(&holder)
}

// wasReleased reports whether a message belongs to a claim that has been released.
// Messages may be reordered, and a renewal processed after its own release would
// block the slot for a full lease duration.
func (t *slotState) wasReleased(from state.Core, epoch uint64) bool {
	return epoch <= t.released.epoch && t.released.holder.SameVoter(from)
}

// unavailableTo reports whether another core may hold a lease or a reservation. While
// one may, the slot is not promised to from. Leases are granted only to the holder stored on disk, so
// after a restart, too, only that core can have a lease, and it may ask for it again.
func (t *slotState) unavailableTo(from state.Core, now time.Duration) bool {
	return now < time.Duration(t.leaseUntil.Load()) && !t.promise.Holder.SameVoter(from) && t.promise.Epoch > 0 || t.reserved.excludes(from, now)
}

// setLeaseEnd sets the end of the lease on the local clock.
func (t *slotState) setLeaseEnd(until time.Duration) { t.leaseUntil.Store(int64(until)) }

// reset clears everything known about the slot, except for the end of its lease.
func (t *slotState) reset() {
	t.setPromise(promise{})
	t.noGrantYet, t.released, t.idle = true, leaseClaim{}, idlePeriod{}
	t.reserved = reservation{}
}

// checkVote reports whether this core may vote: its disk works, it is a voter, and set is the version of its
// core set. Otherwise the reply gives the reason.
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

// onSlot runs f in the actor of the slot if this core may vote under the core set version of q.
func (a *Acceptor) onSlot(ctx context.Context, q state.Request, f func(t *slotState, r *state.Reply)) (state.Reply, error) {
	if q.Slot < 0 || q.Slot >= state.SlotCount {
		return state.Reply{}, wire.Refuse("bad", fmt.Sprintf("slot %d", q.Slot))
	}
	t := a.slots[q.Slot]
	// A stalled disk must not block the caller beyond its deadline; what is synced after that still takes effect.
	return run.Call(ctx, t.actor, func() state.Reply {
		r, ok := a.checkVote(q.SetVersion)
		if ok {
			f(t, &r)
		}
		r.Epoch, r.Holder = t.promise.Epoch, t.promise.Holder
		return r
	})
}
