package core

import (
	"context"
	"time"

	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
)

type controlled struct {
	controller *order.Controller
	group      *run.Group
}

// afloat tells the store's keeper of a load that may still start.
func (c *Core) afloat(ctx context.Context, who string) {
	_, _ = atOwner(ctx, c, plan.PaceKey, "/place/grant", plan.GrantRequest{LoadID: who, Outstanding: true}, c.planner.Grant)
}

func (c *Core) grant(ctx context.Context, l order.GrantRequest) (time.Duration, bool) {
	g, err := atOwner(ctx, c, plan.PaceKey, "/place/grant", plan.GrantRequest{LoadID: l.Who, Penalty: l.Penalty, StartID: l.StartID}, c.planner.Grant)
	return time.Duration(g.WaitMs) * time.Millisecond, err == nil && g.Granted
}

func (c *Core) tellShared(ctx context.Context, s plan.SharedPredictions) {
	to := c.others()
	ch := run.FanOut(c.group, len(to), func(ctx context.Context, i int) bool {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := wire.Call[plan.SharedPredictions, none](ctx, c.caller, to[i].Addr, "/place/share", s)
		return err == nil
	})
	for range to {
		<-ch
	}
}

// tend opens and closes controllers, as slots come and go and the platform lists.
func (c *Core) tend(context.Context) {
	now := c.env.Clock.Since()
	listed := map[string]inventory.Listed{}
	if c.watch.Rounds() > 0 {
		for _, l := range c.watch.List() {
			listed[l.ID] = l
		}
	}
	// Why: with the platform dark the replicas go on, so those known from the gossip stay controlled.
	heard := c.watch.HeardFor() < 5*time.Second
	for _, v := range c.views.Statuses().All {
		id := v.Listed.ID
		if _, there := listed[id]; there {
			delete(c.absent, id)
			continue
		}
		if since, found := c.absent[id]; !found || !heard {
			c.absent[id] = now
			listed[id] = v.Listed
		} else if now-since < 5*time.Second {
			listed[id] = v.Listed
		}
	}
	for id, one := range c.controllers {
		_, there := listed[id]
		if there && c.own.Holds(order.Key(id)) {
			one.controller.SetListed(listed[id])
			continue
		}
		gone := !there && c.own.Holds(order.Key(id))
		delete(c.controllers, id)
		c.group.Go(func(ctx context.Context) {
			// Why: its last word must be out before its actor ends.
			one.controller.Close(ctx, gone)
			one.group.Stop()
		})
	}
	for id, l := range listed {
		if c.controllers[id] != nil || !c.own.Holds(order.Key(id)) {
			continue
		}
		g := c.group.Child()
		c.controllers[id] = &controlled{group: g, controller: order.NewController(g, order.Deps{Clock: c.env.Clock, Log: c.log, Self: c.s.Name, Boot: c.boot,
			Cadence: c.s.Cadence, Replicas: c.replicas, Owner: c.own, Gossip: c.gossip, Reports: c.reports, Conf: c.effective, PredictedRequests: c.planner.PredictedRequests,
			Others: c.views.Statuses, LiveAgents: c.agents, PlatformAge: c.watch.HeardFor, Grant: c.grant, Afloat: c.afloat}, l)}
	}
	snap := map[string]*order.Controller{}
	for id, one := range c.controllers {
		snap[id] = one.controller
	}
	c.controllersNow.Store(&snap)
}
