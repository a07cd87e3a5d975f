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
func (c *Core) reportOutstanding(ctx context.Context, who string) {
	_, _ = callOwner(ctx, c, plan.PaceKey, "/place/grant", plan.GrantRequest{LoadID: who, Outstanding: true}, c.planner.Grant)
}

func (c *Core) grant(ctx context.Context, l order.GrantRequest) (time.Duration, bool) {
	g, err := callOwner(ctx, c, plan.PaceKey, "/place/grant", plan.GrantRequest{LoadID: l.LoadID, Penalty: l.Penalty, StartID: l.StartID}, c.planner.Grant)
	return time.Duration(g.WaitMs) * time.Millisecond, err == nil && g.Granted
}

func (c *Core) sharePredictions(ctx context.Context, s plan.SharedPredictions) {
	to := c.otherCores()
	ch := run.FanOut(c.group, len(to), func(ctx context.Context, i int) bool {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := wire.Call[plan.SharedPredictions, empty](ctx, c.caller, to[i].Addr, "/place/share", s)
		return err == nil
	})
	for range to {
		<-ch
	}
}

// tend opens and closes controllers, as slots come and go and the platform lists.
func (c *Core) reconcileControllers(context.Context) {
	now := c.env.Clock.Since()
	listed := map[string]inventory.Listed{}
	if c.watch.Rounds() > 0 {
		for _, l := range c.watch.List() {
			listed[l.ID] = l
		}
	}
	// Why: with the platform dark the replicas go on, so those known from the gossip stay controlled.
	heard := c.watch.SinceContact() < 5*time.Second
	for _, v := range c.views.Statuses().All {
		id := v.Listed.ID
		if _, there := listed[id]; there {
			delete(c.absentSince, id)
			continue
		}
		if since, found := c.absentSince[id]; !found || !heard {
			c.absentSince[id] = now
			listed[id] = v.Listed
		} else if now-since < 5*time.Second {
			listed[id] = v.Listed
		}
	}
	for id, one := range c.controllers {
		_, there := listed[id]
		if there && c.owner.Holds(order.Key(id)) {
			one.controller.SetListed(listed[id])
			continue
		}
		gone := !there && c.owner.Holds(order.Key(id))
		delete(c.controllers, id)
		c.group.Go(func(ctx context.Context) {
			// Why: its last word must be out before its actor ends.
			one.controller.Close(ctx, gone)
			one.group.Stop()
		})
	}
	for id, l := range listed {
		if c.controllers[id] != nil || !c.owner.Holds(order.Key(id)) {
			continue
		}
		g := c.group.Child()
		c.controllers[id] = &controlled{group: g, controller: order.NewController(g, order.Deps{Clock: c.env.Clock, Log: c.log, Self: c.s.Name, Boot: c.boot,
			Cadence: c.s.Cadence, Replicas: c.replicas, Owner: c.owner, Gossip: c.gossip, Reports: c.reports, Conf: c.effective, PredictedRequests: c.planner.PredictedRequests,
			Statuses: c.views.Statuses, LiveAgents: c.liveAgents, PlatformAge: c.watch.SinceContact, Grant: c.grant, ReportOutstanding: c.reportOutstanding}, l)}
	}
	snap := map[string]*order.Controller{}
	for id, one := range c.controllers {
		snap[id] = one.controller
	}
	c.controllersSnapshot.Store(&snap)
}
