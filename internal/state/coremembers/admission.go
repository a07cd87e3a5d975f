package coremembers

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// requestJoin asks a core of the existing set for membership.
func (k *Manager) requestJoin(ctx context.Context, c state.Core) {
	if _, ok := k.d.Addr(c); !ok {
		return
	}
	q := JoinRequest{Core: k.d.Self(), Replaces: k.d.Replaces}
	if _, err := call[JoinRequest, None](ctx, k, c, "/state/join", q); err != nil {
		k.d.Log.Info("join request failed", "at", c.Name, "error", err)
	}
}

// join handles a join request if this core holds the slot of the core set, and forwards it otherwise.
func (k *Manager) join(ctx context.Context, q JoinRequest) (None, error) {
	if !k.d.Owner.Holds(Key) {
		return k.forwardJoin(ctx, q)
	}
	err := k.decide(ctx, func(set state.CoreSet) (state.CoreSet, error) {
		if set.Has(q.Core) {
			return set, nil
		}
		if k.unattended() {
			return k.admit(set, q.Core)
		}
		return k.replace(set, q)
	})
	if err != nil {
		return None{}, err
	}
	k.d.Log.Info("core set changes", "for", q.Core.Name)
	return None{}, nil
}

// forwardJoin forwards a join request to the core that holds the slot of the core set. It refuses
// with the code "not-owner" if no core does.
func (k *Manager) forwardJoin(ctx context.Context, q JoinRequest) (None, error) {
	for c := range k.d.Live() {
		if c.SameVoter(k.d.Self()) {
			continue
		}
		held, err := call[None, map[int]uint64](ctx, k, c, "/state/held", None{})
		if _, holds := held[state.SlotOf(Key)]; err == nil && holds {
			return call[JoinRequest, None](ctx, k, c, "/state/join", q)
		}
	}
	return None{}, wire.Refuse("not-owner", "nobody holds the core set")
}

// replace substitutes a core for the member that it names, or for the member with its own name.
func (k *Manager) replace(set state.CoreSet, q JoinRequest) (state.CoreSet, error) {
	name := q.Replaces
	if name == "" {
		name = q.Core.Name
	}
	next := state.CoreSet{Version: set.Version + 1}
	replaced := false
	for _, c := range set.Cores {
		if c.Name != name {
			next.Cores = append(next.Cores, c)
			continue
		}
		if _, alive := k.d.Live()[c]; alive {
			return next, wire.Refuse("alive", "member "+name+" is alive; it is not replaced")
		}
		next.Cores = append(next.Cores, q.Core)
		replaced = true
	}
	// After a rescue the set is smaller than configured, and admits any core.
	if !replaced && k.d.Replaces == "" && len(set.Cores) < k.d.FormationSize {
		next.Cores = append(next.Cores, q.Core)
		replaced = true
	}
	if !replaced {
		return next, wire.Refuse("unknown", "no member "+name+"; start the core with --replaces")
	}
	return next, nil
}

// admit adds a core to the set: in place of the member with its own name, in place of a lost voter,
// or as an additional member.
func (k *Manager) admit(set state.CoreSet, joiner state.Core) (state.CoreSet, error) {
	removed, found := k.lost(set)
	for _, c := range set.Cores {
		if c.Name == joiner.Name {
			removed, found = c, true
		}
	}
	if !found && k.suspectsVoter(set) {
		return set, wire.Refuse("doubt", "a member may be gone; its place is given when that is sure")
	}
	next := state.CoreSet{Version: set.Version + 1}
	for _, c := range set.Cores {
		if !found || !c.SameVoter(removed) {
			next.Cores = append(next.Cores, c)
		}
	}
	next.Cores = append(next.Cores, joiner)
	return next, nil
}

// suspectsVoter reports whether a voter has not answered for some time and may be lost. A set that grows while
// one member is lost needs more of the others for a majority, until the lost one is removed.
func (k *Manager) suspectsVoter(set state.CoreSet) bool {
	for _, c := range set.Cores {
		if c.SameVoter(k.d.Self()) {
			continue
		}
		// A voter without any contact so far has only just joined.
		if heard := k.d.SinceContact(c); heard > suspectAfter && heard < time.Hour {
			return true
		}
	}
	return false
}
