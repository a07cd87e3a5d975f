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
func (c *Controller) Consider(ctx context.Context, q Consider) (Considered, error) {
	var a Considered
	err := c.actor.Ask(ctx, func() {
		// Why: who asked has gone on without the answer, and may have asked another.
		if ctx.Err() != nil {
			return
		}
		a = c.consider(q)
	})
	return a, err
}

func (c *Controller) consider(q Consider) Considered {
	item := conf.ParseItem(q.Item)
	cfg := c.d.Conf()
	model, known := cfg.Models[item.Model]
	_, _, may := c.d.Owner.MayOrder(Key(c.listed.ID))
	switch {
	case !known || item.Adapter != "" && !model.Adapters[item.Adapter]:
		return Considered{Why: "not in the configuration"}
	case !may:
		return Considered{Why: "the hold does not allow orders yet", Soon: true}
	case !c.fresh():
		return Considered{Why: "no fresh report from the replica"}
	case c.leaving():
		return Considered{Why: "the replica is leaving"}
	case c.queued(c.quick(item)) >= c.mostTasks(item):
		return Considered{Why: "enough orders wait already", Soon: true}
	}
	if l := c.book[item]; l != nil && l.State != Leaving && l.State != backend.Unloading {
		return Considered{Taken: true, Why: "on its way or there already", ReadyMs: c.readyMs(model, item)}
	}
	for i := range c.tasks.Len() {
		if c.tasks.At(i).item == item {
			return Considered{Taken: true, Why: "on its way already", ReadyMs: c.readyMs(model, item)}
		}
		if c.tasks.At(i).item.Model == item.Model && !(c.quick(item) && c.quick(c.tasks.At(i).item)) {
			return Considered{Why: "another order about the model waits", Soon: true}
		}
	}
	base := c.book[conf.Item{Model: item.Model}]
	if base != nil && (base.State == Leaving || base.State == backend.Unloading) {
		return Considered{Why: "the model is being unloaded", Soon: true}
	}
	mib, places := c.planned()
	needMib, needPlaces := 0, 0
	added := 0
	if base == nil {
		added += model.SizeMib
	}
	if item.Adapter != "" {
		added += model.AdapterMib
	}
	if added > 0 {
		needMib = mib + added - c.report.CapacityMib
		if added > c.report.CapacityMib {
			return Considered{Why: "can never hold it"}
		}
	}
	if item.Adapter != "" {
		if c.report.AdapterPlaces == 0 {
			return Considered{Why: "no places for adapters"}
		}
		needPlaces = places + 1 - c.report.AdapterPlaces
	}
	alone := q.Alone || q.Claim
	out := Considered{Need: needMib, Starts: 1}
	if base == nil && item.Adapter != "" {
		out.Starts = 2
	}
	var victims []conf.Item
	wanted := q.Penalty
	if needMib > 0 {
		order, idle, used := c.idle(cfg, item, false)
		out.IdleModels = idle
		v := penalty.Evaluate(needMib, wanted, cfg.Limits.Csf, alone, order)
		out.Why, out.Sum = v.Reason, v.Sum
		if !v.Load {
			out.Soon = soon(needMib, used, order)
			return out
		}
		for _, x := range v.Victims {
			it := conf.ParseItem(x.Item)
			victims = append(victims, it)
			// Why: adapters go with their model, so their places get free too.
			for other := range c.book {
				if other.Model == it.Model && other.Adapter != "" {
					needPlaces--
				}
			}
		}
	}
	if needPlaces > 0 {
		order, idle, used := c.idle(cfg, item, true)
		out.IdleAdapters = idle
		rest := order[:0:0]
		for _, x := range order {
			if !slices.Contains(victims, conf.Item{Model: conf.ParseItem(x.Item).Model}) {
				rest = append(rest, x)
			}
		}
		v := penalty.Evaluate(needPlaces, wanted-out.Sum*cfg.Limits.Csf, cfg.Limits.Csf, alone, rest)
		out.Why = v.Reason
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
		out.Taken, out.ReadyMs = true, c.readyMs(model, item)
		return out
	}
	t := &task{item: item, victims: victims, since: c.d.Clock.Since(), begun: c.d.Clock.Since(), worth: q.Penalty, cost: time.Duration(q.CostMs) * time.Millisecond}
	// Why: room is kept from this moment, so two loads can never count on the same place.
	if base == nil {
		c.reserve(conf.Item{Model: item.Model}, model.SizeMib)
	}
	if item.Adapter != "" {
		c.reserve(item, model.AdapterMib)
	}
	for _, v := range victims {
		c.withdrawItem(v)
	}
	if !c.keep() {
		c.undo(t)
		out.Why = "the control state did not keep it"
		return out
	}
	c.tasks.PushBack(t)
	c.publish()
	c.soon.Now()
	out.Taken, out.ReadyMs = true, c.readyMs(model, item)
	return out
}

// soon says that the idle items do not make the room, and those in use will.
func soon(need, used int, idle []penalty.Victim) bool {
	for _, v := range idle {
		need -= v.Size
	}
	return need > 0 && need <= used
}
