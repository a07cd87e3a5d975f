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

// loadMs is how long a load takes here, as seen before or else as configured. A
// model that the replica has held comes from its own disk.
func (c *Controller) loadMs(m conf.Model, name string) int {
	switch {
	case c.heldBefore[name] && c.msPerMibReload > 0:
		return int(c.msPerMibReload * float64(m.SizeMib))
	case c.msPerMib > 0:
		return int(c.msPerMib * float64(m.SizeMib))
	}
	return int(m.LoadFor.Milliseconds())
}

// readyMs is when an item that is taken on now will probably be there.
func (c *Controller) readyMs(m conf.Model, item conf.Item) int {
	if c.adapterOnly(item) && c.traits.AdaptersUnpaced {
		return c.taskMs(m, item) + adapterMarginMs + c.remainingMs()
	}
	return c.taskMs(m, item) + modelMarginMs + c.queued(false)*int(m.LoadFor.Milliseconds())
}

const (
	// slowMargin, in ms, is what making room and the store's leave take on top of a load of a model.
	modelMarginMs = 1500
	// quickMargin, in ms, is what an adapter takes on top of its load where its model is.
	adapterMarginMs = 200
	// adapterMs is how long an adapter takes to load, until it has been seen.
	defaultAdapterMs = 300
	// quickTasks is how many loads of adapters may wait at one replica.
	maxAdapterTasks = 8
)

// quick says that a load takes no model from the store: it is an adapter's whose model is there.
func (c *Controller) adapterOnly(item conf.Item) bool {
	base := c.entries[conf.Item{Model: item.Model}]
	return item.Adapter != "" && base != nil && base.State == backend.Loaded
}

// queued counts the tasks that are quick, or those that are not.
func (c *Controller) queued(quick bool) int {
	n := 0
	for i := range c.tasks.Len() {
		if c.adapterOnly(c.tasks.At(i).item) == quick {
			n++
		}
	}
	return n
}

// mostTasks is how many tasks of the same kind may wait for an item to be taken on.
func (c *Controller) maxTasks(item conf.Item) int {
	if c.adapterOnly(item) {
		return maxAdapterTasks
	}
	return c.d.Cadence.Tasks
}

// taskMs is how long the loads of an item take, its model's included where that is not there.
func (c *Controller) taskMs(m conf.Model, item conf.Item) int {
	if item.Adapter == "" {
		return c.loadMs(m, item.Model)
	}
	own := defaultAdapterMs
	if c.adapterLoadTime > 0 {
		own = int(c.adapterLoadTime.Milliseconds())
	}
	if c.adapterOnly(item) {
		return own
	}
	return own + c.loadMs(m, item.Model)
}

// busyMs is how long the load that is under way still takes.
func (c *Controller) remainingMs() int {
	if c.tasks.Len() == 0 || c.tasks.Front().phase != phaseAwaitLoaded {
		return 0
	}
	t := c.tasks.Front()
	return max(0, c.taskMs(c.d.Conf().Models[t.item.Model], t.item)-int((c.d.Clock.Since()-t.phaseSince).Milliseconds()))
}

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
	seen := &c.msPerMib
	if c.heldBefore[t.item.Model] && c.traits.KeepsOnDisk {
		seen = &c.msPerMibReload
	}
	took := float64((now - t.phaseSince).Milliseconds()) / float64(m.SizeMib)
	if *seen == 0 {
		*seen = took
	}
	*seen = 0.7**seen + 0.3*took
}

func (c *Controller) currentStamp() state.Stamp {
	return state.Stamp{Epoch: c.epoch, Version: c.version}
}

// publish tells the others what has changed.
func (c *Controller) publish() {
	if c.epoch == 0 {
		return
	}
	mib, places := c.plannedUse()
	listed := c.listed
	listed.Leaving = c.leaving()
	n := Status{Listed: listed, Controller: c.d.Self, Items: map[string]string{}, CapacityMib: c.report.CapacityMib,
		FreeMib: c.report.CapacityMib - mib, AdapterPlaces: c.report.AdapterPlaces, AdapterFree: c.report.AdapterPlaces - places,
		Slots: c.report.Slots, ServeMs: roundCoarse(int(c.report.ServeFor.Milliseconds())), Stale: !c.reportFresh()}
	for item, l := range c.entries {
		n.Items[item.String()] = l.State
	}
	c.etas = c.estimateReady()
	packed := wire.Pack([]any{n, c.etas})
	if c.version > 0 && bytes.Equal(packed, c.published) {
		return
	}
	c.version++
	c.published = packed
	// Why: whoever reads it counts from when it came, so what is left is told anew with each status.
	n.ReadyMs = map[string]int{}
	for item, at := range c.etas {
		n.ReadyMs[item] = int(max(0, at-c.d.Clock.Since()).Milliseconds())
	}
	c.d.Gossip.Put(gossip.Entry{Key: Key(c.listed.ID), Stamp: c.currentStamp(), Value: wire.Pack(n)})
}

// expect is when each item on its way will probably be there. What was said
// before stands while it is about right, so that it makes no news.
func (c *Controller) estimateReady() map[string]time.Duration {
	out := map[string]time.Duration{}
	models := c.d.Conf().Models
	now, sofar := c.d.Clock.Since(), time.Duration(0)
	for i := range c.tasks.Len() {
		t := c.tasks.At(i)
		if i > 0 {
			sofar += 500 * time.Millisecond
		}
		load := time.Duration(c.taskMs(models[t.item.Model], t.item)) * time.Millisecond
		if t.phase == phaseAwaitLoaded {
			load = max(load-(now-t.phaseSince), 100*time.Millisecond)
		}
		sofar += t.storeWait + load
		at := now + sofar
		if was, said := c.etas[t.item.String()]; said && at-was < etaTolerance && was-at < etaTolerance {
			at = was
		}
		out[t.item.String()] = at
	}
	return out
}

// coarse rounds so that small changes make no news.
func roundCoarse(ms int) int {
	for step := 10; ; step *= 2 {
		if ms < step*10 {
			return ms / step * step
		}
	}
}
