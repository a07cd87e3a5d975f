package owner

import (
	"context"
	"time"

	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// acquire asks a majority for the slot and writes their newest records
// under the new epoch before it serves the slot.
func (s *slot) acquire(set state.CoreSet) {
	o := s.owner
	if !s.available(set) {
		s.backOff(100, 200)
		return
	}
	s.highestEpoch++
	askedAt := o.d.Clock.Since()
	q := state.Request{SetVersion: set.Version, From: o.d.Self(), Slot: s.index, Epoch: s.highestEpoch}
	accepted, ok := s.prepare(set, q)
	if !ok {
		return
	}
	firstTime := s.epoch.Load() == 0
	recs, pr := acceptor.Merge(accepted)
	s.records = map[string]state.Record{}
	s.version = pr.Version + 1
	s.epoch.Store(q.Epoch)
	s.preferredElsewhereSince = 0
	s.missed = map[string]map[state.Stamp]bool{}
	for i := range recs {
		recs[i].Stamp = state.Stamp{Epoch: q.Epoch, Version: recs[i].Stamp.Version}
	}
	s.orders.reset(o.d.Clock.Since())
	// The quarantine is set before the lease, so that MayOrder never combines the new lease with the previous quarantine.
	s.setQuarantine(q.Epoch, accepted, firstTime)
	s.leaseUntil.Store(int64(askedAt + state.LeaseDuration - state.LeaseMargin))
	if err := s.write(recs, true); err != nil {
		o.d.Log.Info("slot not taken", "slot", s.index, "epoch", q.Epoch, "error", err)
		s.giveUp("records not written to a majority", true)
		s.records = nil
		return
	}
	o.d.Log.Info("slot taken", "slot", s.index, "epoch", q.Epoch, "records", len(recs))
	if o.d.OnAcquire != nil {
		o.d.OnAcquire(s.index, recs)
	}
}

// prepare asks the voters for promises under the epoch of q. If no majority gives
// one, it releases those that were given and backs off.
func (s *slot) prepare(set state.CoreSet, q state.Request) (accepted []state.Reply, ok bool) {
	o := s.owner
	// It returns as soon as a majority has promised, so that an unreachable core causes no delay.
	accepted, refused, _ := o.poll(set, "/state/prepare", q, o.d.Acceptor.Prepare, true)
	held := false
	for _, n := range refused {
		s.highestEpoch = max(s.highestEpoch, n.Epoch)
		held = held || n.Reason == state.ReasonHeld
	}
	if len(accepted) >= set.Quorum() {
		return accepted, true
	}
	if len(accepted) > 0 {
		// Promises without a majority block the next candidate, so they are released, in the background.
		o.d.Group.Go(func(context.Context) { o.poll(set, "/state/release", q, o.d.Acceptor.Release, false) })
	}
	if held {
		s.backOff(200, 200)
	} else {
		s.backOff(100, 300)
	}
	return nil, false
}

// setQuarantine sets from when on orders may be sent under a newly acquired epoch,
// and how long the slot had been without a holder. firstTime is true if this
// process had not held the slot before.
func (s *slot) setQuarantine(epoch uint64, accepted []state.Reply, firstTime bool) {
	o := s.owner
	// Orders of the previous holder may still be in flight; the first holder of all has no predecessor.
	wonAt := o.d.Clock.Since()
	orderFrom, free := wonAt+o.d.Quarantine-max(unleasedFor(accepted), idleFor(accepted)), unleasedFor(accepted)
	switch {
	case epoch == 1:
		orderFrom = wonAt
	case s.lastHeldByThisCore(accepted):
		orderFrom = max(wonAt, o.startedAt+o.d.RestartQuarantine)
	}
	// Whatever the core did before its restart ended when this process started; leases held by this process did not.
	if firstTime && (epoch == 1 || s.lastHeldByThisCore(accepted)) {
		free = max(free, min(wonAt-o.startedAt, state.LeaseDuration))
	}
	s.orderFrom.Store(int64(orderFrom))
	s.unleasedFor.Store(int64(free))
}

// available reports whether a majority would promise the slot, and records the highest epoch
// among the replies.
func (s *slot) available(set state.CoreSet) bool {
	q := state.Request{SetVersion: set.Version, From: s.owner.d.Self(), Slot: s.index}
	accepted, refused, _ := s.owner.poll(set, "/state/peek", q, s.owner.d.Acceptor.Peek, true)
	for _, r := range append(refused, accepted...) {
		s.highestEpoch = max(s.highestEpoch, r.Epoch)
	}
	return len(accepted) >= set.Quorum()
}

// unleasedFor returns for how long, at least, no core has held the slot. The last holder
// needed grants from a majority, at least one member of which has answered. The holder's lease, and with it
// its orders, ended before the last of the grants that were reported.
func unleasedFor(accepted []state.Reply) time.Duration {
	return minReported(accepted, func(r state.Reply) int64 { return r.UnleasedMs })
}

// idleFor returns how long no order has been in flight under the slot's latest lease; 0 means unknown. A lease that
// allowed orders was promised by a majority, at least one member of which has answered. The time is therefore known only
// if no voter that answered has seen a later lease than the one whose holder reported it.
func idleFor(accepted []state.Reply) time.Duration {
	return minReported(accepted, func(r state.Reply) int64 { return r.IdleMs })
}

// minReported returns the shortest time among the replies, or 0 if there are none.
func minReported(accepted []state.Reply, ms func(state.Reply) int64) time.Duration {
	if len(accepted) == 0 {
		return 0
	}
	shortest := ms(accepted[0])
	for _, r := range accepted[1:] {
		shortest = min(shortest, ms(r))
	}
	return time.Duration(shortest) * time.Millisecond
}

// lastHeldByThisCore reports whether this core was the last to hold the slot. A holder
// first writes the full table to a majority, at least one member of which has answered; a
// promise alone does not prove that the slot was held. Orders of this process need no quarantine, and those sent
// before a restart only OwnQuarantine.
func (s *slot) lastHeldByThisCore(accepted []state.Reply) bool {
	var last state.Reply
	for _, r := range accepted {
		if r.FullEpoch > last.FullEpoch {
			last = r
		}
	}
	return last.FullEpoch > 0 && last.FullWriter.Name == s.owner.d.Self().Name
}
