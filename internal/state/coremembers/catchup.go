package coremembers

import (
	"context"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// pollForNewerSet periodically asks another core for its set. A core that was removed from the
// set during an absence receives no updates.
func (k *Manager) pollForNewerSet(ctx context.Context, st acceptor.Membership) {
	if k.ticks%setPollTicks != 0 {
		return
	}
	for c := range k.d.Live() {
		if _, ok := k.d.Addr(c); !ok || c.SameVoter(k.d.Self()) {
			continue
		}
		a, err := k.askSet(ctx, c)
		if err != nil || a.Phase != acceptor.Voter || !a.Set.Has(c) || a.Set.Version <= st.Set.Version {
			return
		}
		// A core that was removed while it was being filled is no member, and must ask to join again.
		if st.Phase == acceptor.Filling && !a.Set.Has(k.d.Self()) {
			_ = k.d.Acceptor.Reset(ctx)
			return
		}
		_, _ = k.adopt(ctx, a)
		return
	}
}

// adoptIfMember adopts another core's set if this core is a member of it: the formation
// was committed elsewhere, or the join request was accepted. It reports whether that succeeded.
func (k *Manager) adoptIfMember(ctx context.Context, c state.Core) bool {
	a, err := k.askSet(ctx, c)
	if err != nil || !a.Set.Has(k.d.Self()) {
		return false
	}
	if st := k.d.Acceptor.Membership(); st.Phase == acceptor.Pending && sameSet(st.Set, a.Set) {
		_, err = k.form(ctx, Formation{Set: a.Set, Committed: true})
	} else {
		_, err = k.adopt(ctx, a)
	}
	return err == nil
}

// fill copies every slot from a majority of the old set, whose members already
// refuse the old version, and makes this core a voter after that.
func (k *Manager) fill(ctx context.Context, st acceptor.Membership) {
	for slot := range state.SlotCount {
		replies, current := k.readSlot(ctx, st, slot)
		if !current {
			return
		}
		if len(replies) < st.Previous.Quorum() {
			k.d.Log.Info("filling waits for a majority", "slot", slot, "have", len(replies))
			return
		}
		if err := k.d.Acceptor.Fill(ctx, slot, replies); err != nil {
			k.d.Log.Error("filling", "slot", slot, "error", err)
			return
		}
	}
	_, _ = k.d.Acceptor.UpdateMembership(ctx, func(now acceptor.Membership) (acceptor.Membership, bool) {
		if now.Phase != acceptor.Filling || now.Set.Version != st.Set.Version {
			return now, false
		}
		now.Phase = acceptor.Voter
		return now, true
	})
	k.d.Log.Info("filled; voting from now on", "set", st.Set.Version)
}

// readSlot requests one slot from the voters of the old set in parallel, because a call to an unreachable
// voter takes the whole timeout, and collects the replies until a majority has answered.
// It sends the new set to voters that do not have it yet; current is false if this core's own set is outdated.
func (k *Manager) readSlot(ctx context.Context, st acceptor.Membership, slot int) (replies []state.Reply, current bool) {
	type answer struct {
		from  state.Core
		reply state.Reply
		err   error
	}
	q := state.Request{SetVersion: st.Set.Version, From: k.d.Self(), Slot: slot}
	voters := st.Previous.Cores
	answers := run.FanOut(k.d.Group, len(voters), func(ctx context.Context, i int) answer {
		if voters[i].SameVoter(k.d.Self()) {
			return answer{err: wire.ErrUnreachable}
		}
		r, err := call[state.Request, state.Reply](ctx, k, voters[i], "/state/dump", q)
		return answer{voters[i], r, err}
	})
	for range voters {
		a := <-answers
		switch {
		case a.err != nil:
		case a.reply.OK:
			replies = append(replies, a.reply)
		case a.reply.Reason == state.ReasonBehindCoreSet:
			k.sendSet(ctx, a.from, SetUpdate{Set: st.Set, Previous: st.Previous})
		case a.reply.Reason == state.ReasonOlderCoreSet:
			_ = k.adoptIfMember(ctx, a.from)
			return nil, false
		}
		if len(replies) >= st.Previous.Quorum() {
			break
		}
	}
	return replies, true
}
