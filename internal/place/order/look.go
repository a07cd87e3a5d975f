package order

import (
	"context"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
)

func (c *Controller) reportFresh() bool {
	return c.hasReport && c.d.Clock.Since()-c.reportAt < 2*time.Second
}

// reports says whether the replica can be asked for reports.
func (c *Controller) canReport() bool { return c.listed.Model || c.traits.ServicesReport }

// complete adds what the report leaves to the configuration.
func (c *Controller) fillFromConfig(v *backend.Report) {
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
func (c *Controller) itemSize(item conf.Item, told int, held Entry) (mib int, guessed bool) {
	if told > 0 {
		return told, false
	}
	models := c.d.Conf().Models
	known := configuredSize(models[item.Model], item)
	if !held.SizeGuessed {
		known = max(known, held.SizeMib)
	}
	if known > 0 {
		return known, false
	}
	largest := 0
	for _, m := range models {
		largest = max(largest, configuredSize(m, item))
	}
	for other, l := range c.entries {
		if (other.Adapter == "") == (item.Adapter == "") && !l.SizeGuessed {
			largest = max(largest, l.SizeMib)
		}
	}
	return largest, true
}

// sizeIn is the size of a model, or of an adapter on it.
func configuredSize(m conf.Model, item conf.Item) int {
	if item.Adapter == "" {
		return m.SizeMib
	}
	return m.AdapterMib
}

// doubtFor is for how long after its order a load that no report shows counts
// as carried out.
func (c *Controller) outcomeUnknownFor(l *entry) time.Duration {
	if c.traits.TellsBusy && !l.unanswered && !l.inherited {
		return c.traits.ReportLag + outcomeMargin
	}
	return outcomeTimeout
}

// longSilence is from when on an order to a replica that was not heard may be held up on the way.
const longSilence = time.Second

// mayBegin is from when on a load that no report shows would show if it was carried out. Why: what an owner before
// us ordered, or we with no answer, may lie on a way that is cut, and arrives when the replica is heard again.
func (c *Controller) visibleFrom(l *entry) time.Duration {
	if l.inherited || l.unanswered {
		return max(l.orderedAt, c.reportsSince)
	}
	return l.orderedAt
}

// look asks the replica how it is and brings the book in line.
func (c *Controller) poll() {
	ctx, cancel := context.WithTimeout(c.d.Group.Context(), callTimeout)
	defer cancel()
	asked := c.d.Clock.Since()
	if !c.canReport() {
		c.report, c.reportAt, c.hasReport = backend.Report{ID: c.listed.ID, Incarnation: c.listed.ID, Slots: c.listed.Slots}, asked, true
		return
	}
	v, err := c.d.Replicas.Report(ctx, c.listed.Target())
	if err != nil {
		if c.failedReports++; c.failedReports == 1 {
			c.d.Log.Info("no report", "replica", c.listed.ID, "error", err)
		}
		return
	}
	silent := c.failedReports > 0 || asked-c.reportAt >= longSilence
	c.failedReports = 0
	c.fillFromConfig(&v)
	if c.hasReport && v.Incarnation != c.report.Incarnation {
		c.d.Log.Info("replica started anew", "replica", c.listed.ID)
		c.tasks.Clear()
		c.entries = map[conf.Item]*entry{}
	}
	if v.Leaving {
		inventory.Mark(c.d.Gossip, c.listed.ID)
	}
	if !c.hasReport || silent {
		c.reportsSince = asked
	}
	c.report, c.reportAt, c.hasReport = v, asked, true
	for item, seen := range v.Items {
		l := c.entries[item]
		if l == nil {
			l = &entry{lastUsed: asked}
			c.entries[item] = l
		}
		l.SizeMib, l.SizeGuessed = c.itemSize(item, seen.SizeMib, l.Entry)
		l.unanswered = false
		if seen.Inflight > 0 {
			l.lastUsed = asked
		}
		l.inflight = seen.Inflight
		switch {
		case seen.State != backend.Loaded:
			l.State = seen.State
		case l.State != Withdrawn || !c.isVictim(item):
			if l.State == backend.Loading {
				l.loadedAt = asked
			}
			l.State = backend.Loaded
		}
	}
	for item, l := range c.entries {
		if _, there := v.Items[item]; there || c.hasTaskFor(item) {
			continue
		}
		// Why: an order whose outcome is not known counts as carried out until a later report denies it.
		// Why: what an owner before us may have ordered stands in the book as room kept, and may be loading just now.
		if asked-c.visibleFrom(l) < c.outcomeUnknownFor(l) || v.Busy && (l.State == backend.Loading || l.inherited) {
			continue
		}
		if item.Adapter == "" && (l.State == Withdrawn || l.State == backend.Loaded) {
			c.heldBefore[item.Model] = true
		}
		delete(c.entries, item)
	}
}

// unmark takes a leaving mark back after the replica has been listed as
// staying, by a platform heard just now, for a while.
func (c *Controller) clearLeavingMark() {
	now := c.d.Clock.Since()
	// Why: a platform not heard is not one that says the replica stays.
	if c.d.PlatformAge() > 2*time.Second || c.listed.Leaving || !c.hasReport || c.report.Leaving || !inventory.Marked(c.d.Gossip, c.listed.ID) {
		c.stayingSince = -1
		return
	}
	if c.stayingSince < 0 {
		c.stayingSince = now
	}
	if now-c.stayingSince > 5*time.Second {
		inventory.Unmark(c.d.Gossip, c.listed.ID)
	}
}
