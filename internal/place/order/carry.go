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

// order sends one order, if the lease allows it at this very moment.
func (c *Controller) sendOrder(verb string, item conf.Item, size int, by time.Duration) error {
	c.orderCount++
	ended := c.d.Owner.BeginOrder(Key(c.listed.ID))
	defer ended()
	epoch, left, ok := c.d.Owner.MayOrder(Key(c.listed.ID))
	// Why: an order must be dead before the lease is, so it gets no more time than that.
	left = min(left, by)
	if !ok || epoch != c.epoch || left < minOrderTime {
		return backend.ErrRefused
	}
	ctx, cancel := context.WithTimeout(c.d.Group.Context(), left)
	defer cancel()
	o := backend.Order{ID: fmt.Sprintf("%s.%d.%d", c.d.Self, epoch, c.orderCount), Verb: verb, Item: item, SizeMib: size, Epoch: epoch, Controller: c.d.Self + "/" + c.d.Boot, Holder: c.d.Self}
	err := c.d.Replicas.Order(ctx, c.listed.Target(), o)
	c.d.Log.Info("order", "replica", c.listed.ID, "verb", verb, "item", item.String(), "epoch", epoch, "error", err)
	return err
}

// advance takes the task in front as far as it goes now.
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

func (t *task) enter(p phase, now time.Duration) { t.phase, t.phaseSince, t.polls = p, now, 0 }

// step carries a task on by at most one phase.
func (c *Controller) stepTask(t *task) {
	now := c.d.Clock.Since()
	if c.leaving() && t.phase < phaseAwaitUnloaded {
		c.failFront("replica is leaving")
		return
	}
	if !c.reportFresh() {
		if now-t.acceptedAt > waitTimeout {
			c.failFront("no report")
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
		case c.traits.WaitsForRuns:
			// Why: the replica itself lets what runs end first and turns away what comes, so nobody need have heard.
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
			c.failFront("victims stay in use")
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

// inUse says whether anybody still uses what is to go.
func (c *Controller) victimsInUse(t *task, now time.Duration) bool {
	for _, v := range t.victims {
		for item, l := range c.entries {
			if v.Covers(item) && (l.inflight > 0 || c.d.Reports.Inflight(c.listed.ID, item.String(), now) > 0) {
				return true
			}
		}
	}
	return false
}

// unload orders the victims away, one at a time where a replica takes no more.
func (c *Controller) unloadVictims(t *task, now time.Duration) {
	for t.unloadsOrdered < len(t.victims) {
		v := t.victims[t.unloadsOrdered]
		l := c.entries[v]
		if l == nil {
			t.unloadsOrdered++
			continue
		}
		verb := backend.Unload
		if v.Adapter != "" {
			verb = backend.UnloadAdapter
		}
		// Why: only a load may show later than it was ordered. What is reported gone is gone, and the load that
		// waits for its room need not wait out a doubt.
		if err := c.sendOrder(verb, v, l.SizeMib, orderTimeout); err != nil {
			if !backend.IsBusy(err) {
				c.failFront("unload: " + err.Error())
			}
			return
		}
		t.unloadsOrdered++
		if c.traits.OneOrder {
			break
		}
	}
	t.enter(phaseAwaitUnloaded, now)
}

// seeGone waits until a report no longer shows the victims.
func (c *Controller) awaitUnloaded(t *task, now time.Duration) {
	left := 0
	for _, v := range t.victims[:t.unloadsOrdered] {
		if c.entries[v] != nil {
			left++
		}
	}
	switch {
	case left > 0 && now-t.phaseSince > unloadTimeout:
		c.failFront("victims do not go")
	case left > 0:
	case t.unloadsOrdered < len(t.victims):
		c.unloadVictims(t, now)
	default:
		t.enter(phaseAwaitGrant, now)
	}
}

// seeLoaded waits until a report shows what was ordered.
func (c *Controller) awaitLoaded(t *task, now time.Duration) {
	l := c.entries[t.item]
	base := c.entries[conf.Item{Model: t.item.Model}]
	m := c.d.Conf().Models[t.item.Model]
	switch {
	case l != nil && l.State == backend.Loaded:
		c.observeLoad(t, now)
		c.tasks.PopFront()
	case t.item.Adapter != "" && base != nil && base.State == backend.Loaded && l != nil && l.State == Reserved:
		t.enter(phaseAwaitGrant, now)
	case now-t.phaseSince > 5*m.LoadFor+30*time.Second:
		c.failFront("load takes too long")
	case l == nil || l.State == Reserved && now-t.phaseSince > outcomeTimeout && base == nil:
		c.failFront("load did not start")
	}
}

// load asks for the store's leave and orders the model, then the adapter.
func (c *Controller) startLoad(t *task, now time.Duration) {
	if now-t.phaseSince > waitTimeout {
		c.failFront("the store had no room")
		return
	}
	verb, what := backend.Load, conf.Item{Model: t.item.Model}
	if base := c.entries[what]; t.item.Adapter != "" && base != nil && base.State != Reserved {
		if base.State != backend.Loaded {
			t.enter(phaseAwaitLoaded, now)
			return
		}
		verb, what = backend.LoadAdapter, t.item
	}
	l := c.entries[what]
	if l == nil {
		c.failFront("its room was given up")
		return
	}
	if now-c.reportAt > maxReportAge {
		return
	}
	// Why: what is being carried out may have been ordered by an owner before us, for room that looks free.
	if c.report.Busy && c.traits.OneOrder {
		return
	}
	mib, places := c.currentUse()
	// Why: tasks that come later have their victims still there; what counts now is what is there now.
	if mib+l.SizeMib > c.report.CapacityMib || verb == backend.LoadAdapter && places+1 > c.report.AdapterPlaces {
		if now-t.phaseSince > unloadTimeout {
			c.failFront("it does not fit any more")
		}
		return
	}
	by := orderTimeout
	if verb == backend.Load || !c.traits.AdaptersUnpaced {
		asked := c.d.Clock.Since()
		ctx, cancel := context.WithTimeout(c.d.Group.Context(), orderTimeout)
		defer cancel()
		wait, ok := c.d.Grant(ctx, GrantRequest{Who: c.loadID(what), StartID: c.startID(t), Penalty: t.penalty})
		t.storeWait = wait
		if !ok {
			return
		}
		// Why: a grant dies unused, and it began to live at the earliest when it was asked for.
		by = pace.GrantTTL - (c.d.Clock.Since() - asked) - minOrderTime
		if by < minOrderTime {
			return // it came too late to be used; the load goes on waiting for another
		}
	}
	l.orderedAt = c.d.Clock.Since()
	switch err := c.sendOrder(verb, what, l.SizeMib, by); {
	case err == nil, backend.IsOutcomeUnknown(err):
		l.State, l.unanswered, t.startID = backend.Loading, err != nil, ""
		t.enter(phaseAwaitLoaded, now)
	case backend.IsBusy(err):
	default:
		c.failFront("load: " + err.Error())
	}
}

// startOf names the load start that a task is to order next.
func (c *Controller) startID(t *task) string {
	if t.startID == "" {
		c.startCount++
		t.startID = fmt.Sprintf("%s %s/%s.%d.%d", c.listed.ID, c.d.Self, c.d.Boot, c.epoch, c.startCount)
	}
	return t.startID
}

// who names a load to the store's keeper.
func (c *Controller) loadID(item conf.Item) string { return c.listed.ID + " " + item.String() }

// afloat keeps the store's keeper in mind of loads that were ordered and that no
// report has told of since.
func (c *Controller) reportOutstanding() {
	now := c.d.Clock.Since()
	if now-c.outstandingReportedAt < outstandingInterval {
		return
	}
	// Why: a report follows an order at the next look; until then the grant itself counts.
	for item, l := range c.entries {
		if l.State == backend.Loading && l.orderedAt >= c.reportAt && now-l.orderedAt > outstandingInterval {
			c.outstandingReportedAt = now
			ctx, cancel := context.WithTimeout(c.d.Group.Context(), callTimeout)
			c.d.Afloat(ctx, c.loadID(item))
			cancel()
		}
	}
}

// acked says whether every live proxy has this replica's status in force.
func (c *Controller) acknowledged(s state.Stamp) bool {
	for agent := range c.d.LiveAgents() {
		if got := c.d.Reports.Of(agent).Acked[c.listed.ID]; s.Newer(got) {
			return false
		}
	}
	return true
}
