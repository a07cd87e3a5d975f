package order

import (
	"bytes"
	"time"

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

func (w *Ward) readyMs(m conf.Model, name string) int {
	ms := w.loadMs(m, name)
	return ms + 1500 + w.tasks.Len()*int(m.LoadFor.Milliseconds())
}

func (w *Ward) learn(t *task, now time.Duration) {
	m := w.d.Conf().Models[t.item.Model]
	w.d.Log.Info("loaded", "replica", w.listed.ID, "item", t.item.String(), "tookMs", (now - t.since).Milliseconds(), "again", w.held[t.item.Model])
	if t.item.Adapter != "" || m.SizeMib == 0 {
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
		load := time.Duration(w.loadMs(models[t.item.Model], t.item.Model)) * time.Millisecond
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
