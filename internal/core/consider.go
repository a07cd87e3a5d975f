package core

import (
	"context"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/place/order"
)

const (
	considerPath    = "/place/consider"
	considerAllPath = "/place/consider-all"
)

// considerHere has the controller of a replica, if it is here, consider a load.
func (c *Core) considerHere(ctx context.Context, q order.Consider) (order.Considered, error) {
	controller := (*c.controllersNow.Load())[q.Replica]
	if controller == nil {
		return order.Considered{}, wire.Refuse("not-owner", q.Replica+" is not controlled here")
	}
	return controller.Consider(ctx, q)
}

// considerAllHere asks the controllers of several replicas side by side, dry.
// Why: who asks waits for so long for all of them; one that is slow must not keep the others' answers back.
func (c *Core) considerAllHere(ctx context.Context, q order.ConsiderAll) []order.Considered {
	ctx, cancel := context.WithTimeout(ctx, c.s.Cadence.Ask*3/4)
	defer cancel()
	return c.eachReplica(q, func(one order.Consider) (order.Considered, error) { return c.considerHere(ctx, one) })
}

// eachReplica asks about each replica of q side by side.
func (c *Core) eachReplica(q order.ConsiderAll, ask func(order.Consider) (order.Considered, error)) []order.Considered {
	type answered struct {
		i int
		a order.Considered
	}
	answers := make([]order.Considered, len(q.Replicas))
	ch := run.Fan(c.group, len(q.Replicas), func(_ context.Context, i int) answered {
		one := q.Ask
		one.Replica, one.Dry = q.Replicas[i], true
		a, err := ask(one)
		if err != nil {
			a = order.Unheard(err)
		}
		return answered{i, a}
	})
	for range q.Replicas {
		got := <-ch
		answers[got.i] = got.a
	}
	return answers
}

// consider asks the controller of a replica, on whichever core it is.
func (c *Core) consider(ctx context.Context, controller string, q order.Consider) (order.Considered, error) {
	if controller == c.s.Name {
		return c.considerHere(ctx, q)
	}
	addr, live := c.coreAddr(controller)
	if !live {
		return order.Considered{}, wire.ErrUnreachable
	}
	return wire.Call[order.Consider, order.Considered](ctx, c.caller, addr, considerPath, q)
}

// considerAll asks the core that controls several replicas about all of them.
func (c *Core) considerAll(ctx context.Context, controller string, q order.ConsiderAll) []order.Considered {
	if controller == c.s.Name {
		return c.considerAllHere(ctx, q)
	}
	addr, live := c.coreAddr(controller)
	if !live {
		return unheard(q, wire.ErrUnreachable)
	}
	return c.considerAllAt(ctx, addr, q)
}

// considerAllAt asks with one message; a core of an earlier version is asked about each replica.
func (c *Core) considerAllAt(ctx context.Context, addr string, q order.ConsiderAll) []order.Considered {
	got, err := wire.Call[order.ConsiderAll, order.ConsideredAll](ctx, c.caller, addr, considerAllPath, q)
	switch {
	case errors.Is(err, wire.ErrNotServed):
		return c.eachReplica(q, func(one order.Consider) (order.Considered, error) {
			return wire.Call[order.Consider, order.Considered](ctx, c.caller, addr, considerPath, one)
		})
	case err != nil:
		return unheard(q, err)
	case len(got.Answers) != len(q.Replicas):
		return unheard(q, wire.ErrGarbled)
	}
	return got.Answers
}

// unheard is the answers where none came.
func unheard(q order.ConsiderAll, err error) []order.Considered {
	answers := make([]order.Considered, len(q.Replicas))
	for i := range answers {
		answers[i] = order.Unheard(err)
	}
	return answers
}

// coreAddr is where a core is reached; false when it is thought gone.
func (c *Core) coreAddr(name string) (addr string, live bool) {
	for _, n := range c.members.Live(member.RoleCore) {
		if n.Name == name {
			return n.Addr, true
		}
	}
	return "", false
}
