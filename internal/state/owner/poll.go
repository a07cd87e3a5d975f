package owner

import (
	"context"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// callVoter sends one message to another voter. It returns wire.ErrUnreachable for
// a voter that is believed to be down.
func callVoter[Q, A any](ctx context.Context, o *Owner, c state.Core, path string, q Q) (A, error) {
	addr, ok := o.d.Addr(c)
	if !ok {
		var none A
		return none, wire.ErrUnreachable
	}
	return wire.Call[Q, A](ctx, o.d.Caller, addr, path, q)
}

// voterAnswer is the result of a request to one voter.
type voterAnswer struct {
	voter int // index of the voter in the core set
	reply state.Reply
	err   error
}

// poll sends a request to all voters in parallel. It returns when all have answered or
// failed or, with early, once a majority has agreed; missed lists the voters that have not agreed by then.
func (o *Owner) poll(set state.CoreSet, path string, q state.Request, local func(context.Context, state.Request) (state.Reply, error), early bool) (accepted, refused []state.Reply, missed []state.Core) {
	accepted, refused, missed, _ = o.pollWithLate(set, path, q, local, early)
	return accepted, refused, missed
}

// pollWithLate is poll that also returns the outstanding answers, one for each
// voter that has not answered yet.
func (o *Owner) pollWithLate(set state.CoreSet, path string, q state.Request, local func(context.Context, state.Request) (state.Reply, error), early bool) (accepted, refused []state.Reply, missed []state.Core, late lateReplies) {
	self := o.d.Self()
	ch := run.FanOut(o.d.Group, len(set.Cores), func(ctx context.Context, i int) voterAnswer {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		c := set.Cores[i]
		if c.SameVoter(self) {
			r, err := local(ctx, q)
			return voterAnswer{i, r, err}
		}
		r, err := callVoter[state.Request, state.Reply](ctx, o, c, path, q)
		return voterAnswer{i, r, err}
	})
	agreed := map[int]bool{}
	late = lateReplies{remaining: len(set.Cores), answers: ch}
	for late.remaining > 0 {
		a := <-ch
		late.remaining--
		switch {
		case a.err != nil:
		case a.reply.OK:
			accepted = append(accepted, a.reply)
			agreed[a.voter] = true
		default:
			refused = append(refused, a.reply)
			if a.reply.Reason == state.ReasonBehindCoreSet {
				o.d.OnVoterBehind(set.Cores[a.voter])
			}
		}
		if early && len(accepted) >= set.Quorum() {
			break
		}
	}
	for i, c := range set.Cores {
		if !agreed[i] {
			missed = append(missed, c)
		}
	}
	return accepted, refused, missed, late
}

// lateReplies holds the answers that were outstanding when a poll returned.
type lateReplies struct {
	remaining int
	answers   <-chan voterAnswer
}
