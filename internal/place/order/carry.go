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
func (c *Controller) order(verb string, item conf.Item, size int, by time.Duration) error {
	c.orders++
	ended := c.d.Owner.Ordering(Key(c.listed.ID))
	defer ended()
	epoch, left, ok := c.d.Owner.MayOrder(Key(c.listed.ID))
	// Why: an order must be dead before the lease is, so it gets no more time than that.
	left = min(left, by)
	if !ok || epoch != c.epoch || left < leastOrderTime {
		return backend.ErrRefused
	}
	ctx, cancel := context.WithTimeout(c.d.Group.Context(), left)
	defer cancel()
	o := backend.Order{ID: fmt.Sprintf("%s.%d.%d", c.d.Self, epoch, c.orders), Verb: verb, Item: item, SizeMib: size, Epoch: epoch, Controller: c.d.Self + "/" + c.d.Boot, Holder: c.d.Self}
	err := c.d.Replicas.Order(ctx, c.listed.Target(), o)
	c.d.Log.Info("order", "replica", c.listed.ID, "verb", verb, "item", item.String(), "epoch", epoch, "error", err)
	return err
}

// advance takes the task in front as far as it goes now.
func (c *Controller) advance() {
	for range steps {
		if c.tasks.Len() == 0 {
			return
		}
		c.dearestFirst(c.d.Clock.Since())
		if c.tasks.Len() == 0 {
			return
		}
		t := c.tasks.Front()
		before := t.phase
		c.step(t)
		if c.tasks.Len() == 0 || c.tasks.Front() != t || t.phase == before {
			return
		}
	}
}

func (t *task) next(p phase, now time.Duration) { t.phase, t.since, t.looks = p, now, 0 }

// step carries a task on by at most one phase.
func (c *Controller) step(t *task) {
	now := c.d.Clock.Since()
	if c.leaving() && t.phase < gone {
		c.fail("replica is leaving")
		return
	}
	if !c.fresh() {
		if now-t.begun > paceLimit {
			c.fail("no report")
		}
		return
	}
	c.looked(t)
	switch t.phase {
	case withdraw:
		c.publish()
		t.stamp = c.stampNow()
		switch {
		case len(t.victims) == 0:
			t.next(grant, now)
		case c.traits.WaitsForRuns:
			// Why: the replica itself lets what runs end first and turns away what comes, so nobody need have heard.
			c.unload(t, now)
		default:
			t.next(acks, now)
		}
	case acks:
		if c.acked(t.stamp) || now-t.since > ackLimit {
			t.next(idle, now)
		}
	case idle:
		if c.reportAt <= t.since {
			return
		}
		if now-t.since > idleLimit {
			c.fail("victims stay in use")
			return
		}
		if !c.inUse(t, now) {
			c.unload(t, now)
		}
	case gone:
		c.seeGone(t, now)
	case grant:
		c.load(t, now)
	case loaded:
		c.seeLoaded(t, now)
	}
}

// inUse says whether anybody still uses what is to go.
func (c *Controller) inUse(t *task, now time.Duration) bool {
	for _, v := range t.victims {
		for item, l := range c.book {
			if v.Covers(item) && (l.inflight > 0 || c.d.Reports.Inflight(c.listed.ID, item.String(), now) > 0) {
				return true
			}
		}
	}
	return false
}

// unload orders the victims away, one at a time where a replica takes no more.
func (c *Controller) unload(t *task, now time.Duration) {
	for t.asked < len(t.victims) {
		v := t.victims[t.asked]
		l := c.book[v]
		if l == nil {
			t.asked++
			continue
		}
		verb := backend.Unload
		if v.Adapter != "" {
			verb = backend.UnloadAdapter
		}
		// Why: only a load may show later than it was ordered. What is reported gone is gone, and the load that
		// waits for its room need not wait out a doubt.
		if err := c.order(verb, v, l.SizeMib, orderLimit); err != nil {
			if !backend.IsBusy(err) {
				c.fail("unload: " + err.Error())
			}
			return
		}
		t.asked++
		if c.traits.OneOrder {
			break
		}
	}
	t.next(gone, now)
}

// seeGone waits until a report no longer shows the victims.
func (c *Controller) seeGone(t *task, now time.Duration) {
	left := 0
	for _, v := range t.victims[:t.asked] {
		if c.book[v] != nil {
			left++
		}
	}
	switch {
	case left > 0 && now-t.since > goneLimit:
		c.fail("victims do not go")
	case left > 0:
	case t.asked < len(t.victims):
		c.unload(t, now)
	default:
		t.next(grant, now)
	}
}

// seeLoaded waits until a report shows what was ordered.
func (c *Controller) seeLoaded(t *task, now time.Duration) {
	l := c.book[t.item]
	base := c.book[conf.Item{Model: t.item.Model}]
	m := c.d.Conf().Models[t.item.Model]
	switch {
	case l != nil && l.State == backend.Loaded:
		c.learn(t, now)
		c.tasks.PopFront()
	case t.item.Adapter != "" && base != nil && base.State == backend.Loaded && l != nil && l.State == Reserved:
		t.next(grant, now)
	case now-t.since > 5*m.LoadFor+30*time.Second:
		c.fail("load takes too long")
	case l == nil || l.State == Reserved && now-t.since > doubt && base == nil:
		c.fail("load did not start")
	}
}

// load asks for the store's leave and orders the model, then the adapter.
func (c *Controller) load(t *task, now time.Duration) {
	if now-t.since > paceLimit {
		c.fail("the store had no room")
		return
	}
	verb, what := backend.Load, conf.Item{Model: t.item.Model}
	if base := c.book[what]; t.item.Adapter != "" && base != nil && base.State != Reserved {
		if base.State != backend.Loaded {
			t.next(loaded, now)
			return
		}
		verb, what = backend.LoadAdapter, t.item
	}
	l := c.book[what]
	if l == nil {
		c.fail("its room was given up")
		return
	}
	if now-c.reportAt > justNow {
		return
	}
	// Why: what is being carried out may have been ordered by an owner before us, for room that looks free.
	if c.report.Busy && c.traits.OneOrder {
		return
	}
	mib, places := c.there()
	// Why: tasks that come later have their victims still there; what counts now is what is there now.
	if mib+l.SizeMib > c.report.CapacityMib || verb == backend.LoadAdapter && places+1 > c.report.AdapterPlaces {
		if now-t.since > goneLimit {
			c.fail("it does not fit any more")
		}
		return
	}
	by := orderLimit
	if verb == backend.Load || !c.traits.AdaptersUnpaced {
		asked := c.d.Clock.Since()
		ctx, cancel := context.WithTimeout(c.d.Group.Context(), orderLimit)
		defer cancel()
		wait, ok := c.d.Grant(ctx, Leave{Who: c.who(what), Start: c.startOf(t), Worth: t.worth})
		t.wait = wait
		if !ok {
			return
		}
		// Why: a grant dies unused, and it began to live at the earliest when it was asked for.
		by = pace.GrantLife - (c.d.Clock.Since() - asked) - leastOrderTime
		if by < leastOrderTime {
			return // it came too late to be used; the load goes on waiting for another
		}
	}
	l.ordered = c.d.Clock.Since()
	switch err := c.order(verb, what, l.SizeMib, by); {
	case err == nil, backend.IsOutcomeUnknown(err):
		l.State, l.unsure, t.start = backend.Loading, err != nil, ""
		t.next(loaded, now)
	case backend.IsBusy(err):
	default:
		c.fail("load: " + err.Error())
	}
}

// startOf names the load start that a task is to order next.
func (c *Controller) startOf(t *task) string {
	if t.start == "" {
		c.starts++
		t.start = fmt.Sprintf("%s %s/%s.%d.%d", c.listed.ID, c.d.Self, c.d.Boot, c.epoch, c.starts)
	}
	return t.start
}

// who names a load to the store's keeper.
func (c *Controller) who(item conf.Item) string { return c.listed.ID + " " + item.String() }

// afloat keeps the store's keeper in mind of loads that were ordered and that no
// report has told of since.
func (c *Controller) afloat() {
	now := c.d.Clock.Since()
	if now-c.toldAt < floatInterval {
		return
	}
	// Why: a report follows an order at the next look; until then the grant itself counts.
	for item, l := range c.book {
		if l.State == backend.Loading && l.ordered >= c.reportAt && now-l.ordered > floatInterval {
			c.toldAt = now
			ctx, cancel := context.WithTimeout(c.d.Group.Context(), askLimit)
			c.d.Afloat(ctx, c.who(item))
			cancel()
		}
	}
}

// acked says whether every live proxy has this replica's status in force.
func (c *Controller) acked(s state.Stamp) bool {
	for agent := range c.d.Agents() {
		if got := c.d.Reports.Of(agent).Acked[c.listed.ID]; s.Newer(got) {
			return false
		}
	}
	return true
}
