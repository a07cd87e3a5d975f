package order

import (
	"context"
	"slices"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/penalty"
)

// Consider runs the penalty test of the paper for an item on this replica, and accepts the
// load if the test passes.
func (c *Controller) Consider(ctx context.Context, q ConsiderRequest) (ConsiderResponse, error) {
	var a ConsiderResponse
	err := c.actor.Do(ctx, func() {
		// The caller no longer waits for the answer and may have asked another controller.
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
	_, _, mayOrder := c.d.Owner.MayOrder(Key(c.listed.ID))
	switch {
	case !known || item.Adapter != "" && !model.Adapters[item.Adapter]:
		return ConsiderResponse{Why: "not in the configuration"}
	case !mayOrder:
		return ConsiderResponse{Why: "the hold does not allow orders yet", Temporary: true}
	case !c.reportFresh():
		return ConsiderResponse{Why: "no fresh report from the replica"}
	case c.leaving():
		return ConsiderResponse{Why: "the replica is leaving"}
	case c.queued(c.adapterOnly(item)) >= c.maxTasks(item):
		return ConsiderResponse{Why: "enough orders wait already", Temporary: true}
	}
	if e := c.entries[item]; e != nil && e.State != Withdrawn && e.State != backend.Unloading {
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
	addedMib := 0
	if base == nil {
		addedMib += model.SizeMib
	}
	if item.Adapter != "" {
		addedMib += model.AdapterMib
	}
	if addedMib > 0 {
		needMib = mib + addedMib - c.report.CapacityMib
		if addedMib > c.report.CapacityMib {
			return ConsiderResponse{Why: "can never hold it"}
		}
	}
	if item.Adapter != "" {
		if c.report.AdapterPlaces == 0 {
			return ConsiderResponse{Why: "no places for adapters"}
		}
		needPlaces = places + 1 - c.report.AdapterPlaces
	}
	skipTest := q.SkipTest || q.Claim
	out := ConsiderResponse{NeedMib: needMib, Starts: 1}
	if base == nil && item.Adapter != "" {
		out.Starts = 2
	}
	var victims []conf.Item
	wantedPenalty := q.Penalty
	if needMib > 0 {
		order, idle, usedSize := c.idleItems(cfg, item, false)
		out.IdleModels = idle
		v := penalty.Evaluate(needMib, wantedPenalty, cfg.Limits.Csf, skipTest, order)
		out.Why, out.VictimPenalty = v.Reason, v.VictimPenalty
		if !v.Load {
			out.Temporary = blockedByUse(needMib, usedSize, order)
			return out
		}
		for _, victim := range v.Victims {
			it := conf.ParseItem(victim.Item)
			victims = append(victims, it)
			// Adapters are unloaded with their model, so their places become free too.
			for other := range c.entries {
				if other.Model == it.Model && other.Adapter != "" {
					needPlaces--
				}
			}
		}
	}
	if needPlaces > 0 {
		order, idle, usedSize := c.idleItems(cfg, item, true)
		out.IdleAdapters = idle
		rest := order[:0:0]
		for _, victim := range order {
			if !slices.Contains(victims, conf.Item{Model: conf.ParseItem(victim.Item).Model}) {
				rest = append(rest, victim)
			}
		}
		v := penalty.Evaluate(needPlaces, wantedPenalty-out.VictimPenalty*cfg.Limits.Csf, cfg.Limits.Csf, skipTest, rest)
		out.Why = v.Reason
		if !v.Load {
			out.Temporary = blockedByUse(needPlaces, usedSize, rest)
			return out
		}
		out.VictimPenalty += v.VictimPenalty
		for _, victim := range v.Victims {
			victims = append(victims, conf.ParseItem(victim.Item))
		}
	}
	if needMib <= 0 && needPlaces <= 0 {
		// No victim is required, so the sum of penalties is 0 and any demand exceeds it.
		if !skipTest && wantedPenalty <= 0 {
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
	// Room is reserved from this moment, so that two loads can never count on the same room.
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
	c.wake.Fire()
	out.Accepted, out.ReadyMs = true, c.readyMs(model, item)
	return out
}

// blockedByUse reports whether the idle items do not free enough room, but would together with the items in use.
func blockedByUse(need, used int, idle []penalty.Victim) bool {
	for _, v := range idle {
		need -= v.Size
	}
	return need > 0 && need <= used
}
