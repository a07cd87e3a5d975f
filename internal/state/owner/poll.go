package owner

import (
	"context"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// callVoter sends one message to another voter; wire.ErrUnreachable is given for
// one that is thought gone.
func callVoter[Q, A any](ctx context.Context, o *Owner, c state.Core, path string, q Q) (A, error) {
	addr, ok := o.d.Addr(c)
	if !ok {
		var none A
		return none, wire.ErrUnreachable
	}
	return wire.Call[Q, A](ctx, o.d.Caller, addr, path, q)
}

// voterAnswer is what came of asking one voter.
type voterAnswer struct {
	voter int // of the voter in the core membership
	reply state.Reply
	err   error
}

// poll asks every voter side by side. It returns once a majority agreed or all
// have answered; missed are voters without a yes at that moment.
func (o *Owner) poll(set state.CoreSet, path string, q state.Request, local func(context.Context, state.Request) (state.Reply, error), early bool) (yes, noes []state.Reply, missed []state.Core) {
	yes, noes, missed, _ = o.pollWithLate(set, path, q, local, early)
	return yes, noes, missed
}

// pollSome is poll that also gives the answers that come later, one for each of
// the voters that had not answered yet.
func (o *Owner) pollWithLate(set state.CoreSet, path string, q state.Request, local func(context.Context, state.Request) (state.Reply, error), early bool) (yes, noes []state.Reply, missed []state.Core, late lateReplies) {
	self := o.d.Self()
	ch := run.Fan(o.d.Group, len(set.Cores), func(ctx context.Context, i int) voterAnswer {
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
			yes = append(yes, a.reply)
			agreed[a.voter] = true
		default:
			noes = append(noes, a.reply)
			if a.reply.Reason == state.ReasonBehindCoreSet {
				o.d.Behind(set.Cores[a.voter])
			}
		}
		if early && len(yes) >= set.Quorum() {
			break
		}
	}
	for i, c := range set.Cores {
		if !agreed[i] {
			missed = append(missed, c)
		}
	}
	return yes, noes, missed, late
}

// later is the answers that had not come when a majority had agreed.
type lateReplies struct {
	remaining int
	answers   <-chan voterAnswer
}
