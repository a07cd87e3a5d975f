package order

import (
	"bytes"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// loadMs returns the expected load time of a model on this replica, as observed or else as configured.
// A model that the replica has held before is loaded from its own disk.
func (c *Controller) loadMs(m conf.Model, name string) int {
	switch {
	case c.heldBefore[name] && c.msPerMibReload > 0:
		return int(c.msPerMibReload * float64(m.SizeMib))
	case c.msPerMib > 0:
		return int(c.msPerMib * float64(m.SizeMib))
	}
	return int(m.ExpectedLoadTime.Milliseconds())
}

// readyMs returns the estimated time until an item is loaded if its load is accepted now.
func (c *Controller) readyMs(m conf.Model, item conf.Item) int {
	if c.adapterOnly(item) && c.traits.AdapterLoadsUnlimited {
		return c.taskMs(m, item) + adapterMarginMs + c.remainingMs()
	}
	return c.taskMs(m, item) + modelMarginMs + c.queued(false)*int(m.ExpectedLoadTime.Milliseconds())
}

const (
	// modelMarginMs is the time that freeing room and the grant of the weight store add to the load of a model.
	modelMarginMs = 1500
	// adapterMarginMs is the time that an adapter takes in addition to its load where its model is loaded.
	adapterMarginMs = 200
	// defaultAdapterMs is the assumed load time of an adapter until one was observed.
	defaultAdapterMs = 300
	// maxAdapterTasks is how many adapter loads may be pending at one replica.
	maxAdapterTasks = 8
)

// adapterOnly reports whether a load needs only an adapter, because its model is loaded.
func (c *Controller) adapterOnly(item conf.Item) bool {
	base := c.entries[conf.Item{Model: item.Model}]
	return item.Adapter != "" && base != nil && base.State == backend.Loaded
}

// queued counts the tasks that load only an adapter, or the other tasks.
func (c *Controller) queued(adapterOnly bool) int {
	n := 0
	for i := range c.tasks.Len() {
		if c.adapterOnly(c.tasks.At(i).item) == adapterOnly {
			n++
		}
	}
	return n
}

// maxTasks returns the number of pending tasks of the item's kind from which its load is refused.
func (c *Controller) maxTasks(item conf.Item) int {
	if c.adapterOnly(item) {
		return maxAdapterTasks
	}
	return c.d.Cadence.MaxLoads
}

// taskMs returns the expected time of the loads of an item, including that of its model unless it is loaded.
func (c *Controller) taskMs(m conf.Model, item conf.Item) int {
	if item.Adapter == "" {
		return c.loadMs(m, item.Model)
	}
	adapterMs := defaultAdapterMs
	if c.adapterLoadTime > 0 {
		adapterMs = int(c.adapterLoadTime.Milliseconds())
	}
	if c.adapterOnly(item) {
		return adapterMs
	}
	return adapterMs + c.loadMs(m, item.Model)
}

// remainingMs returns the expected rest of the load that is in progress.
func (c *Controller) remainingMs() int {
	if c.tasks.Len() == 0 || c.tasks.Front().phase != phaseAwaitLoaded {
		return 0
	}
	t := c.tasks.Front()
	return max(0, c.taskMs(c.d.Conf().Models[t.item.Model], t.item)-int((c.d.Clock.Since()-t.phaseSince).Milliseconds()))
}

// observeLoad updates the observed load times after a load has completed.
func (c *Controller) observeLoad(t *task, now time.Duration) {
	m := c.d.Conf().Models[t.item.Model]
	c.d.Log.Info("loaded", "replica", c.listed.ID, "item", t.item.String(), "tookMs", (now - t.phaseSince).Milliseconds(), "again", c.heldBefore[t.item.Model])
	if t.item.Adapter != "" {
		c.observeReportDelay(t)
		if took := now - t.phaseSince; c.adapterLoadTime == 0 {
			c.adapterLoadTime = took
		} else {
			c.adapterLoadTime += (took - c.adapterLoadTime) / 4
		}
		return
	}
	if m.SizeMib == 0 {
		return
	}
	average := &c.msPerMib
	if c.heldBefore[t.item.Model] && c.traits.CachesModelsOnDisk {
		average = &c.msPerMibReload
	}
	took := float64((now - t.phaseSince).Milliseconds()) / float64(m.SizeMib)
	if *average == 0 {
		*average = took
	}
	*average = 0.7**average + 0.3*took
}

// currentStamp returns the stamp of the last published status.
func (c *Controller) currentStamp() state.Stamp {
	return state.Stamp{Epoch: c.epoch, Version: c.version}
}

// publish puts the status of the replica into gossip if it has changed.
func (c *Controller) publish() {
	if c.epoch == 0 {
		return
	}
	mib, places := c.plannedUse()
	listed := c.listed
	listed.Leaving = c.leaving()
	status := Status{Listed: listed, Controller: c.d.Self, Items: map[string]string{}, CapacityMib: c.report.CapacityMib,
		FreeMib: c.report.CapacityMib - mib, AdapterPlaces: c.report.AdapterPlaces, AdapterFree: c.report.AdapterPlaces - places,
		Slots: c.report.Slots, ServeMs: roundCoarse(int(c.report.ServeFor.Milliseconds())), Stale: !c.reportFresh()}
	for item, e := range c.entries {
		status.Items[item.String()] = e.State
	}
	c.etas = c.estimateReady()
	packed := wire.Marshal([]any{status, c.etas})
	if c.version > 0 && bytes.Equal(packed, c.published) {
		return
	}
	c.version++
	c.published = packed
	// Receivers count from the arrival of the status, so the remaining times are computed for each status.
	status.ReadyMs = map[string]int{}
	for item, at := range c.etas {
		status.ReadyMs[item] = int(max(0, at-c.d.Clock.Since()).Milliseconds())
	}
	c.d.Gossip.Put(gossip.Entry{Key: Key(c.listed.ID), Stamp: c.currentStamp(), Value: wire.Marshal(status)})
}

// estimateReady returns when each pending item is expected to be loaded. A published estimate is kept
// while it differs by less than etaTolerance, so that small changes cause no new status.
func (c *Controller) estimateReady() map[string]time.Duration {
	out := map[string]time.Duration{}
	models := c.d.Conf().Models
	now, total := c.d.Clock.Since(), time.Duration(0)
	for i := range c.tasks.Len() {
		t := c.tasks.At(i)
		if i > 0 {
			total += 500 * time.Millisecond
		}
		load := time.Duration(c.taskMs(models[t.item.Model], t.item)) * time.Millisecond
		if t.phase == phaseAwaitLoaded {
			load = max(load-(now-t.phaseSince), 100*time.Millisecond)
		}
		total += t.storeWait + load
		at := now + total
		if previous, found := c.etas[t.item.String()]; found && at-previous < etaTolerance && previous-at < etaTolerance {
			at = previous
		}
		out[t.item.String()] = at
	}
	return out
}

// roundCoarse rounds down so that small changes cause no new status.
func roundCoarse(ms int) int {
	for step := 10; ; step *= 2 {
		if ms < step*10 {
			return ms / step * step
		}
	}
}
