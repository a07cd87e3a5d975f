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
func (c *Controller) Consider(ctx context.Context, q ConsiderRequest) (ConsiderResponse, error) {
	var a ConsiderResponse
	err := c.actor.Ask(ctx, func() {
		// Why: who asked has gone on without the answer, and may have asked another.
		if ctx.Err() != nil {
			return
		}
		a = c.consider(q)
	})
	return a, err
}

func (c *Controller) consider(q ConsiderRequest) ConsiderResponse {
	item := conf.ParseItem(q.Item)
	cfg := c.d.Conf()
	model, known := cfg.Models[item.Model]
	_, _, may := c.d.Owner.MayOrder(Key(c.listed.ID))
	switch {
	case !known || item.Adapter != "" && !model.Adapters[item.Adapter]:
		return ConsiderResponse{Why: "not in the configuration"}
	case !may:
		return ConsiderResponse{Why: "the hold does not allow orders yet", Temporary: true}
	case !c.reportFresh():
		return ConsiderResponse{Why: "no fresh report from the replica"}
	case c.leaving():
		return ConsiderResponse{Why: "the replica is leaving"}
	case c.queued(c.adapterOnly(item)) >= c.maxTasks(item):
		return ConsiderResponse{Why: "enough orders wait already", Temporary: true}
	}
	if l := c.entries[item]; l != nil && l.State != Withdrawn && l.State != backend.Unloading {
		return ConsiderResponse{Accepted: true, Why: "on its way or there already", ReadyMs: c.readyMs(model, item)}
	}
	for i := range c.tasks.Len() {
		if c.tasks.At(i).item == item {
			return ConsiderResponse{Accepted: true, Why: "on its way already", ReadyMs: c.readyMs(model, item)}
		}
		if c.tasks.At(i).item.Model == item.Model && !(c.adapterOnly(item) && c.adapterOnly(c.tasks.At(i).item)) {
			return ConsiderResponse{Why: "another order about the model waits", Temporary: true}
		}
	}
	base := c.entries[conf.Item{Model: item.Model}]
	if base != nil && (base.State == Withdrawn || base.State == backend.Unloading) {
		return ConsiderResponse{Why: "the model is being unloaded", Temporary: true}
	}
	mib, places := c.plannedUse()
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
			return ConsiderResponse{Why: "can never hold it"}
		}
	}
	if item.Adapter != "" {
		if c.report.AdapterPlaces == 0 {
			return ConsiderResponse{Why: "no places for adapters"}
		}
		needPlaces = places + 1 - c.report.AdapterPlaces
	}
	alone := q.SkipTest || q.Claim
	out := ConsiderResponse{NeedMib: needMib, Starts: 1}
	if base == nil && item.Adapter != "" {
		out.Starts = 2
	}
	var victims []conf.Item
	wanted := q.Penalty
	if needMib > 0 {
		order, idle, used := c.idleItems(cfg, item, false)
		out.IdleModels = idle
		v := penalty.Evaluate(needMib, wanted, cfg.Limits.Csf, alone, order)
		out.Why, out.VictimPenalty = v.Reason, v.Sum
		if !v.Load {
			out.Temporary = blockedByUse(needMib, used, order)
			return out
		}
		for _, x := range v.Victims {
			it := conf.ParseItem(x.Item)
			victims = append(victims, it)
			// Why: adapters go with their model, so their places get free too.
			for other := range c.entries {
				if other.Model == it.Model && other.Adapter != "" {
					needPlaces--
				}
			}
		}
	}
	if needPlaces > 0 {
		order, idle, used := c.idleItems(cfg, item, true)
		out.IdleAdapters = idle
		rest := order[:0:0]
		for _, x := range order {
			if !slices.Contains(victims, conf.Item{Model: conf.ParseItem(x.Item).Model}) {
				rest = append(rest, x)
			}
		}
		v := penalty.Evaluate(needPlaces, wanted-out.VictimPenalty*cfg.Limits.Csf, cfg.Limits.Csf, alone, rest)
		out.Why = v.Reason
		if !v.Load {
			out.Temporary = blockedByUse(needPlaces, used, rest)
			return out
		}
		out.VictimPenalty += v.Sum
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
	if q.DryRun {
		out.Accepted, out.ReadyMs = true, c.readyMs(model, item)
		return out
	}
	t := &task{item: item, victims: victims, phaseSince: c.d.Clock.Since(), acceptedAt: c.d.Clock.Since(), penalty: q.Penalty, requestCost: time.Duration(q.CostMs) * time.Millisecond}
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
	if !c.persist() {
		c.rollBack(t)
		out.Why = "the control state did not keep it"
		return out
	}
	c.tasks.PushBack(t)
	c.publish()
	c.wake.Now()
	out.Accepted, out.ReadyMs = true, c.readyMs(model, item)
	return out
}

// soon says that the idle items do not make the room, and those in use will.
func blockedByUse(need, used int, idle []penalty.Victim) bool {
	for _, v := range idle {
		need -= v.Size
	}
	return need > 0 && need <= used
}
