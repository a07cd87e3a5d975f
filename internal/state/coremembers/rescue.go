package coremembers

import (
	"context"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// Rescue makes this core the only voter, after an operator has confirmed that the
// disks of all others are lost. Writes that only they had synced are lost.
// It is idempotent; refusals have the code "alive" or "refused".
func (k *Manager) Rescue(ctx context.Context, lost []string, version uint64) (state.CoreSet, error) {
	named := map[string]bool{}
	for _, n := range lost {
		named[n] = true
	}
	for c := range k.d.Live() {
		if !c.SameVoter(k.d.Self()) && named[c.Name] && k.d.Acceptor.Membership().Set.Has(c) {
			return state.CoreSet{}, wire.Refuse("alive", c.Name+" is alive")
		}
	}
	reason := ""
	st, err := k.d.Acceptor.UpdateMembership(ctx, func(st acceptor.Membership) (acceptor.Membership, bool) {
		// A repeated rescue finds the set that the first one made.
		if len(st.Set.Cores) == 1 && st.Set.Has(k.d.Self()) {
			return st, false
		}
		if st.Phase != acceptor.Voter || st.Set.Version != version || !st.Set.Has(k.d.Self()) {
			reason = "the core set is not the one named"
			return st, false
		}
		for _, c := range st.Set.Cores {
			if !c.SameVoter(k.d.Self()) && !named[c.Name] {
				reason = c.Name + " is not named as lost"
				return st, false
			}
		}
		// The gap in versions prevents a collision with a change that was in progress.
		return acceptor.Membership{Phase: acceptor.Voter, Previous: st.Set, Set: state.CoreSet{Version: st.Set.Version + 1000, Cores: []state.Core{k.d.Self()}}}, true
	})
	if err == nil && reason != "" {
		err = wire.Refuse("refused", reason)
	}
	return st.Set, err
}
