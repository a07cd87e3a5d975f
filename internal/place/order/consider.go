package order

import (
	"context"
	"slices"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/penalty"
)

// Consider runs the paper's test for an item on this replica, and takes the
// load on if it passes.
func (w *Ward) Consider(ctx context.Context, q Consider) (Considered, error) {
	var a Considered
	err := w.desk.Ask(ctx, func() {
		// Why: who asked has gone on without the answer, and may have asked another.
		if ctx.Err() != nil {
			return
		}
		a = w.consider(q)
	})
	return a, err
}

func (w *Ward) consider(q Consider) Considered {
	item := conf.ParseItem(q.Item)
	cfg := w.d.Conf()
	model, known := cfg.Models[item.Model]
	_, _, may := w.d.Owner.MayOrder(Key(w.listed.ID))
	switch {
	case !known || item.Adapter != "" && !model.Adapters[item.Adapter]:
		return Considered{Why: "not in the configuration"}
	case !may:
		return Considered{Why: "the hold does not allow orders yet", Soon: true}
	case !w.fresh():
		return Considered{Why: "no fresh report from the replica"}
	case w.leaving():
		return Considered{Why: "the replica is leaving"}
	case w.queued(w.quick(item)) >= w.mostTasks(item):
		return Considered{Why: "enough orders wait already", Soon: true}
	}
	if l := w.book[item]; l != nil && l.State != Leaving && l.State != backend.Unloading {
		return Considered{Taken: true, Why: "on its way or there already", ReadyMs: w.readyMs(model, item)}
	}
	for i := range w.tasks.Len() {
		if w.tasks.At(i).item == item {
			return Considered{Taken: true, Why: "on its way already", ReadyMs: w.readyMs(model, item)}
		}
		if w.tasks.At(i).item.Model == item.Model && !(w.quick(item) && w.quick(w.tasks.At(i).item)) {
			return Considered{Why: "another order about the model waits", Soon: true}
		}
	}
	base := w.book[conf.Item{Model: item.Model}]
	if base != nil && (base.State == Leaving || base.State == backend.Unloading) {
		return Considered{Why: "the model is being unloaded", Soon: true}
	}
	mib, places := w.planned()
	needMib, needPlaces := 0, 0
	added := 0
	if base == nil {
		added += model.SizeMib
	}
	if item.Adapter != "" {
		added += model.AdapterMib
	}
	if added > 0 {
		needMib = mib + added - w.vitals.CapacityMib
		if added > w.vitals.CapacityMib {
			return Considered{Why: "can never hold it"}
		}
	}
	if item.Adapter != "" {
		if w.vitals.AdapterPlaces == 0 {
			return Considered{Why: "no places for adapters"}
		}
		needPlaces = places + 1 - w.vitals.AdapterPlaces
	}
	alone := q.Alone || q.Claim
	out := Considered{Need: needMib, Starts: 1}
	if base == nil && item.Adapter != "" {
		out.Starts = 2
	}
	var victims []conf.Item
	wanted := q.Penalty
	if needMib > 0 {
		order, idle, used := w.idle(cfg, item, false)
		out.IdleModels = idle
		v := penalty.Test(needMib, wanted, cfg.Limits.Csf, alone, order)
		out.Why, out.Sum = v.Why, v.Sum
		if !v.Load {
			out.Soon = soon(needMib, used, order)
			return out
		}
		for _, x := range v.Victims {
			it := conf.ParseItem(x.Item)
			victims = append(victims, it)
			// Why: adapters go with their model, so their places get free too.
			for other := range w.book {
				if other.Model == it.Model && other.Adapter != "" {
					needPlaces--
				}
			}
		}
	}
	if needPlaces > 0 {
		order, idle, used := w.idle(cfg, item, true)
		out.IdleAdapters = idle
		rest := order[:0:0]
		for _, x := range order {
			if !slices.Contains(victims, conf.Item{Model: conf.ParseItem(x.Item).Model}) {
				rest = append(rest, x)
			}
		}
		v := penalty.Test(needPlaces, wanted-out.Sum*cfg.Limits.Csf, cfg.Limits.Csf, alone, rest)
		out.Why = v.Why
		if !v.Load {
			out.Soon = soon(needPlaces, used, rest)
			return out
		}
		out.Sum += v.Sum
		for _, x := range v.Victims {
			victims = append(victims, conf.ParseItem(x.Item))
		}
	}
	if needMib <= 0 && needPlaces <= 0 {
		// Why: nothing has to go, so the sum of penalties is 0 and any demand is above it.
		if !alone && wanted <= 0 {
			out.Why = "no demand is expected"
			return out
		}
		out.Why = "there is room"
	}
	for _, v := range victims {
		out.Victims = append(out.Victims, v.String())
	}
	if q.Dry {
		out.Taken, out.ReadyMs = true, w.readyMs(model, item)
		return out
	}
	t := &task{item: item, victims: victims, since: w.d.Clock.Since(), begun: w.d.Clock.Since(), worth: q.Penalty, cost: time.Duration(q.CostMs) * time.Millisecond}
	// Why: room is kept from this moment, so two loads can never count on the same place.
	if base == nil {
		w.reserve(conf.Item{Model: item.Model}, model.SizeMib)
	}
	if item.Adapter != "" {
		w.reserve(item, model.AdapterMib)
	}
	for _, v := range victims {
		w.withdrawItem(v)
	}
	if !w.keep() {
		w.undo(t)
		out.Why = "the control state did not keep it"
		return out
	}
	w.tasks.PushBack(t)
	w.publish()
	w.soon.Now()
	out.Taken, out.ReadyMs = true, w.readyMs(model, item)
	return out
}

// soon says that the idle items do not make the room, and those in use will.
func soon(need, used int, idle []penalty.Victim) bool {
	for _, v := range idle {
		need -= v.Size
	}
	return need > 0 && need <= used
}
