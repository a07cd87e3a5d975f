package coremembers

import (
	"context"
	"slices"
	"sort"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// found offers the first set to all founders, if this core is the one to do so.
func (k *Manager) bootstrap(ctx context.Context, st acceptor.Membership, live map[state.Core]acceptor.Phase) {
	cores, ready := k.initialCores(st, live)
	if !ready {
		return
	}
	sort.Slice(cores, func(i, j int) bool { return cores[i].Name < cores[j].Name })
	for i := 1; i < len(cores); i++ {
		if cores[i].Name == cores[i-1].Name {
			return
		}
	}
	if !k.turnToPropose(cores) {
		return
	}
	set, ok := k.proposedSet(ctx, cores)
	if !ok {
		return
	}
	// Why: all founders agree on disk before any votes, so two sets can never both be formed.
	if k.propose(ctx, Formation{Set: set}) {
		k.propose(ctx, Formation{Set: set, Committed: true})
	}
}

// offerTicks is for how many intervals each of the founders, in the order of their names, is left to
// offer the set before the next one does too.
const proposalTicks = 4

// turnToOffer says whether this core is to offer the first set to all founders. Why: one at a time
// is enough and the others only agree; but the one whose turn it is may have been started anew, and may not found any more.
func (k *Manager) turnToPropose(founders []state.Core) bool {
	rank := slices.IndexFunc(founders, func(c state.Core) bool { return c.SameVoter(k.d.Self()) })
	k.readyTicks++
	return rank >= 0 && k.readyTicks > rank*proposalTicks
}

// noteFirstStart keeps on disk that this core may found the first set, so that it still
// may when it is started again before there is one. What is not kept now is kept in a later round.
func (k *Manager) persistFirstStart(ctx context.Context) {
	if st := k.d.Acceptor.Membership(); !k.d.MayBootstrap || st.Phase != acceptor.Empty || st.MayBootstrap {
		return
	}
	_, _ = k.d.Acceptor.UpdateMembership(ctx, func(now acceptor.Membership) (acceptor.Membership, bool) {
		now.MayBootstrap = true
		return now, now.Phase == acceptor.Empty
	})
}

// propose sends a formation to its members, and says whether all agreed. The
// first refusal ends an offer; what is firm goes to all in any case.
func (k *Manager) propose(ctx context.Context, f Formation) bool {
	agreed := true
	for _, c := range f.Set.Cores {
		var err error
		if c.SameVoter(k.d.Self()) {
			_, err = k.form(ctx, f)
		} else {
			_, err = call[Formation, None](ctx, k, c, "/state/form", f)
		}
		if err != nil {
			k.d.Log.Info("formation waits", "for", c.Name, "firm", f.Committed, "error", err)
			agreed = false
			if !f.Committed {
				break
			}
		}
	}
	return agreed
}

// founders are the cores that form the first set, once all of them are there.
func (k *Manager) initialCores(st acceptor.Membership, live map[state.Core]acceptor.Phase) ([]state.Core, bool) {
	var cores []state.Core
	if !k.unattended() {
		for c := range live {
			cores = append(cores, c)
		}
		return cores, len(live) == k.d.Want
	}
	// Why: a core that starts empty later must never found a second fleet; one that had agreed to found goes on.
	if !st.MayBootstrap && st.Phase != acceptor.Pending {
		return nil, false
	}
	for c := range live {
		if slices.Contains(k.d.InitialAddrs, c.Addr) {
			cores = append(cores, c)
		}
	}
	return cores, len(cores) > 0 && len(cores) == len(k.d.InitialAddrs)
}

// offer is the set to be formed from these cores: the one that all have agreed
// to, or else one under a higher version than any of them has.
func (k *Manager) proposedSet(ctx context.Context, cores []state.Core) (state.CoreSet, bool) {
	set := state.CoreSet{Cores: cores}
	agreed := false
	for _, c := range cores {
		st := k.d.Acceptor.Membership()
		theirs := SetUpdate{Set: st.Set, Phase: st.Phase}
		if !c.SameVoter(k.d.Self()) {
			var err error
			if theirs, err = k.askSet(ctx, c); err != nil {
				return set, false
			}
		}
		// Why: what the others tell of each other may be old; one that votes by now ends all founding.
		if theirs.Phase != acceptor.Empty && theirs.Phase != acceptor.Pending {
			return set, false
		}
		if n := theirs.Set.Version; n > set.Version {
			set.Version, agreed = n, sameSet(theirs.Set, state.CoreSet{Version: n, Cores: cores})
		}
	}
	if !agreed {
		set.Version++
	}
	return set, true
}

// alike says whether two sets are the same.
func sameSet(a, b state.CoreSet) bool {
	if a.Version != b.Version || len(a.Cores) != len(b.Cores) {
		return false
	}
	for _, c := range a.Cores {
		if !b.Has(c) {
			return false
		}
	}
	return true
}

// refounds says whether next may take the place of a formation that was agreed
// to and never became firm: the same machines, of which a minority came back with other disks.
// Why: a majority of the old set stands here or there as agreed and not voting, so nobody can have been
// acknowledged anything under it; and under the lower version nobody ever will be.
func mayReplaceFormation(old, next state.CoreSet) bool {
	lost := 0
	for _, c := range old.Cores {
		if next.Has(c) {
			continue
		}
		anew := false
		for _, n := range next.Cores {
			anew = anew || n.Name == c.Name
		}
		if !anew {
			return false
		}
		lost++
	}
	return next.Version > old.Version && len(next.Cores) == len(old.Cores) && lost < old.Quorum()
}

// form takes what a founder offers or makes firm; a refusal has the code "formation".
func (k *Manager) form(ctx context.Context, f Formation) (None, error) {
	why := ""
	_, err := k.d.Acceptor.UpdateMembership(ctx, func(st acceptor.Membership) (acceptor.Membership, bool) {
		same := sameSet(st.Set, f.Set)
		switch {
		case !f.Set.Has(k.d.Self()) || f.Set.Version < 1:
			why = "not a member"
		case st.Phase == acceptor.Empty && !f.Committed:
			return acceptor.Membership{Phase: acceptor.Pending, Set: f.Set}, true
		case st.Phase == acceptor.Pending && same && f.Committed:
			return acceptor.Membership{Phase: acceptor.Voter, Set: f.Set}, true
		case st.Phase == acceptor.Pending && !f.Committed && mayReplaceFormation(st.Set, f.Set):
			return acceptor.Membership{Phase: acceptor.Pending, Set: f.Set}, true
		case same:
		default:
			why = "agreed to another set"
		}
		return st, false
	})
	if err == nil && why != "" {
		err = wire.Refuse("formation", why)
	}
	return None{}, err
}
