package owner

import (
	"context"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// finding is what a look at one voter's copy of a slot came to.
type finding struct {
	voter  state.Core
	differ bool // it had missed something
	ok     bool // its copy is whole now
}

// repair hands voters what they missed: those with a hint, and those whose
// digest differs.
func (s *slot) repair(set state.CoreSet) {
	o := s.o
	all := make([]state.Record, 0, len(s.table))
	for _, r := range s.table {
		all = append(all, r)
	}
	sum := acceptor.Sum(all)
	self := o.d.Self()
	ch := run.Fan(o.d.Group, len(set.Cores), func(ctx context.Context, i int) finding {
		c := set.Cores[i]
		if c.SameVoter(self) {
			return finding{voter: c, ok: true}
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		q := state.Request{SetVersion: set.Version, From: self, Slot: s.n, Epoch: s.epoch.Load()}
		return s.repairVoter(ctx, c, q, all, sum)
	})
	for range set.Cores {
		f := <-ch
		if f.ok {
			delete(s.owes, f.voter.Name)
			if f.differ {
				o.owed.Add(1)
			}
		}
	}
}

// repairVoter compares one voter's digest with sum, and hands it all records if
// they differ.
func (s *slot) repairVoter(ctx context.Context, c state.Core, q state.Request, all []state.Record, sum []byte) finding {
	o := s.o
	r, err := callVoter[state.Request, state.Reply](ctx, o, c, "/state/digest", q)
	if err != nil || !r.OK {
		if err == nil && r.Reason == state.ReasonBehindCoreSet {
			o.d.Behind(c)
		}
		return finding{voter: c}
	}
	if string(r.Digest) == string(sum) {
		return finding{voter: c, ok: true}
	}
	q.Full, q.Version, q.Records = true, s.version, all
	r, err = callVoter[state.Request, state.Reply](ctx, o, c, "/state/accept", q)
	return finding{voter: c, differ: true, ok: err == nil && r.OK}
}
