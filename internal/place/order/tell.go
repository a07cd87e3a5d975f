package order

import (
	"bytes"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/news"
	"drumstall.example/internal/state"
)

// loadMs is how long a load takes here, as seen before or else as configured. A
// model that the replica has held comes from its own disk.
func (w *Ward) loadMs(m conf.Model, name string) int {
	switch {
	case w.held[name] && w.perMibAgain > 0:
		return int(w.perMibAgain * float64(m.SizeMib))
	case w.perMib > 0:
		return int(w.perMib * float64(m.SizeMib))
	}
	return int(m.LoadFor.Milliseconds())
}

// readyMs is when an item that is taken on now will probably be there.
func (w *Ward) readyMs(m conf.Model, item conf.Item) int {
	if w.quick(item) && w.traits.AdaptersUnpaced {
		return w.taskMs(m, item) + quickMargin + w.busyMs()
	}
	return w.taskMs(m, item) + slowMargin + w.queued(false)*int(m.LoadFor.Milliseconds())
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
func (w *Ward) quick(item conf.Item) bool {
	base := w.book[conf.Item{Model: item.Model}]
	return item.Adapter != "" && base != nil && base.State == backend.Loaded
}

// queued counts the tasks that are quick, or those that are not.
func (w *Ward) queued(quick bool) int {
	n := 0
	for i := range w.tasks.Len() {
		if w.quick(w.tasks.At(i).item) == quick {
			n++
		}
	}
	return n
}

// mostTasks is how many tasks of the same kind may wait for an item to be taken on.
func (w *Ward) mostTasks(item conf.Item) int {
	if w.quick(item) {
		return quickTasks
	}
	return w.d.Cadence.Tasks
}

// taskMs is how long the loads of an item take, its model's included where that is not there.
func (w *Ward) taskMs(m conf.Model, item conf.Item) int {
	if item.Adapter == "" {
		return w.loadMs(m, item.Model)
	}
	own := adapterMs
	if w.perAdapter > 0 {
		own = int(w.perAdapter.Milliseconds())
	}
	if w.quick(item) {
		return own
	}
	return own + w.loadMs(m, item.Model)
}

// busyMs is how long the load that is under way still takes.
func (w *Ward) busyMs() int {
	if w.tasks.Len() == 0 || w.tasks.Front().phase != loaded {
		return 0
	}
	t := w.tasks.Front()
	return max(0, w.taskMs(w.d.Conf().Models[t.item.Model], t.item)-int((w.d.Clock.Since()-t.since).Milliseconds()))
}

func (w *Ward) learn(t *task, now time.Duration) {
	m := w.d.Conf().Models[t.item.Model]
	w.d.Log.Info("loaded", "replica", w.listed.ID, "item", t.item.String(), "tookMs", (now - t.since).Milliseconds(), "again", w.held[t.item.Model])
	if t.item.Adapter != "" {
		if took := now - t.since; w.perAdapter == 0 {
			w.perAdapter = took
		} else {
			w.perAdapter += (took - w.perAdapter) / 4
		}
		return
	}
	if m.SizeMib == 0 {
		return
	}
	seen := &w.perMib
	if w.held[t.item.Model] && w.traits.KeepsOnDisk {
		seen = &w.perMibAgain
	}
	took := float64((now - t.since).Milliseconds()) / float64(m.SizeMib)
	if *seen == 0 {
		*seen = took
	}
	*seen = 0.7**seen + 0.3*took
}

func (w *Ward) stampNow() state.Stamp { return state.Stamp{Epoch: w.epoch, Serial: w.serial} }

// publish tells the news what has changed.
func (w *Ward) publish() {
	if w.epoch == 0 {
		return
	}
	mib, places := w.planned()
	listed := w.listed
	listed.Leaving = w.leaving()
	n := News{Listed: listed, Controller: w.d.Self, Items: map[string]string{}, CapacityMib: w.vitals.CapacityMib,
		FreeMib: w.vitals.CapacityMib - mib, AdapterPlaces: w.vitals.AdapterPlaces, AdapterFree: w.vitals.AdapterPlaces - places,
		Slots: w.vitals.Slots, ServeMs: coarse(int(w.vitals.ServeFor.Milliseconds())), Dark: !w.fresh()}
	for item, l := range w.book {
		n.Items[item.String()] = l.State
	}
	w.etas = w.expect()
	packed := wire.Pack([]any{n, w.etas})
	if w.serial > 0 && bytes.Equal(packed, w.packed) {
		return
	}
	w.serial++
	w.packed = packed
	// Why: whoever reads it counts from when it came, so what is left is told anew with each piece of news.
	n.ReadyMs = map[string]int{}
	for item, at := range w.etas {
		n.ReadyMs[item] = int(max(0, at-w.d.Clock.Since()).Milliseconds())
	}
	w.d.News.Put(news.Entry{Key: Key(w.listed.ID), Stamp: w.stampNow(), Value: wire.Pack(n)})
}

// expect is when each item on its way will probably be there. What was said
// before stands while it is about right, so that it makes no news.
func (w *Ward) expect() map[string]time.Duration {
	out := map[string]time.Duration{}
	models := w.d.Conf().Models
	now, sofar := w.d.Clock.Since(), time.Duration(0)
	for i := range w.tasks.Len() {
		t := w.tasks.At(i)
		if i > 0 {
			sofar += 500 * time.Millisecond
		}
		load := time.Duration(w.taskMs(models[t.item.Model], t.item)) * time.Millisecond
		if t.phase == loaded {
			load = max(load-(now-t.since), 100*time.Millisecond)
		}
		sofar += t.wait + load
		at := now + sofar
		if was, said := w.etas[t.item.String()]; said && at-was < aboutRight && was-at < aboutRight {
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
