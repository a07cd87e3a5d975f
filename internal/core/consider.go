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

// considerLocal asks the replica's controller on this core to consider a load.
func (c *Core) considerLocal(ctx context.Context, q order.ConsiderRequest) (order.ConsiderResponse, error) {
	controller := (*c.controllersSnapshot.Load())[q.Replica]
	if controller == nil {
		return order.ConsiderResponse{}, wire.Refuse("not-owner", q.Replica+" is not controlled here")
	}
	return controller.Consider(ctx, q)
}

// considerAllLocal asks the local controllers of several replicas concurrently, as a dry run. It
// takes at most 3/4 of the caller's timeout, so that one slow controller does not delay the other answers past it.
func (c *Core) considerAllLocal(ctx context.Context, q order.ConsiderBatchRequest) []order.ConsiderResponse {
	ctx, cancel := context.WithTimeout(ctx, c.s.Cadence.AskTimeout*3/4)
	defer cancel()
	return c.considerEach(q, func(one order.ConsiderRequest) (order.ConsiderResponse, error) { return c.considerLocal(ctx, one) })
}

// considerEach calls ask for each replica of q concurrently, as a dry run.
func (c *Core) considerEach(q order.ConsiderBatchRequest, ask func(order.ConsiderRequest) (order.ConsiderResponse, error)) []order.ConsiderResponse {
	type answered struct {
		i int
		a order.ConsiderResponse
	}
	answers := make([]order.ConsiderResponse, len(q.Replicas))
	ch := run.FanOut(c.group, len(q.Replicas), func(_ context.Context, i int) answered {
		one := q.Request
		one.Replica, one.DryRun = q.Replicas[i], true
		a, err := ask(one)
		if err != nil {
			a = order.NoAnswer(err)
		}
		return answered{i, a}
	})
	for range q.Replicas {
		got := <-ch
		answers[got.i] = got.a
	}
	return answers
}

// consider asks the controller of a replica, on this core or another.
func (c *Core) consider(ctx context.Context, controller string, q order.ConsiderRequest) (order.ConsiderResponse, error) {
	if controller == c.s.Name {
		return c.considerLocal(ctx, q)
	}
	addr, live := c.coreAddr(controller)
	if !live {
		return order.ConsiderResponse{}, wire.ErrUnreachable
	}
	return wire.Call[order.ConsiderRequest, order.ConsiderResponse](ctx, c.caller, addr, considerPath, q)
}

// considerAll asks the core that controls several replicas about all of them, as a dry run.
func (c *Core) considerAll(ctx context.Context, controller string, q order.ConsiderBatchRequest) []order.ConsiderResponse {
	if controller == c.s.Name {
		return c.considerAllLocal(ctx, q)
	}
	addr, live := c.coreAddr(controller)
	if !live {
		return unanswered(q, wire.ErrUnreachable)
	}
	return c.considerAllRemote(ctx, addr, q)
}

// considerAllRemote sends one batch call. A core of an earlier version does not serve it and is
// called once per replica instead.
func (c *Core) considerAllRemote(ctx context.Context, addr string, q order.ConsiderBatchRequest) []order.ConsiderResponse {
	got, err := wire.Call[order.ConsiderBatchRequest, order.ConsiderBatchResponse](ctx, c.caller, addr, considerAllPath, q)
	switch {
	case errors.Is(err, wire.ErrNotServed):
		return c.considerEach(q, func(one order.ConsiderRequest) (order.ConsiderResponse, error) {
			return wire.Call[order.ConsiderRequest, order.ConsiderResponse](ctx, c.caller, addr, considerPath, one)
		})
	case err != nil:
		return unanswered(q, err)
	case len(got.Answers) != len(q.Replicas):
		return unanswered(q, wire.ErrMalformed)
	}
	return got.Answers
}

// unanswered returns one response per replica that records the failure err.
func unanswered(q order.ConsiderBatchRequest, err error) []order.ConsiderResponse {
	answers := make([]order.ConsiderResponse, len(q.Replicas))
	for i := range answers {
		answers[i] = order.NoAnswer(err)
	}
	return answers
}

// coreAddr returns the address of a core; live is false when the core is not considered alive.
func (c *Core) coreAddr(name string) (addr string, live bool) {
	for _, n := range c.members.Live(member.RoleCore) {
		if n.Name == name {
			return n.Addr, true
		}
	}
	return "", false
}
