package coremembers

import (
	"context"
	"slices"
	"sort"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// bootstrap proposes the first set to all initial cores, if it is this core's turn.
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
	// All initial cores store their agreement on disk before any of them votes, so two sets can never both be formed.
	if k.propose(ctx, Formation{Set: set}) {
		k.propose(ctx, Formation{Set: set, Committed: true})
	}
}

// proposalTicks is the number of rounds that each initial core, in the order of names, has to
// propose the set before the next one proposes too.
const proposalTicks = 4

// turnToPropose reports whether this core should propose the first set. One proposer
// is enough, and the others only agree; but the core whose turn it is may have been restarted and no longer be allowed to.
func (k *Manager) turnToPropose(founders []state.Core) bool {
	rank := slices.IndexFunc(founders, func(c state.Core) bool { return c.SameVoter(k.d.Self()) })
	k.readyTicks++
	return rank >= 0 && k.readyTicks > rank*proposalTicks
}

// persistFirstStart stores on disk that this core may form the first set, so that it still
// may after a restart before the set exists. A failed write is retried in the next round.
func (k *Manager) persistFirstStart(ctx context.Context) {
	if st := k.d.Acceptor.Membership(); !k.d.MayBootstrap || st.Phase != acceptor.Empty || st.MayBootstrap {
		return
	}
	_, _ = k.d.Acceptor.UpdateMembership(ctx, func(now acceptor.Membership) (acceptor.Membership, bool) {
		now.MayBootstrap = true
		return now, now.Phase == acceptor.Empty
	})
}

// propose sends a formation to its members, and reports whether all agreed. A proposal
// ends at the first refusal; a commit is sent to all members in any case.
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
			k.d.Log.Info("formation not agreed yet", "for", c.Name, "firm", f.Committed, "error", err)
			agreed = false
			if !f.Committed {
				break
			}
		}
	}
	return agreed
}

// initialCores returns the cores that form the first set, and whether all of them are present.
func (k *Manager) initialCores(st acceptor.Membership, live map[state.Core]acceptor.Phase) ([]state.Core, bool) {
	var cores []state.Core
	if !k.unattended() {
		for c := range live {
			cores = append(cores, c)
		}
		return cores, len(live) == k.d.FormationSize
	}
	// A core that starts empty later must never form a second set; one that has agreed to a formation continues with it.
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

// proposedSet returns the set to form from these cores: with the highest version among them if that version
// was agreed for the same cores, and with the next version otherwise.
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
		// Phases learned indirectly may be outdated; a core that already votes or is being filled ends the formation.
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

// sameSet reports whether two sets have the same version and members.
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

// mayReplaceFormation reports whether next may replace a formation that was agreed to but never
// committed: it has the same machines, a minority of which have returned with different disks.
// A majority of the old set has agreed without voting, so no write can have been acknowledged under the old set;
// and none ever will be under its lower version.
func mayReplaceFormation(old, next state.CoreSet) bool {
	lost := 0
	for _, c := range old.Cores {
		if next.Has(c) {
			continue
		}
		returned := false
		for _, n := range next.Cores {
			returned = returned || n.Name == c.Name
		}
		if !returned {
			return false
		}
		lost++
	}
	return next.Version > old.Version && len(next.Cores) == len(old.Cores) && lost < old.Quorum()
}

// form handles a proposed or committed formation; a refusal has the code "formation".
func (k *Manager) form(ctx context.Context, f Formation) (None, error) {
	reason := ""
	_, err := k.d.Acceptor.UpdateMembership(ctx, func(st acceptor.Membership) (acceptor.Membership, bool) {
		same := sameSet(st.Set, f.Set)
		switch {
		case !f.Set.Has(k.d.Self()) || f.Set.Version < 1:
			reason = "not a member"
		case st.Phase == acceptor.Empty && !f.Committed:
			return acceptor.Membership{Phase: acceptor.Pending, Set: f.Set}, true
		case st.Phase == acceptor.Pending && same && f.Committed:
			return acceptor.Membership{Phase: acceptor.Voter, Set: f.Set}, true
		case st.Phase == acceptor.Pending && !f.Committed && mayReplaceFormation(st.Set, f.Set):
			return acceptor.Membership{Phase: acceptor.Pending, Set: f.Set}, true
		case same:
		default:
			reason = "agreed to another set"
		}
		return st, false
	})
	if err == nil && reason != "" {
		err = wire.Refuse("formation", reason)
	}
	return None{}, err
}
