package owner

import (
	"context"
	"time"

	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// take asks a majority for the slot, carries their newest records forward
// under the new epoch, and only then serves.
func (s *slot) acquire(set state.CoreSet) {
	o := s.owner
	if !s.available(set) {
		s.backOff(100, 200)
		return
	}
	s.highestEpoch++
	before := o.d.Clock.Since()
	q := state.Request{SetVersion: set.Version, From: o.d.Self(), Slot: s.index, Epoch: s.highestEpoch}
	yes, ok := s.prepare(set, q)
	if !ok {
		return
	}
	firstTime := s.epoch.Load() == 0
	recs, pr := acceptor.Merge(yes)
	s.records = map[string]state.Record{}
	s.version = pr.Version + 1
	s.epoch.Store(q.Epoch)
	s.preferredElsewhereSince = 0
	s.missed = map[string]map[state.Stamp]bool{}
	for i := range recs {
		recs[i].Stamp = state.Stamp{Epoch: q.Epoch, Version: recs[i].Stamp.Version}
	}
	s.orders.reset(o.d.Clock.Since())
	// Why: MayOrder must not find the slot held while it still goes by the quarantine of the time before.
	s.setQuarantine(q.Epoch, yes, firstTime)
	s.leaseUntil.Store(int64(before + state.LeaseDuration - state.LeaseMargin))
	if err := s.write(recs, true); err != nil {
		o.d.Log.Info("slot not taken", "slot", s.index, "epoch", q.Epoch, "error", err)
		s.giveUp("table not kept", true)
		s.records = nil
		return
	}
	o.d.Log.Info("slot taken", "slot", s.index, "epoch", q.Epoch, "records", len(recs))
	if o.d.OnTake != nil {
		o.d.OnTake(s.index, recs)
	}
}

// prepare asks for a majority's promises under the epoch of q. If too few are
// given it lets go of them and has the slot wait.
func (s *slot) prepare(set state.CoreSet, q state.Request) (yes []state.Reply, ok bool) {
	o := s.owner
	// Why: a majority's promises are enough; a core that is cut off must not hold them up.
	yes, noes, _ := o.poll(set, "/state/prepare", q, o.d.Acceptor.Prepare, true)
	held := false
	for _, n := range noes {
		s.highestEpoch = max(s.highestEpoch, n.Epoch)
		held = held || n.Reason == state.ReasonHeld
	}
	if len(yes) >= set.Quorum() {
		return yes, true
	}
	if len(yes) > 0 {
		// Why: what was granted in vain is in the next candidate's way; nobody need wait for it to be told.
		o.d.Group.Go(func(context.Context) { o.poll(set, "/state/release", q, o.d.Acceptor.Release, false) })
	}
	if held {
		s.backOff(200, 200)
	} else {
		s.backOff(100, 300)
	}
	return nil, false
}

// quarantine sets from when on orders may be sent under an epoch that has just
// been won, and how long the slot had been free. firstTime: this life of the
// core had not held the slot before.
func (s *slot) setQuarantine(epoch uint64, yes []state.Reply, firstTime bool) {
	o := s.owner
	// Why: whoever held the slot before may have orders on the way; a first owner has none to wait out.
	wonAt := o.d.Clock.Since()
	orderFrom, free := wonAt+o.d.Quarantine-max(unleasedFor(yes), idleFor(yes)), unleasedFor(yes)
	switch {
	case epoch == 1:
		orderFrom = wonAt
	case s.lastHeldByThisCore(yes):
		orderFrom = max(wonAt, o.startedAt+o.d.OwnQuarantine)
	}
	// Why: what an earlier life of this process did was over when this one began; what it did itself was not.
	if firstTime && (epoch == 1 || s.lastHeldByThisCore(yes)) {
		free = max(free, min(wonAt-o.startedAt, state.LeaseDuration))
	}
	s.orderFrom.Store(int64(orderFrom))
	s.unleasedFor.Store(int64(free))
}

// free asks whether a majority would promise the slot, and learns the epochs that
// they have seen.
func (s *slot) available(set state.CoreSet) bool {
	q := state.Request{SetVersion: set.Version, From: s.owner.d.Self(), Slot: s.index}
	yes, noes, _ := s.owner.poll(set, "/state/peek", q, s.owner.d.Acceptor.Peek, true)
	for _, r := range append(noes, yes...) {
		s.highestEpoch = max(s.highestEpoch, r.Epoch)
	}
	return len(yes) >= set.Quorum()
}

// freeFor is how long nobody has held the slot for sure. Why: who held it last
// needed grants from a majority, one of which is among those that answered; its lease ended before
// the last of theirs, and with the lease its orders.
func unleasedFor(yes []state.Reply) time.Duration {
	return minReported(yes, func(r state.Reply) int64 { return r.UnleasedMs })
}

// quietFor is for how long no order has been sent under the slot's latest lease; 0 is not known. Why: a lease that
// allowed orders was promised by a majority, one of which has answered. Each that has answered must therefore know
// of no later lease than the one whose holder has said so.
func idleFor(yes []state.Reply) time.Duration {
	return minReported(yes, func(r state.Reply) int64 { return r.IdleMs })
}

// least is the shortest of the times that all answers give; 0 without any.
func minReported(yes []state.Reply, ms func(state.Reply) int64) time.Duration {
	if len(yes) == 0 {
		return 0
	}
	shortest := ms(yes[0])
	for _, r := range yes[1:] {
		shortest = min(shortest, ms(r))
	}
	return time.Duration(shortest) * time.Millisecond
}

// ownBefore says that this core was the last to hold the slot. Why: whoever holds
// one has first written the whole table to a majority, one of which has answered; a
// promise alone may have been given in vain. What this life ordered need not be waited out, and what an
// earlier one ordered for OwnQuarantine only.
func (s *slot) lastHeldByThisCore(yes []state.Reply) bool {
	var last state.Reply
	for _, r := range yes {
		if r.FullEpoch > last.FullEpoch {
			last = r
		}
	}
	return last.FullEpoch > 0 && last.FullWriter.Name == s.owner.d.Self().Name
}
