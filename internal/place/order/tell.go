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
	case c.held[name] && c.perMibAgain > 0:
		return int(c.perMibAgain * float64(m.SizeMib))
	case c.perMib > 0:
		return int(c.perMib * float64(m.SizeMib))
	}
	return int(m.LoadFor.Milliseconds())
}

// readyMs is when an item that is taken on now will probably be there.
func (c *Controller) readyMs(m conf.Model, item conf.Item) int {
	if c.quick(item) && c.traits.AdaptersUnpaced {
		return c.taskMs(m, item) + quickMargin + c.busyMs()
	}
	return c.taskMs(m, item) + slowMargin + c.queued(false)*int(m.LoadFor.Milliseconds())
}

const (
	// slowMargin, in ms, is what making room and the store's leave take on top of a load of a model.
	slowMargin = 1500
	// quickMargin, in ms, is what an adapter takes on top of its load where its model is.
	quickMargin = 200
	// adapterMs is how long an adapter takes to load, until it has been seen.
	adapterMs = 300
	// quickTasks is how many loads of adapters may wait at one replica.
	quickTasks = 8
)

// quick says that a load takes no model from the store: it is an adapter's whose model is there.
func (c *Controller) quick(item conf.Item) bool {
	base := c.book[conf.Item{Model: item.Model}]
	return item.Adapter != "" && base != nil && base.State == backend.Loaded
}

// queued counts the tasks that are quick, or those that are not.
func (c *Controller) queued(quick bool) int {
	n := 0
	for i := range c.tasks.Len() {
		if c.quick(c.tasks.At(i).item) == quick {
			n++
		}
	}
	return n
}

// mostTasks is how many tasks of the same kind may wait for an item to be taken on.
func (c *Controller) mostTasks(item conf.Item) int {
	if c.quick(item) {
		return quickTasks
	}
	return c.d.Cadence.Tasks
}

// taskMs is how long the loads of an item take, its model's included where that is not there.
func (c *Controller) taskMs(m conf.Model, item conf.Item) int {
	if item.Adapter == "" {
		return c.loadMs(m, item.Model)
	}
	own := adapterMs
	if c.perAdapter > 0 {
		own = int(c.perAdapter.Milliseconds())
	}
	if c.quick(item) {
		return own
	}
	return own + c.loadMs(m, item.Model)
}

// busyMs is how long the load that is under way still takes.
func (c *Controller) busyMs() int {
	if c.tasks.Len() == 0 || c.tasks.Front().phase != loaded {
		return 0
	}
	t := c.tasks.Front()
	return max(0, c.taskMs(c.d.Conf().Models[t.item.Model], t.item)-int((c.d.Clock.Since()-t.since).Milliseconds()))
}

func (c *Controller) learn(t *task, now time.Duration) {
	m := c.d.Conf().Models[t.item.Model]
	c.d.Log.Info("loaded", "replica", c.listed.ID, "item", t.item.String(), "tookMs", (now - t.since).Milliseconds(), "again", c.held[t.item.Model])
	if t.item.Adapter != "" {
		c.learnDelay(t)
		if took := now - t.since; c.perAdapter == 0 {
			c.perAdapter = took
		} else {
			c.perAdapter += (took - c.perAdapter) / 4
		}
		return
	}
	if m.SizeMib == 0 {
		return
	}
	seen := &c.perMib
	if c.held[t.item.Model] && c.traits.KeepsOnDisk {
		seen = &c.perMibAgain
	}
	took := float64((now - t.since).Milliseconds()) / float64(m.SizeMib)
	if *seen == 0 {
		*seen = took
	}
	*seen = 0.7**seen + 0.3*took
}

func (c *Controller) stampNow() state.Stamp { return state.Stamp{Epoch: c.epoch, Version: c.version} }

// publish tells the others what has changed.
func (c *Controller) publish() {
	if c.epoch == 0 {
		return
	}
	mib, places := c.planned()
	listed := c.listed
	listed.Leaving = c.leaving()
	n := Status{Listed: listed, Controller: c.d.Self, Items: map[string]string{}, CapacityMib: c.report.CapacityMib,
		FreeMib: c.report.CapacityMib - mib, AdapterPlaces: c.report.AdapterPlaces, AdapterFree: c.report.AdapterPlaces - places,
		Slots: c.report.Slots, ServeMs: coarse(int(c.report.ServeFor.Milliseconds())), Dark: !c.fresh()}
	for item, l := range c.book {
		n.Items[item.String()] = l.State
	}
	c.etas = c.expect()
	packed := wire.Pack([]any{n, c.etas})
	if c.version > 0 && bytes.Equal(packed, c.packed) {
		return
	}
	c.version++
	c.packed = packed
	// Why: whoever reads it counts from when it came, so what is left is told anew with each status.
	n.ReadyMs = map[string]int{}
	for item, at := range c.etas {
		n.ReadyMs[item] = int(max(0, at-c.d.Clock.Since()).Milliseconds())
	}
	c.d.Gossip.Put(gossip.Entry{Key: Key(c.listed.ID), Stamp: c.stampNow(), Value: wire.Pack(n)})
}

// expect is when each item on its way will probably be there. What was said
// before stands while it is about right, so that it makes no news.
func (c *Controller) expect() map[string]time.Duration {
	out := map[string]time.Duration{}
	models := c.d.Conf().Models
	now, sofar := c.d.Clock.Since(), time.Duration(0)
	for i := range c.tasks.Len() {
		t := c.tasks.At(i)
		if i > 0 {
			sofar += 500 * time.Millisecond
		}
		load := time.Duration(c.taskMs(models[t.item.Model], t.item)) * time.Millisecond
		if t.phase == loaded {
			load = max(load-(now-t.since), 100*time.Millisecond)
		}
		sofar += t.wait + load
		at := now + sofar
		if was, said := c.etas[t.item.String()]; said && at-was < aboutRight && was-at < aboutRight {
			at = was
		}
		out[t.item.String()] = at
	}
	return out
}

// coarse rounds so that small changes make no news.
func coarse(ms int) int {
	for step := 10; ; step *= 2 {
		if ms < step*10 {
			return ms / step * step
		}
	}
}
