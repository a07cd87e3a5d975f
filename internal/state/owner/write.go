package owner

import (
	"context"

	"github.com/pkg/errors"

	"drumstall.example/internal/state"
)

// Get reads a key under the lease. It gives state.ErrNotOwner without one, and
// state.ErrNoQuorum when ctx ended first.
func (o *Owner) Get(ctx context.Context, key string) (state.Record, bool, error) {
	s := o.slots[state.SlotOf(key)]
	var rec state.Record
	var found, held bool
	err := s.actor.Ask(ctx, func() {
		rec, found = s.records[key]
		// Why: the lease is looked at after the read, so a late tick cannot give out a value of the past.
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

// write sends records to every voter and returns when a majority synced them.
func (s *slot) write(recs []state.Record, full bool) error {
	o := s.owner
	set := o.d.Acceptor.Membership().Set
	at := s.version
	for _, r := range recs {
		at = max(at, r.Stamp.Version)
	}
	q := state.Request{SetVersion: set.Version, From: o.d.Self(), Slot: s.index, Epoch: s.epoch.Load(), Version: at, Full: full, Records: recs}
	yes, noes, missed, late := o.pollWithLate(set, "/state/accept", q, o.d.Acceptor.Accept, true)
	written := state.Stamp{Epoch: q.Epoch, Version: at}
	for _, c := range missed {
		s.noteMissed(c.Name, written)
	}
	s.awaitLateReplies(set, late, written)
	if len(yes) < set.Quorum() {
		for _, n := range noes {
			s.highestEpoch = max(s.highestEpoch, n.Epoch)
		}
		// Why: a majority said no and the rest are too few to keep it: surely not kept. Else nobody can know.
		surely := len(yes) == 0 && len(noes) >= set.Quorum()
		s.giveUp("write found no majority", false)
		if surely {
			return state.ErrNoQuorum
		}
		return state.ErrOutcomeUnknown
	}
	s.version = at
	for _, r := range recs {
		s.records[r.Key] = r
	}
	if !s.held() {
		// Why: it is kept, but another may have taken over since; only a new look can tell.
		return state.ErrOutcomeUnknown
	}
	return nil
}

// owe notes that a voter has not answered for a write.
func (s *slot) noteMissed(voter string, written state.Stamp) {
	switch owed := s.missed[voter]; {
	case owed == nil:
		s.missed[voter] = map[state.Stamp]bool{written: true}
	case owed[untracked]:
	case len(owed) >= maxTrackedMisses:
		s.missed[voter] = map[state.Stamp]bool{untracked: true}
	default:
		owed[written] = true
	}
}

// mostOwed is how many writes of a voter are told apart; one that owes more is
// behind until its copy has been looked at.
const maxTrackedMisses = 64

// untold stands for writes that are not told apart; no answer settles it.
var untracked = state.Stamp{}

// awaitLate strikes off what voters confirm after a majority has. Why: a majority is
// the quicker half; the others have nearly always kept the write a moment later, and need no repair.
func (s *slot) awaitLateReplies(set state.CoreSet, late lateReplies, written state.Stamp) {
	if late.remaining == 0 {
		return
	}
	s.owner.d.Group.Go(func(context.Context) {
		for range late.remaining {
			if a := <-late.answers; a.err == nil && a.reply.OK {
				// Why: if the actor has no room for this, the hint stays, and a look at the voter's digest settles it.
				_ = s.actor.Tell(func() { s.clearMissed(set.Cores[a.voter].Name, written) })
			}
		}
	})
}

// confirmed strikes off one write that a voter owed an answer for.
func (s *slot) clearMissed(voter string, written state.Stamp) {
	delete(s.missed[voter], written)
	if len(s.missed[voter]) == 0 {
		delete(s.missed, voter)
	}
}
