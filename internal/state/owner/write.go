package owner

import (
	"context"

	"github.com/pkg/errors"

	"drumstall.example/internal/state"
)

// Get reads a key under the lease. It returns state.ErrNotOwner without a valid lease, and
// state.ErrNoQuorum when ctx ends first.
func (o *Owner) Get(ctx context.Context, key string) (state.Record, bool, error) {
	s := o.slots[state.SlotOf(key)]
	var rec state.Record
	var found, held bool
	err := s.actor.Do(ctx, func() {
		rec, found = s.records[key]
		// The lease is checked after the read, so that an expired lease that no tick has noticed yet cannot yield a stale value.
		held = s.held()
	})
	if err != nil {
		return rec, false, errors.Wrap(state.ErrNoQuorum, err.Error())
	}
	if !held {
		return state.Record{}, false, state.ErrNotOwner
	}
	return rec, found && !rec.Deleted, nil
}

// write sends records to every voter and returns when a majority has synced them.
func (s *slot) write(recs []state.Record, full bool) error {
	o := s.owner
	set := o.d.Acceptor.Membership().Set
	newest := s.version
	for _, r := range recs {
		newest = max(newest, r.Stamp.Version)
	}
	q := state.Request{SetVersion: set.Version, From: o.d.Self(), Slot: s.index, Epoch: s.epoch.Load(), Version: newest, Full: full, Records: recs}
	accepted, refused, missed, late := o.pollWithLate(set, "/state/accept", q, o.d.Acceptor.Accept, true)
	written := state.Stamp{Epoch: q.Epoch, Version: newest}
	for _, c := range missed {
		s.noteMissed(c.Name, written)
	}
	s.awaitLateReplies(set, late, written)
	if len(accepted) < set.Quorum() {
		for _, n := range refused {
			s.highestEpoch = max(s.highestEpoch, n.Epoch)
		}
		// If a majority refused, the others are too few to store the write, so it failed. Otherwise its outcome is unknown.
		notWritten := len(accepted) == 0 && len(refused) >= set.Quorum()
		s.giveUp("write reached no majority", false)
		if notWritten {
			return state.ErrNoQuorum
		}
		return state.ErrOutcomeUnknown
	}
	s.version = newest
	for _, r := range recs {
		s.records[r.Key] = r
	}
	if !s.held() {
		// The write is stored, but another core may have acquired the slot since; only a new read can tell.
		return state.ErrOutcomeUnknown
	}
	return nil
}

// noteMissed records that a voter has not confirmed a write.
func (s *slot) noteMissed(voter string, written state.Stamp) {
	switch misses := s.missed[voter]; {
	case misses == nil:
		s.missed[voter] = map[state.Stamp]bool{written: true}
	case misses[untracked]:
	case len(misses) >= maxTrackedMisses:
		s.missed[voter] = map[state.Stamp]bool{untracked: true}
	default:
		misses[written] = true
	}
}

// maxTrackedMisses is how many unconfirmed writes are tracked for each voter. A voter with more
// counts as behind until its copy has been checked.
const maxTrackedMisses = 64

// untracked stands for all unconfirmed writes of a voter beyond the limit; no late reply clears it.
var untracked = state.Stamp{}

// awaitLateReplies clears the writes that voters confirm after a majority already has. The
// slower voters nearly always store a write shortly after the majority, and need no repair.
func (s *slot) awaitLateReplies(set state.CoreSet, late lateReplies, written state.Stamp) {
	if late.remaining == 0 {
		return
	}
	s.owner.d.Group.Go(func(context.Context) {
		for range late.remaining {
			if a := <-late.answers; a.err == nil && a.reply.OK {
				// If the actor's queue is full the entry remains, and the next digest comparison clears it.
				_ = s.actor.TryEnqueue(func() { s.clearMissed(set.Cores[a.voter].Name, written) })
			}
		}
	})
}

// clearMissed removes one write from those that a voter has not confirmed.
func (s *slot) clearMissed(voter string, written state.Stamp) {
	delete(s.missed[voter], written)
	if len(s.missed[voter]) == 0 {
		delete(s.missed, voter)
	}
}
