package order

import (
	"sort"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/penalty"
	"drumstall.example/internal/place/report"
)

// idleItems ranks the possible victims: items that are loaded, without requests in flight or waiting,
// and not pinned by a claim. used is the total size of the items that only fail to qualify because they are in use.
func (c *Controller) idleItems(cfg conf.Effective, wanted conf.Item, adapters bool) (order []penalty.Victim, list []judge.IdleItem, used int) {
	now := c.d.Clock.Since()
	others := c.d.Statuses()
	facts := map[string]judge.IdleItem{}
	for item, e := range c.entries {
		if (item.Adapter != "") != adapters || e.State != backend.Loaded || item.Model == wanted.Model && !adapters || item == wanted {
			continue
		}
		if c.pinnedByClaim(cfg, item, others) {
			continue
		}
		waiting, contended := c.d.Reports.WaitingAndContended(item, now)
		busy, adapterCount := e.inflight > 0 || c.d.Reports.Inflight(c.listed.ID, item.String(), now) > 0 || waiting > 0, 0
		// A copy of a contended item and an item that was just loaded are about to be used; unloading them would
		// cost a second load from the store.
		busy = busy || contended >= minContendedRequests || e.awaitsFirstUse(now)
		itemPenalty, pinned := c.penaltyOf(cfg, item, others, now), false
		if !adapters {
			for other, o := range c.entries {
				if other.Model != item.Model || other.Adapter == "" {
					continue
				}
				adapterCount++
				itemPenalty += c.penaltyOf(cfg, other, others, now)
				// A model is in use while any adapter on it is, and can be unloaded only if all its adapters can be.
				waiting, _ := c.d.Reports.WaitingAndContended(other, now)
				busy = busy || waiting > 0 || o.State != backend.Loaded || o.inflight > 0
				pinned = pinned || c.pinnedByClaim(cfg, other, others)
			}
		}
		size := e.SizeMib
		if adapters {
			size = 1
		}
		if pinned {
			continue
		}
		if busy {
			used += size
			continue
		}
		f := judge.IdleItem{Name: item.String(), SizeMib: size, Penalty: itemPenalty, IdleFor: now - e.lastUsed, Copies: countCopies(others, c.listed.ID, item), Adapters: adapterCount}
		list = append(list, f)
		facts[f.Name] = f
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	for _, r := range judge.RankVictims(cfg.Weights, list) {
		order = append(order, penalty.Victim{Item: r.Name, Size: facts[r.Name].SizeMib, Penalty: facts[r.Name].Penalty})
	}
	return order, list, used
}

const (
	// minContendedRequests is how many recent requests for an item must have gone to crowded replicas for its copies to count as in use.
	minContendedRequests = 4
	// firstUseGrace is how long an item that was just loaded counts as in use before its first request.
	firstUseGrace = time.Second
)

// awaitsFirstUse reports whether an item was just loaded and has not been used since.
func (e *entry) awaitsFirstUse(now time.Duration) bool {
	return e.loadedAt > 0 && e.lastUsed <= e.loadedAt && now-e.loadedAt < firstUseGrace
}

// countCopies returns the number of replicas, except one, that serve an item.
func countCopies(others Statuses, except string, item conf.Item) int {
	n := 0
	for range others.holders(item.String(), except) {
		n++
	}
	return n
}

// penaltyOf returns the cost of not holding an item here: its predicted requests times the time
// to serve one at the cheapest other replica that holds it. Without such a replica it is the time to load
// the item again and serve the request, which is an addition of this project to the paper.
func (c *Controller) penaltyOf(cfg conf.Effective, item conf.Item, others Statuses, now time.Duration) float64 {
	cheapest := CheapestServeTime(others, c.listed.ID, item, c.d.Reports, now, cfg)
	if cheapest == 0 {
		m := cfg.Models[item.Model]
		cheapest = m.ExpectedLoadTime + m.ExpectedServeTime
	}
	return penalty.Of(c.d.PredictedRequests(item.String()), cheapest)
}

// CheapestServeTime returns the predicted time to serve a request at the cheapest replica, except one, that
// holds an item, or 0 if there is none.
func CheapestServeTime(others Statuses, except string, item conf.Item, reports *report.Table, now time.Duration, cfg conf.Effective) time.Duration {
	var best time.Duration
	for o := range others.holders(item.String(), except) {
		serve := time.Duration(o.ServeMs) * time.Millisecond
		if serve == 0 {
			serve = cfg.Models[item.Model].ExpectedServeTime
		}
		// Requests in flight at a replica make the next one wait for a slot.
		busy := float64(reports.InflightOn(o.Listed.ID, now)) / float64(max(o.Slots, 1))
		if t := time.Duration(float64(serve) * (1 + busy)); best == 0 || t < best {
			best = max(t, time.Millisecond)
		}
	}
	return best
}

// pinnedByClaim reports whether a placement claim would lack copies if the item were unloaded here.
func (c *Controller) pinnedByClaim(cfg conf.Effective, item conf.Item, others Statuses) bool {
	for _, want := range cfg.RequiredCopies() {
		if !item.Covers(want.Item) || !want.Group.Matches(labels.Set(c.listed.Labels)) {
			continue
		}
		n := 0
		for o := range others.holders(want.Item.String(), c.listed.ID) {
			if want.Group.Matches(labels.Set(o.Listed.Labels)) {
				n++
			}
		}
		if n < want.Copies {
			return true
		}
	}
	return false
}
