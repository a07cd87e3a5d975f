package order

import (
	"context"
	"fmt"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/state"
)

// sendOrder sends one order if the lease allows it at this moment.
func (c *Controller) sendOrder(verb string, item conf.Item, size int, timeout time.Duration) error {
	c.orderCount++
	ended := c.d.Owner.BeginOrder(Key(c.listed.ID))
	defer ended()
	epoch, left, ok := c.d.Owner.MayOrder(Key(c.listed.ID))
	// An order must time out before the lease expires.
	left = min(left, timeout)
	if !ok || epoch != c.epoch || left < minOrderTime {
		return backend.ErrRefused
	}
	ctx, cancel := context.WithTimeout(c.d.Group.Context(), left)
	defer cancel()
	o := backend.Order{ID: fmt.Sprintf("%s.%d.%d", c.d.Self, epoch, c.orderCount), Verb: verb, Item: item, SizeMib: size, Epoch: epoch, Controller: c.d.Self + "/" + c.d.Boot, LeaseHolder: c.d.Self}
	err := c.d.Replicas.Order(ctx, c.listed.Target(), o)
	c.d.Log.Info("order", "replica", c.listed.ID, "verb", verb, "item", item.String(), "epoch", epoch, "error", err)
	return err
}

// advance moves the front task through as many phases as it can pass now.
func (c *Controller) advance() {
	for range maxSteps {
		if c.tasks.Len() == 0 {
			return
		}
		c.prioritize(c.d.Clock.Since())
		if c.tasks.Len() == 0 {
			return
		}
		t := c.tasks.Front()
		before := t.phase
		c.stepTask(t)
		if c.tasks.Len() == 0 || c.tasks.Front() != t || t.phase == before {
			return
		}
	}
}

// enter moves the task to a phase.
func (t *task) enter(p phase, now time.Duration) { t.phase, t.phaseSince, t.polls = p, now, 0 }

// stepTask advances a task by at most one phase.
func (c *Controller) stepTask(t *task) {
	now := c.d.Clock.Since()
	if c.leaving() && t.phase < phaseAwaitUnloaded {
		c.failFront("replica is leaving")
		return
	}
	if !c.reportFresh() {
		if now-t.acceptedAt > waitTimeout {
			c.failFront("no fresh report")
		}
		return
	}
	c.countPoll(t)
	switch t.phase {
	case phaseWithdraw:
		c.publish()
		t.stamp = c.currentStamp()
		switch {
		case len(t.victims) == 0:
			t.enter(phaseAwaitGrant, now)
		case c.traits.DrainsBeforeUnload:
			// The replica itself waits for running requests and rejects new ones, so no acknowledgement is required.
			c.unloadVictims(t, now)
		default:
			t.enter(phaseAwaitAcks, now)
		}
	case phaseAwaitAcks:
		if c.acknowledged(t.stamp) || now-t.phaseSince > ackTimeout {
			t.enter(phaseAwaitIdle, now)
		}
	case phaseAwaitIdle:
		if c.reportAt <= t.phaseSince {
			return
		}
		if now-t.phaseSince > idleTimeout {
			c.failFront("victims are still in use")
			return
		}
		if !c.victimsInUse(t, now) {
			c.unloadVictims(t, now)
		}
	case phaseAwaitUnloaded:
		c.awaitUnloaded(t, now)
	case phaseAwaitGrant:
		c.startLoad(t, now)
	case phaseAwaitLoaded:
		c.awaitLoaded(t, now)
	}
}

// victimsInUse reports whether requests are in flight at any victim of the task.
func (c *Controller) victimsInUse(t *task, now time.Duration) bool {
	for _, v := range t.victims {
		for item, e := range c.entries {
			if v.Covers(item) && (e.inflight > 0 || c.d.Reports.Inflight(c.listed.ID, item.String(), now) > 0) {
				return true
			}
		}
	}
	return false
}

// unloadVictims orders the unloads of the victims, one at a time where a replica accepts only one order.
func (c *Controller) unloadVictims(t *task, now time.Duration) {
	for t.unloadsOrdered < len(t.victims) {
		v := t.victims[t.unloadsOrdered]
		e := c.entries[v]
		if e == nil {
			t.unloadsOrdered++
			continue
		}
		verb := backend.Unload
		if v.Adapter != "" {
			verb = backend.UnloadAdapter
		}
		// Only the effect of a load may show later than its order. An item that is missing in a report is unloaded, so
		// the load that waits for its room need not wait for outcomeTimeout.
		if err := c.sendOrder(verb, v, e.SizeMib, orderTimeout); err != nil {
			if !backend.IsBusy(err) {
				c.failFront("unload: " + err.Error())
			}
			return
		}
		t.unloadsOrdered++
		if c.traits.RejectsConcurrentOrders {
			break
		}
	}
	t.enter(phaseAwaitUnloaded, now)
}

// awaitUnloaded waits until a report no longer shows the victims.
func (c *Controller) awaitUnloaded(t *task, now time.Duration) {
	left := 0
	for _, v := range t.victims[:t.unloadsOrdered] {
		if c.entries[v] != nil {
			left++
		}
	}
	switch {
	case left > 0 && now-t.phaseSince > unloadTimeout:
		c.failFront("victims were not unloaded")
	case left > 0:
	case t.unloadsOrdered < len(t.victims):
		c.unloadVictims(t, now)
	default:
		t.enter(phaseAwaitGrant, now)
	}
}

// awaitLoaded waits until a report shows the ordered item as loaded.
func (c *Controller) awaitLoaded(t *task, now time.Duration) {
	e := c.entries[t.item]
	base := c.entries[conf.Item{Model: t.item.Model}]
	m := c.d.Conf().Models[t.item.Model]
	switch {
	case e != nil && e.State == backend.Loaded:
		c.observeLoad(t, now)
		c.tasks.PopFront()
	case t.item.Adapter != "" && base != nil && base.State == backend.Loaded && e != nil && e.State == Reserved:
		t.enter(phaseAwaitGrant, now)
	case now-t.phaseSince > 5*m.ExpectedLoadTime+30*time.Second:
		c.failFront("load timed out")
	case e == nil || e.State == Reserved && now-t.phaseSince > outcomeTimeout && base == nil:
		c.failFront("load did not start")
	}
}

// startLoad requests a grant of the weight store and orders the load of the model, then of the adapter.
func (c *Controller) startLoad(t *task, now time.Duration) {
	if now-t.phaseSince > waitTimeout {
		c.failFront("timed out waiting for a grant of the weight store")
		return
	}
	verb, target := backend.Load, conf.Item{Model: t.item.Model}
	if base := c.entries[target]; t.item.Adapter != "" && base != nil && base.State != Reserved {
		if base.State != backend.Loaded {
			t.enter(phaseAwaitLoaded, now)
			return
		}
		verb, target = backend.LoadAdapter, t.item
	}
	e := c.entries[target]
	if e == nil {
		c.failFront("its reservation was released")
		return
	}
	if now-c.reportAt > maxReportAge {
		return
	}
	// The order that is being carried out may come from a previous lease holder and use room that looks free.
	if c.report.Busy && c.traits.RejectsConcurrentOrders {
		return
	}
	mib, places := c.currentUse()
	// The victims of later tasks are still loaded, so only the current use counts here.
	if mib+e.SizeMib > c.report.CapacityMib || verb == backend.LoadAdapter && places+1 > c.report.AdapterPlaces {
		if now-t.phaseSince > unloadTimeout {
			c.failFront("the item does not fit any more")
		}
		return
	}
	timeout := orderTimeout
	if verb == backend.Load || !c.traits.AdapterLoadsUnlimited {
		asked := c.d.Clock.Since()
		ctx, cancel := context.WithTimeout(c.d.Group.Context(), orderTimeout)
		defer cancel()
		wait, ok := c.d.Grant(ctx, GrantRequest{LoadID: c.loadID(target), StartID: c.startID(t), Penalty: t.penalty})
		t.storeWait = wait
		if !ok {
			return
		}
		// An unused grant expires; its lifetime started no earlier than when it was requested.
		timeout = pace.GrantTTL - (c.d.Clock.Since() - asked) - minOrderTime
		if timeout < minOrderTime {
			return // the grant came too late to be used; the task requests another one
		}
	}
	e.orderedAt = c.d.Clock.Since()
	switch err := c.sendOrder(verb, target, e.SizeMib, timeout); {
	case err == nil, backend.IsOutcomeUnknown(err):
		e.State, e.unanswered, t.startID = backend.Loading, err != nil, ""
		t.enter(phaseAwaitLoaded, now)
	case backend.IsBusy(err):
	default:
		c.failFront("load: " + err.Error())
	}
}

// startID returns the ID of the load start that a task orders next.
func (c *Controller) startID(t *task) string {
	if t.startID == "" {
		c.startCount++
		t.startID = fmt.Sprintf("%s %s/%s.%d.%d", c.listed.ID, c.d.Self, c.d.Boot, c.epoch, c.startCount)
	}
	return t.startID
}

// loadID identifies a load to the rate limiter of the store.
func (c *Controller) loadID(item conf.Item) string { return c.listed.ID + " " + item.String() }

// reportOutstanding reports the loads that were ordered and that no report has shown since to the
// rate limiter of the store.
func (c *Controller) reportOutstanding() {
	now := c.d.Clock.Since()
	if now-c.outstandingReportedAt < outstandingInterval {
		return
	}
	// A report follows an order at the next poll; until then the grant itself counts.
	for item, e := range c.entries {
		if e.State == backend.Loading && e.orderedAt >= c.reportAt && now-e.orderedAt > outstandingInterval {
			c.outstandingReportedAt = now
			ctx, cancel := context.WithTimeout(c.d.Group.Context(), callTimeout)
			c.d.ReportOutstanding(ctx, c.loadID(item))
			cancel()
		}
	}
}

// acknowledged reports whether every live proxy has applied this status of the replica, or a newer one.
func (c *Controller) acknowledged(s state.Stamp) bool {
	for agent := range c.d.LiveAgents() {
		if got := c.d.Reports.Get(agent).Acked[c.listed.ID]; s.Newer(got) {
			return false
		}
	}
	return true
}
