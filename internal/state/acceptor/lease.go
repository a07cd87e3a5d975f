package acceptor

import (
	"context"
	"time"

	"github.com/cockroachdb/pebble/v2"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// Peek reports whether the slot is available to the requester, without changing state. A promise
// that does not lead to a majority would still block the holder: its renewals are refused here from then on.
func (a *Acceptor) Peek(ctx context.Context, q state.Request) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *slotState, r *state.Reply) {
		if r.OK = !t.unavailableTo(q.From, a.clock.Since()); !r.OK {
			r.Reason = state.ReasonHeld
		}
	})
}

// Prepare promises a slot to a core under an epoch higher than any promised before, and grants it a lease.
func (a *Acceptor) Prepare(ctx context.Context, q state.Request) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *slotState, r *state.Reply) {
		now := a.clock.Since()
		if q.Epoch <= t.promise.Epoch || t.wasReleased(q.From, q.Epoch) {
			r.Reason = state.ReasonLowerEpoch
			return
		}
		if t.unavailableTo(q.From, now) {
			r.Reason = state.ReasonHeld
			return
		}
		next := t.promise
		next.Epoch, next.Holder = q.Epoch, q.From
		if err := a.commit(func(b *pebble.Batch) error { return b.Set(keyPromise(q.Slot), wire.Marshal(next), nil) }); err != nil {
			r.Reason = state.ReasonDisk
			return
		}
		recs, err := a.records(q.Slot)
		if err != nil {
			r.Reason = state.ReasonDisk
			return
		}
		r.FullWriter, r.IdleMs = t.promise.FullWriter, t.idleMs(now)
		r.UnleasedMs = max(0, (now - time.Duration(t.leaseUntil.Load())).Milliseconds())
		t.setPromise(next)
		t.noGrantYet, t.reserved = false, reservation{}
		t.setLeaseEnd(a.clock.Since() + state.LeaseDuration)
		r.OK, r.Records, r.FullEpoch, r.Version = true, recs, next.FullEpoch, next.Version
	})
}

// Renew extends leases; slots promised under a higher epoch are listed as lost. If this
// core may not vote, the refusal's code is one of the state.Reason constants.
func (a *Acceptor) Renew(ctx context.Context, q state.RenewRequest) (state.RenewReply, error) {
	out := state.RenewReply{Lost: map[int]uint64{}}
	check, ok := a.checkVote(q.SetVersion)
	out.SetVersion = check.SetVersion
	if !ok {
		return out, wire.Refuse(check.Reason, "renewal")
	}
	for slot, epoch := range q.Epochs {
		r, err := a.onSlot(ctx, state.Request{SetVersion: q.SetVersion, From: q.From, Slot: slot, Epoch: epoch}, func(t *slotState, r *state.Reply) {
			if epoch < t.promise.Epoch || epoch == t.promise.Epoch && !t.promise.Holder.SameVoter(q.From) || t.wasReleased(q.From, epoch) {
				return
			}
			if epoch > t.promise.Epoch {
				next := t.promise
				next.Epoch, next.Holder, next.Version = epoch, q.From, 0
				if err := a.commit(func(b *pebble.Batch) error { return b.Set(keyPromise(slot), wire.Marshal(next), nil) }); err != nil {
					return
				}
				t.setPromise(next)
			}
			t.noGrantYet = false
			t.setLeaseEnd(a.clock.Since() + state.LeaseDuration)
			r.OK = true
		})
		switch {
		case err != nil:
			return out, err
		case r.OK:
			out.Granted = append(out.Granted, slot)
		case r.Epoch > epoch:
			out.Lost[slot] = r.Epoch
		}
	}
	return out, nil
}

// Release ends a lease early; the promise stays.
func (a *Acceptor) Release(ctx context.Context, q state.Request) (state.Reply, error) {
	return a.onSlot(ctx, q, func(t *slotState, r *state.Reply) {
		if !t.wasReleased(q.From, q.Epoch) {
			t.released = leaseClaim{q.Epoch, q.From}
		}
		if q.Epoch == t.promise.Epoch && t.promise.Holder.SameVoter(q.From) && !t.noGrantYet {
			now := a.clock.Since()
			t.setLeaseEnd(now)
			t.reserved = reservation{q.NextHolder, now + reservationTime}
			if q.IdleMs > 0 {
				t.idle = idlePeriod{q.Epoch, now - time.Duration(q.IdleMs)*time.Millisecond}
			}
		}
		r.OK = true
	})
}

// LastHolder returns the core that the slot was promised to last.
func (a *Acceptor) LastHolder(slot int) state.Core {
	if c := a.slots[slot].lastHolder.Load(); c != nil {
		return *c
	}
	return state.Core{}
}

// UnleasedFor returns how long ago the last lease granted here ended; 0 while one is valid.
func (a *Acceptor) UnleasedFor(slot int) time.Duration {
	return max(0, a.clock.Since()-time.Duration(a.slots[slot].leaseUntil.Load()))
}
