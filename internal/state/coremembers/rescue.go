package coremembers

import (
	"context"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// Rescue makes this core the only voter, after an operator has said that the
// others' disks are lost for good. What only they had synced is lost with them.
// Running it again finds the same set; refusals have the code "alive" or "refused".
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
	why := ""
	st, err := k.d.Acceptor.UpdateMembership(ctx, func(st acceptor.Membership) (acceptor.Membership, bool) {
		// Why: safe to run again: the set it made is the set it finds.
		if len(st.Set.Cores) == 1 && st.Set.Has(k.d.Self()) {
			return st, false
		}
		if st.Phase != acceptor.Voter || st.Set.Version != version || !st.Set.Has(k.d.Self()) {
			why = "the core set is not the one named"
			return st, false
		}
		for _, c := range st.Set.Cores {
			if !c.SameVoter(k.d.Self()) && !named[c.Name] {
				why = c.Name + " is not named as lost"
				return st, false
			}
		}
		// Why: a gap in the versions keeps a change that was under way from meeting it.
		return acceptor.Membership{Phase: acceptor.Voter, Previous: st.Set, Set: state.CoreSet{Version: st.Set.Version + 1000, Cores: []state.Core{k.d.Self()}}}, true
	})
	if err == nil && why != "" {
		err = wire.Refuse("refused", why)
	}
	return st.Set, err
}
