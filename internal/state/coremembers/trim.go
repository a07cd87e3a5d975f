package coremembers

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// trim removes a lost voter from a set that is larger than the target size, because
// each voter that does not answer makes a majority harder to reach.
func (k *Manager) trim(ctx context.Context, st acceptor.Membership) {
	if !k.d.Owner.Holds(Key) || k.ticks < settleTicks || len(st.Set.Cores) <= k.d.TargetSize {
		return
	}
	lost, found := k.lost(st.Set)
	if !found {
		return
	}
	next := state.CoreSet{Version: st.Set.Version + 1}
	for _, c := range st.Set.Cores {
		if !c.SameVoter(lost) {
			next.Cores = append(next.Cores, c)
		}
	}
	if err := k.decide(ctx, func(set state.CoreSet) (state.CoreSet, error) {
		if set.Version != st.Set.Version {
			return set, wire.Refuse("busy", "the set has changed")
		}
		return next, nil
	}); err == nil {
		k.d.Log.Info("core set shrinks", "serial", next.Version, "without", lost.Name)
	}
}

// lost returns the voter that has been absent longest among those that have left or been absent too long.
func (k *Manager) lost(set state.CoreSet) (state.Core, bool) {
	var lost state.Core
	longest := time.Duration(0)
	for _, c := range set.Cores {
		if c.SameVoter(k.d.Self()) {
			continue
		}
		if left, away := k.d.Absence(c); (left || away > lostAfter) && away > longest {
			lost, longest = c, away
		}
	}
	return lost, longest > 0
}
