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

// controlled is a controller with the group its goroutines run in.
type controlled struct {
	controller *order.Controller
	group      *run.Group
}

// reportOutstanding reports a load that may still start to the rate limiter of the weight store.
func (c *Core) reportOutstanding(ctx context.Context, loadID string) {
	_, _ = callOwner(ctx, c, plan.PaceKey, "/place/grant", plan.GrantRequest{LoadID: loadID, Outstanding: true}, c.planner.Grant)
}

// grant requests permission for a load from the rate limiter of the weight store.
func (c *Core) grant(ctx context.Context, l order.GrantRequest) (time.Duration, bool) {
	g, err := callOwner(ctx, c, plan.PaceKey, "/place/grant", plan.GrantRequest{LoadID: l.LoadID, Penalty: l.Penalty, StartID: l.StartID}, c.planner.Grant)
	return time.Duration(g.WaitMs) * time.Millisecond, err == nil && g.Granted
}

// sharePredictions sends predictions to all other live cores and waits for their answers.
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

// reconcileControllers starts and stops controllers so that they match the slots held here and
// the replicas that the platform lists.
func (c *Core) reconcileControllers(context.Context) {
	now := c.env.Clock.Since()
	listed := map[string]inventory.Listed{}
	if c.watch.Rounds() > 0 {
		for _, l := range c.watch.List() {
			listed[l.ID] = l
		}
	}
	// Replicas keep running while the platform does not answer, so those known from gossip stay controlled.
	contacted := c.watch.SinceContact() < 5*time.Second
	for _, v := range c.views.Statuses().All {
		id := v.Listed.ID
		if _, present := listed[id]; present {
			delete(c.absentSince, id)
			continue
		}
		if since, found := c.absentSince[id]; !found || !contacted {
			c.absentSince[id] = now
			listed[id] = v.Listed
		} else if now-since < 5*time.Second {
			listed[id] = v.Listed
		}
	}
	for id, one := range c.controllers {
		_, present := listed[id]
		if present && c.owner.Holds(order.Key(id)) {
			one.controller.SetListed(listed[id])
			continue
		}
		gone := !present && c.owner.Holds(order.Key(id))
		delete(c.controllers, id)
		c.group.Go(func(ctx context.Context) {
			// Close publishes the final status, which must happen before the actor ends.
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
