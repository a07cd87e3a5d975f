package owner

import (
	"context"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// repairResult is the result of checking one voter's copy of a slot.
type repairResult struct {
	voter    state.Core
	differed bool // the copy was different
	current  bool // the copy is up to date now
}

// repair compares the digest of every other voter with the local records, and sends the
// full table to voters that differ.
func (s *slot) repair(set state.CoreSet) {
	o := s.owner
	all := make([]state.Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	sum := acceptor.Sum(all)
	self := o.d.Self()
	ch := run.FanOut(o.d.Group, len(set.Cores), func(ctx context.Context, i int) repairResult {
		c := set.Cores[i]
		if c.SameVoter(self) {
			return repairResult{voter: c, current: true}
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		q := state.Request{SetVersion: set.Version, From: self, Slot: s.index, Epoch: s.epoch.Load()}
		return s.repairVoter(ctx, c, q, all, sum)
	})
	for range set.Cores {
		f := <-ch
		if f.current {
			delete(s.missed, f.voter.Name)
			if f.differed {
				o.repaired.Add(1)
			}
		}
	}
}

// repairVoter compares one voter's digest with sum, and sends it all records if
// they differ.
func (s *slot) repairVoter(ctx context.Context, c state.Core, q state.Request, all []state.Record, sum []byte) repairResult {
	o := s.owner
	r, err := callVoter[state.Request, state.Reply](ctx, o, c, "/state/digest", q)
	if err != nil || !r.OK {
		if err == nil && r.Reason == state.ReasonBehindCoreSet {
			o.d.OnVoterBehind(c)
		}
		return repairResult{voter: c}
	}
	if string(r.Digest) == string(sum) {
		return repairResult{voter: c, current: true}
	}
	q.Full, q.Version, q.Records = true, s.version, all
	r, err = callVoter[state.Request, state.Reply](ctx, o, c, "/state/accept", q)
	return repairResult{voter: c, differed: true, current: err == nil && r.OK}
}
