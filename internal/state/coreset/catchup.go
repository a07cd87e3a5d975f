package coreset

import (
	"context"

	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// catchUp asks another core for its set now and then. Why: one that was away
// while the set went on without it is told by nobody.
func (k *Keeper) catchUp(ctx context.Context, st acceptor.Standing) {
	if k.ticks%lookTicks != 0 {
		return
	}
	for c := range k.d.Live() {
		if _, ok := k.d.Addr(c); !ok || c.Is(k.d.Self()) {
			continue
		}
		a, err := k.askSet(ctx, c)
		if err != nil || a.Phase != acceptor.Voter || !a.Set.Has(c) || a.Set.Serial <= st.Set.Serial {
			return
		}
		// Why: a core that was let go of while it was being filled is no member, and asks for a place again.
		if st.Phase == acceptor.Filling && !a.Set.Has(k.d.Self()) {
			_ = k.d.Acceptor.Reset(ctx)
			return
		}
		_, _ = k.adopt(ctx, a)
		return
	}
}

// lookForUs adopts a formed set that counts us as a member: our formation
// became firm elsewhere, or our joining was agreed.
func (k *Keeper) lookForUs(ctx context.Context, c state.Core) bool {
	a, err := k.askSet(ctx, c)
	if err != nil || !a.Set.Has(k.d.Self()) {
		return false
	}
	if st := k.d.Acceptor.Standing(); st.Phase == acceptor.Pending && alike(st.Set, a.Set) {
		_, err = k.form(ctx, Formation{Set: a.Set, Firm: true})
	} else {
		_, err = k.adopt(ctx, a)
	}
	return err == nil
}

// fill reads every slot from a majority of the old set, each of which already
// refuses the old version, and only then votes.
func (k *Keeper) fill(ctx context.Context, st acceptor.Standing) {
	for slot := range state.Slots {
		replies, current := k.dumps(ctx, st, slot)
		if !current {
			return
		}
		if len(replies) < st.Old.Quorum() {
			k.d.Log.Info("filling waits for a majority", "slot", slot, "have", len(replies))
			return
		}
		if err := k.d.Acceptor.Fill(ctx, slot, replies); err != nil {
			k.d.Log.Error("filling", "slot", slot, "problem", err)
			return
		}
	}
	_, _ = k.d.Acceptor.SetStanding(ctx, func(now acceptor.Standing) (acceptor.Standing, bool) {
		if now.Phase != acceptor.Filling || now.Set.Serial != st.Set.Serial {
			return now, false
		}
		now.Phase = acceptor.Voter
		return now, true
	})
	k.d.Log.Info("filled; votes from now on", "set", st.Set.Serial)
}

// dumps reads one slot from the voters of the old set. It tells those that do not
// know the new set yet; current is false where this core's own set is outdated.
func (k *Keeper) dumps(ctx context.Context, st acceptor.Standing, slot int) (replies []state.Reply, current bool) {
	self := k.d.Self()
	q := state.Ask{Set: st.Set.Serial, From: self, Slot: slot}
	for _, c := range st.Old.Cores {
		if c.Is(self) {
			continue
		}
		r, err := call[state.Ask, state.Reply](ctx, k, c, "/state/dump", q)
		switch {
		case err != nil:
		case r.OK:
			replies = append(replies, r)
		case r.Why == state.WhyBehind:
			k.tell(ctx, c, Adoption{Set: st.Set, Old: st.Old})
		case r.Why == state.WhySet:
			_ = k.lookForUs(ctx, c)
			return nil, false
		}
	}
	return replies, true
}
