package coremembers

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// askToJoin asks any core of a formed fleet for a place.
func (k *Manager) requestJoin(ctx context.Context, c state.Core) {
	if _, ok := k.d.Addr(c); !ok {
		return
	}
	q := JoinRequest{Core: k.d.Self(), Replaces: k.d.Replaces}
	if _, err := call[JoinRequest, None](ctx, k, c, "/state/join", q); err != nil {
		k.d.Log.Info("asked to join", "at", c.Name, "error", err)
	}
}

// join is answered by the owner of the core membership; others pass it on.
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

// passOn hands a joining to whoever holds the core membership; the refusal "not-owner"
// says that nobody does.
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

// replace gives a core the place of the member that it names, or of its own past.
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
	// Why: after a rescue the set is smaller than it should be, and takes in whoever comes.
	if !replaced && k.d.Replaces == "" && len(set.Cores) < k.d.Want {
		next.Cores = append(next.Cores, q.Core)
		replaced = true
	}
	if !replaced {
		return next, wire.Refuse("unknown", "no member "+name+"; start the core with --replaces")
	}
	return next, nil
}

// admit takes a core in: in the place of its own past, of a voter that is gone,
// or beside the others.
func (k *Manager) admit(set state.CoreSet, joiner state.Core) (state.CoreSet, error) {
	out, found := k.lost(set)
	for _, c := range set.Cores {
		if c.Name == joiner.Name {
			out, found = c, true
		}
	}
	if !found && k.suspectsVoter(set) {
		return set, wire.Refuse("doubt", "a member may be gone; its place is given when that is sure")
	}
	next := state.CoreSet{Version: set.Version + 1}
	for _, c := range set.Cores {
		if !found || !c.SameVoter(out) {
			next.Cores = append(next.Cores, c)
		}
	}
	next.Cores = append(next.Cores, joiner)
	return next, nil
}

// doubts says that a voter is silent and may be gone. Why: a set that grew beside
// one that is gone would need more of the others for a majority, until it is let go of.
func (k *Manager) suspectsVoter(set state.CoreSet) bool {
	for _, c := range set.Cores {
		if c.SameVoter(k.d.Self()) {
			continue
		}
		// Why: one that was never heard has only just come.
		if heard := k.d.SinceContact(c); heard > suspectAfter && heard < time.Hour {
			return true
		}
	}
	return false
}
