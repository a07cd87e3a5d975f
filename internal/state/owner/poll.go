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

// poll asks every voter side by side. It returns once a majority agreed or all
// have answered; missed are voters without a yes at that moment.
func (o *Owner) poll(set state.CoreSet, path string, q state.Ask, local func(context.Context, state.Ask) (state.Reply, error), early bool) (yes, noes []state.Reply, missed []state.Core) {
	type answer struct {
		i   int
		r   state.Reply
		err error
	}
	self := o.d.Self()
	ch := run.Fan(o.d.Group, len(set.Cores), func(ctx context.Context, i int) answer {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		c := set.Cores[i]
		if c.Is(self) {
			r, err := local(ctx, q)
			return answer{i, r, err}
		}
		r, err := callVoter[state.Ask, state.Reply](ctx, o, c, path, q)
		return answer{i, r, err}
	})
	agreed := map[int]bool{}
	for range set.Cores {
		a := <-ch
		switch {
		case a.err != nil:
		case a.r.OK:
			yes = append(yes, a.r)
			agreed[a.i] = true
		default:
			noes = append(noes, a.r)
			if a.r.Why == state.WhyBehind {
				o.d.Behind(set.Cores[a.i])
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
	return yes, noes, missed
}
