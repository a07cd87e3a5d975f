package order

import (
	"context"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
)

func (c *Controller) fresh() bool { return c.known && c.d.Clock.Since()-c.reportAt < 2*time.Second }

// reports says whether the replica can be asked for reports.
func (c *Controller) reports() bool { return c.listed.Model || c.traits.ServicesReport }

// complete adds what the report leaves to the configuration.
func (c *Controller) complete(v *backend.Report) {
	if s, found := c.d.Conf().ServiceOf(c.listed.Labels); found {
		if v.CapacityMib == 0 {
			v.CapacityMib = s.CapacityMib
		}
		if v.AdapterPlaces == 0 {
			v.AdapterPlaces = s.AdapterPlaces
		}
		if v.Slots == 0 {
			v.Slots = s.Slots
		}
	}
}

// sizeOf is the size of an item that a replica holds, by what its report tells or else by what is known, and whether
// it is guessed. Why: what is held takes room for as long as it is held, whatever the newest configuration says
// of it, or nothing.
func (c *Controller) sizeOf(item conf.Item, told int, held Line) (mib int, guessed bool) {
	if told > 0 {
		return told, false
	}
	models := c.d.Conf().Models
	known := sizeIn(models[item.Model], item)
	if !held.Guessed {
		known = max(known, held.SizeMib)
	}
	if known > 0 {
		return known, false
	}
	largest := 0
	for _, m := range models {
		largest = max(largest, sizeIn(m, item))
	}
	for other, l := range c.book {
		if (other.Adapter == "") == (item.Adapter == "") && !l.Guessed {
			largest = max(largest, l.SizeMib)
		}
	}
	return largest, true
}

// sizeIn is the size of a model, or of an adapter on it.
func sizeIn(m conf.Model, item conf.Item) int {
	if item.Adapter == "" {
		return m.SizeMib
	}
	return m.AdapterMib
}

// doubtFor is for how long after its order a load that no report shows counts
// as carried out.
func (c *Controller) doubtFor(l *line) time.Duration {
	if c.traits.TellsBusy && !l.unsure && !l.inherited {
		return c.traits.ReportLag + doubtMargin
	}
	return doubt
}

// longSilence is from when on an order to a replica that was not heard may be held up on the way.
const longSilence = time.Second

// mayBegin is from when on a load that no report shows would show if it was carried out. Why: what an owner before
// us ordered, or we with no answer, may lie on a way that is cut, and arrives when the replica is heard again.
func (c *Controller) mayBegin(l *line) time.Duration {
	if l.inherited || l.unsure {
		return max(l.ordered, c.heardSince)
	}
	return l.ordered
}

// look asks the replica how it is and brings the book in line.
func (c *Controller) look() {
	ctx, cancel := context.WithTimeout(c.d.Group.Context(), askLimit)
	defer cancel()
	asked := c.d.Clock.Since()
	if !c.reports() {
		c.report, c.reportAt, c.known = backend.Report{ID: c.listed.ID, Incarnation: c.listed.ID, Slots: c.listed.Slots}, asked, true
		return
	}
	v, err := c.d.Replicas.Report(ctx, c.listed.Target())
	if err != nil {
		if c.wrong++; c.wrong == 1 {
			c.d.Log.Info("no report", "replica", c.listed.ID, "error", err)
		}
		return
	}
	silent := c.wrong > 0 || asked-c.reportAt >= longSilence
	c.wrong = 0
	c.complete(&v)
	if c.known && v.Incarnation != c.report.Incarnation {
		c.d.Log.Info("replica started anew", "replica", c.listed.ID)
		c.tasks.Clear()
		c.book = map[conf.Item]*line{}
	}
	if v.Leaving {
		inventory.Mark(c.d.Gossip, c.listed.ID)
	}
	if !c.known || silent {
		c.heardSince = asked
	}
	c.report, c.reportAt, c.known = v, asked, true
	for item, seen := range v.Items {
		l := c.book[item]
		if l == nil {
			l = &line{lastUsed: asked}
			c.book[item] = l
		}
		l.SizeMib, l.Guessed = c.sizeOf(item, seen.SizeMib, l.Line)
		l.unsure = false
		if seen.Inflight > 0 {
			l.lastUsed = asked
		}
		l.inflight = seen.Inflight
		switch {
		case seen.State != backend.Loaded:
			l.State = seen.State
		case l.State != Leaving || !c.taken(item):
			if l.State == backend.Loading {
				l.loadedAt = asked
			}
			l.State = backend.Loaded
		}
	}
	for item, l := range c.book {
		if _, there := v.Items[item]; there || c.reservedBy(item) {
			continue
		}
		// Why: an order whose outcome is not known counts as carried out until a later report denies it.
		// Why: what an owner before us may have ordered stands in the book as room kept, and may be loading just now.
		if asked-c.mayBegin(l) < c.doubtFor(l) || v.Busy && (l.State == backend.Loading || l.inherited) {
			continue
		}
		if item.Adapter == "" && (l.State == Leaving || l.State == backend.Loaded) {
			c.held[item.Model] = true
		}
		delete(c.book, item)
	}
}

// unmark takes a leaving mark back after the replica has been listed as
// staying, by a platform heard just now, for a while.
func (c *Controller) unmark() {
	now := c.d.Clock.Since()
	// Why: a platform not heard is not one that says the replica stays.
	if c.d.Platform() > 2*time.Second || c.listed.Leaving || !c.known || c.report.Leaving || !inventory.Marked(c.d.Gossip, c.listed.ID) {
		c.staying = -1
		return
	}
	if c.staying < 0 {
		c.staying = now
	}
	if now-c.staying > 5*time.Second {
		inventory.Unmark(c.d.Gossip, c.listed.ID)
	}
}
