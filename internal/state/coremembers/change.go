package coremembers

import (
	"context"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// decide changes the set through a majority of the old one and distributes the new set.
func (k *Manager) decide(ctx context.Context, change func(set state.CoreSet) (state.CoreSet, error)) error {
	var next state.CoreSet
	_, err := k.d.Owner.Update(ctx, Key, func(old state.Record, found bool) ([]byte, error) {
		set := k.d.Acceptor.Membership().Set
		if found {
			var kept state.CoreSet
			if err := wire.Unmarshal(old.Value, &kept); err == nil && kept.Version > set.Version {
				return nil, wire.Refuse("busy", "a change is under way")
			}
		}
		var err error
		if next, err = change(set); err != nil {
			return nil, err
		}
		return wire.Marshal(next), nil
	})
	if err != nil {
		return err
	}
	k.distribute(ctx, next)
	return nil
}

// finishDecided distributes a decided set that the deciding core did not finish distributing.
func (k *Manager) finishDecided(ctx context.Context, st acceptor.Membership) {
	if !k.d.Owner.Holds(Key) {
		return
	}
	rec, found, err := k.d.Owner.Get(ctx, Key)
	if err != nil || !found {
		return
	}
	var set state.CoreSet
	if wire.Unmarshal(rec.Value, &set) == nil && set.Version > st.Set.Version {
		k.distribute(ctx, set)
	}
}

// distribute sends a decided set to the members of the old set and of the new one.
func (k *Manager) distribute(ctx context.Context, next state.CoreSet) {
	old := k.d.Acceptor.Membership().Set
	if old.Version >= next.Version {
		old = k.d.Acceptor.Membership().Previous
	}
	a := SetUpdate{Set: next, Previous: old}
	to := append(append([]state.Core{}, old.Cores...), next.Cores...)
	// The set is sent in parallel, so that an unreachable voter does not delay the others.
	sent := run.FanOut(k.d.Group, len(to), func(ctx context.Context, i int) bool {
		if to[i].SameVoter(k.d.Self()) {
			_, _ = k.adopt(ctx, a)
		} else {
			k.sendSet(ctx, to[i], a)
		}
		return true
	})
	for range to {
		<-sent
	}
}

// sendSet sends a set to one core. A core that misses it receives it again once it is found to be behind.
func (k *Manager) sendSet(ctx context.Context, c state.Core, a SetUpdate) {
	_, _ = call[SetUpdate, None](ctx, k, c, "/state/adopt", a)
}

// adopt switches to a newer set. A voter continues to vote under it; any other core
// accepts only a set that it is a member of, and is filled first.
func (k *Manager) adopt(ctx context.Context, a SetUpdate) (None, error) {
	_, err := k.d.Acceptor.UpdateMembership(ctx, func(st acceptor.Membership) (acceptor.Membership, bool) {
		if a.Set.Version <= st.Set.Version || len(a.Set.Cores) == 0 {
			return st, false
		}
		if st.Phase == acceptor.Empty || st.Phase == acceptor.Pending || st.Phase == acceptor.Filling {
			if !a.Set.Has(k.d.Self()) {
				return st, false
			}
			return acceptor.Membership{Phase: acceptor.Filling, Set: a.Set, Previous: a.Previous}, true
		}
		return acceptor.Membership{Phase: acceptor.Voter, Set: a.Set, Previous: st.Set}, true
	})
	return None{}, err
}

// UpdateBehind sends this core's set to a voter with an older one, without waiting for the result.
func (k *Manager) UpdateBehind(c state.Core) {
	_ = k.actor.TryEnqueue(func() {
		ctx, cancel := context.WithTimeout(k.d.Group.Context(), roundTimeout)
		defer cancel()
		st := k.d.Acceptor.Membership()
		k.sendSet(ctx, c, SetUpdate{Set: st.Set, Previous: st.Previous})
	})
}
