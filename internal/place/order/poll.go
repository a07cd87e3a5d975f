package order

import (
	"context"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
)

// reportFresh reports whether the last report is recent enough to act on.
func (c *Controller) reportFresh() bool {
	return c.hasReport && c.d.Clock.Since()-c.reportAt < 2*time.Second
}

// canReport reports whether the replica can be asked for reports.
func (c *Controller) canReport() bool { return c.listed.Model || c.traits.ServicesReport }

// fillFromConfig fills in what a report omits from the configuration of the service.
func (c *Controller) fillFromConfig(v *backend.Report) {
	if s, found := c.d.Conf().ServiceOf(c.listed.Labels); found {
		if v.CapacityMib == 0 {
			v.CapacityMib = s.CapacityMib
		}
		if v.AdapterPlaces == 0 {
			v.AdapterPlaces = s.MaxAdapters
		}
		if v.Slots == 0 {
			v.Slots = s.MaxInFlight
		}
	}
}

// itemSize returns the size of an item that a replica holds, from its report or else from the configuration and the
// earlier entry, and whether the size is guessed. A loaded item uses memory for as long as it is loaded, even if the
// newest configuration gives a smaller size or no longer contains the item.
func (c *Controller) itemSize(item conf.Item, reported int, held Entry) (mib int, guessed bool) {
	if reported > 0 {
		return reported, false
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
	for other, e := range c.entries {
		if (other.Adapter == "") == (item.Adapter == "") && !e.SizeGuessed {
			largest = max(largest, e.SizeMib)
		}
	}
	return largest, true
}

// configuredSize returns the configured size of a model, or of an adapter on it.
func configuredSize(m conf.Model, item conf.Item) int {
	if item.Adapter == "" {
		return m.SizeMib
	}
	return m.AdapterMib
}

// outcomeUnknownFor returns how long after its order a load that no report shows counts
// as carried out.
func (c *Controller) outcomeUnknownFor(e *entry) time.Duration {
	if c.traits.ReportsBusy && !e.unanswered && !e.inherited {
		return c.traits.ReportLag + outcomeMargin
	}
	return outcomeTimeout
}

// longSilence is the time without reports after which an order to the replica may be delayed in the network.
const longSilence = time.Second

// visibleFrom returns the time from which reports would show a load if it was carried out. An order of a previous
// lease holder, or one that got no answer, may be delayed by a partition and arrive when the replica is reachable again.
func (c *Controller) visibleFrom(e *entry) time.Duration {
	if e.inherited || e.unanswered {
		return max(e.orderedAt, c.reportsSince)
	}
	return e.orderedAt
}

// poll requests a report from the replica and updates the entries.
func (c *Controller) poll() {
	ctx, cancel := context.WithTimeout(c.d.Group.Context(), callTimeout)
	defer cancel()
	requestedAt := c.d.Clock.Since()
	if !c.canReport() {
		c.report, c.reportAt, c.hasReport = backend.Report{ID: c.listed.ID, Incarnation: c.listed.ID, Slots: c.listed.Slots}, requestedAt, true
		return
	}
	v, err := c.d.Replicas.Report(ctx, c.listed.Target())
	if err != nil {
		if c.failedReports++; c.failedReports == 1 {
			c.d.Log.Info("no report", "replica", c.listed.ID, "error", err)
		}
		return
	}
	silent := c.failedReports > 0 || requestedAt-c.reportAt >= longSilence
	c.failedReports = 0
	c.fillFromConfig(&v)
	if c.hasReport && v.Incarnation != c.report.Incarnation {
		c.d.Log.Info("replica restarted", "replica", c.listed.ID)
		c.tasks.Clear()
		c.entries = map[conf.Item]*entry{}
	}
	if v.Leaving {
		inventory.MarkLeaving(c.d.Gossip, c.listed.ID)
	}
	if !c.hasReport || silent {
		c.reportsSince = requestedAt
	}
	c.report, c.reportAt, c.hasReport = v, requestedAt, true
	for item, seen := range v.Items {
		e := c.entries[item]
		if e == nil {
			e = &entry{lastUsed: requestedAt}
			c.entries[item] = e
		}
		e.SizeMib, e.SizeGuessed = c.itemSize(item, seen.SizeMib, e.Entry)
		e.unanswered = false
		if seen.Inflight > 0 {
			e.lastUsed = requestedAt
		}
		e.inflight = seen.Inflight
		switch {
		case seen.State != backend.Loaded:
			e.State = seen.State
		case e.State != Withdrawn || !c.isVictim(item):
			if e.State == backend.Loading {
				e.loadedAt = requestedAt
			}
			e.State = backend.Loaded
		}
	}
	for item, e := range c.entries {
		if _, present := v.Items[item]; present || c.hasTaskFor(item) {
			continue
		}
		// An order with an unknown outcome counts as carried out until a later report shows otherwise. A load that
		// a previous lease holder may have ordered has a Reserved entry and may be running now.
		if requestedAt-c.visibleFrom(e) < c.outcomeUnknownFor(e) || v.Busy && (e.State == backend.Loading || e.inherited) {
			continue
		}
		if item.Adapter == "" && (e.State == Withdrawn || e.State == backend.Loaded) {
			c.heldBefore[item.Model] = true
		}
		delete(c.entries, item)
	}
}

// clearLeavingMark removes the leaving mark of a replica after a platform that was in contact
// has listed it as staying for 5 s.
func (c *Controller) clearLeavingMark() {
	now := c.d.Clock.Since()
	// A platform without recent contact does not confirm that the replica stays.
	if c.d.PlatformAge() > 2*time.Second || c.listed.Leaving || !c.hasReport || c.report.Leaving || !inventory.MarkedLeaving(c.d.Gossip, c.listed.ID) {
		c.stayingSince = -1
		return
	}
	if c.stayingSince < 0 {
		c.stayingSince = now
	}
	if now-c.stayingSince > 5*time.Second {
		inventory.UnmarkLeaving(c.d.Gossip, c.listed.ID)
	}
}
