package owner

import (
	"context"
	"time"

	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// take asks a majority for the slot, carries their newest records forward
// under the new epoch, and only then serves.
func (s *slot) take(set state.CoreSet) {
	o := s.o
	if !s.free(set) {
		s.tryAgainIn(100, 200)
		return
	}
	s.seen++
	before := o.d.Clock.Since()
	q := state.Request{SetVersion: set.Version, From: o.d.Self(), Slot: s.n, Epoch: s.seen}
	yes, ok := s.prepare(set, q)
	if !ok {
		return
	}
	firstTime := s.epoch.Load() == 0
	recs, pr := acceptor.Merge(yes)
	s.table = map[string]state.Record{}
	s.version = pr.Version + 1
	s.epoch.Store(q.Epoch)
	s.strayed = 0
	s.owes = map[string]map[state.Stamp]bool{}
	for i := range recs {
		recs[i].Stamp = state.Stamp{Epoch: q.Epoch, Version: recs[i].Stamp.Version}
	}
	s.orders.begin(o.d.Clock.Since())
	// Why: MayOrder must not find the slot held while it still goes by the quarantine of the time before.
	s.quarantine(q.Epoch, yes, firstTime)
	s.until.Store(int64(before + state.LeaseDuration - state.LeaseMargin))
	if err := s.write(recs, true); err != nil {
		o.d.Log.Info("slot not taken", "slot", s.n, "epoch", q.Epoch, "error", err)
		s.giveUp("table not kept", true)
		s.table = nil
		return
	}
	o.d.Log.Info("slot taken", "slot", s.n, "epoch", q.Epoch, "records", len(recs))
	if o.d.OnTake != nil {
		o.d.OnTake(s.n, recs)
	}
}

// prepare asks for a majority's promises under the epoch of q. If too few are
// given it lets go of them and has the slot wait.
func (s *slot) prepare(set state.CoreSet, q state.Request) (yes []state.Reply, ok bool) {
	o := s.o
	// Why: a majority's promises are enough; a core that is cut off must not hold them up.
	yes, noes, _ := o.poll(set, "/state/prepare", q, o.d.Acceptor.Prepare, true)
	held := false
	for _, n := range noes {
		s.seen = max(s.seen, n.Epoch)
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
		s.tryAgainIn(200, 200)
	} else {
		s.tryAgainIn(100, 300)
	}
	return nil, false
}

// quarantine sets from when on orders may be sent under an epoch that has just
// been won, and how long the slot had been free. firstTime: this life of the
// core had not held the slot before.
func (s *slot) quarantine(epoch uint64, yes []state.Reply, firstTime bool) {
	o := s.o
	// Why: whoever held the slot before may have orders on the way; a first owner has none to wait out.
	wonAt := o.d.Clock.Since()
	orderFrom, free := wonAt+o.d.Quarantine-max(freeFor(yes), quietFor(yes)), freeFor(yes)
	switch {
	case epoch == 1:
		orderFrom = wonAt
	case s.ownBefore(yes):
		orderFrom = max(wonAt, o.began+o.d.OwnQuarantine)
	}
	// Why: what an earlier life of this process did was over when this one began; what it did itself was not.
	if firstTime && (epoch == 1 || s.ownBefore(yes)) {
		free = max(free, min(wonAt-o.began, state.LeaseDuration))
	}
	s.orderFrom.Store(int64(orderFrom))
	s.freeFor.Store(int64(free))
}

// free asks whether a majority would promise the slot, and learns the epochs that
// they have seen.
func (s *slot) free(set state.CoreSet) bool {
	q := state.Request{SetVersion: set.Version, From: s.o.d.Self(), Slot: s.n}
	yes, noes, _ := s.o.poll(set, "/state/peek", q, s.o.d.Acceptor.Peek, true)
	for _, r := range append(noes, yes...) {
		s.seen = max(s.seen, r.Epoch)
	}
	return len(yes) >= set.Quorum()
}

// freeFor is how long nobody has held the slot for sure. Why: who held it last
// needed grants from a majority, one of which is among those that answered; its lease ended before
// the last of theirs, and with the lease its orders.
func freeFor(yes []state.Reply) time.Duration {
	return least(yes, func(r state.Reply) int64 { return r.UnleasedMs })
}

// quietFor is for how long no order has been sent under the slot's latest lease; 0 is not known. Why: a lease that
// allowed orders was promised by a majority, one of which has answered. Each that has answered must therefore know
// of no later lease than the one whose holder has said so.
func quietFor(yes []state.Reply) time.Duration {
	return least(yes, func(r state.Reply) int64 { return r.IdleMs })
}

// least is the shortest of the times that all answers give; 0 without any.
func least(yes []state.Reply, ms func(state.Reply) int64) time.Duration {
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
func (s *slot) ownBefore(yes []state.Reply) bool {
	var last state.Reply
	for _, r := range yes {
		if r.FullEpoch > last.FullEpoch {
			last = r
		}
	}
	return last.FullEpoch > 0 && last.FullWriter.Name == s.o.d.Self().Name
}
