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

// idle ranks the items that may go: loaded, nobody using or waiting for them,
// not pinned by a claim; and sums up those that may but for being used.
func (c *Controller) idleItems(cfg conf.Effective, wanted conf.Item, adapters bool) (order []penalty.Victim, list []judge.IdleItem, used int) {
	now := c.d.Clock.Since()
	others := c.d.Others()
	facts := map[string]judge.IdleItem{}
	for item, l := range c.entries {
		if (item.Adapter != "") != adapters || l.State != backend.Loaded || item.Model == wanted.Model && !adapters || item == wanted {
			continue
		}
		if c.pinnedByClaim(cfg, item, others) {
			continue
		}
		waiting, pressed := c.d.Reports.Demand(item, now)
		busy, kids := l.inflight > 0 || c.d.Reports.Inflight(c.listed.ID, item.String(), now) > 0 || waiting > 0, 0
		// Why: a copy of what many press for, and what has only just come, are about to be used; to let go of them takes
		// the store's time twice.
		busy = busy || pressed >= minContendedRequests || l.awaitsFirstUse(now)
		pen, stays := c.penaltyOf(cfg, item, others, now), false
		if !adapters {
			for other, o := range c.entries {
				if other.Model != item.Model || other.Adapter == "" {
					continue
				}
				kids++
				pen += c.penaltyOf(cfg, other, others, now)
				// Why: a model is in use as long as any adapter on it is, and moves only when it can go too.
				waiting, _ := c.d.Reports.Demand(other, now)
				busy = busy || waiting > 0 || o.State != backend.Loaded || o.inflight > 0
				stays = stays || c.pinnedByClaim(cfg, other, others)
			}
		}
		size := l.SizeMib
		if adapters {
			size = 1
		}
		if stays {
			continue
		}
		if busy {
			used += size
			continue
		}
		f := judge.IdleItem{Name: item.String(), SizeMib: size, Penalty: pen, IdleFor: now - l.lastUsed, Copies: countCopies(others, c.listed.ID, item), Adapters: kids}
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
	// pressedFew is how many answers of an item must have been held up lately for its copies to count as in use.
	minContendedRequests = 4
	// awaitedFor is how long what was just loaded counts as in use before its first request.
	firstUseGrace = time.Second
)

// awaited says that an item has only just been loaded, and that nobody has used it yet.
func (l *entry) awaitsFirstUse(now time.Duration) bool {
	return l.loadedAt > 0 && l.lastUsed <= l.loadedAt && now-l.loadedAt < firstUseGrace
}

func countCopies(others Statuses, not string, item conf.Item) int {
	n := 0
	for range others.holders(item.String(), not) {
		n++
	}
	return n
}

// penaltyOf is what it would cost not to hold an item here: its predicted
// requests times the time to serve one from the cheapest other holder, or,
// where there is none, the time to load it again and serve it (ours).
func (c *Controller) penaltyOf(cfg conf.Effective, item conf.Item, others Statuses, now time.Duration) float64 {
	cheapest := CheapestServeTime(others, c.listed.ID, item, c.d.Reports, now, cfg)
	if cheapest == 0 {
		m := cfg.Models[item.Model]
		cheapest = m.LoadFor + m.ServeFor
	}
	return penalty.Of(c.d.PredictedRequests(item.String()), cheapest)
}

// Cheapest is the predicted time to serve from the cheapest holder other than
// not, or 0 when there is none.
func CheapestServeTime(others Statuses, not string, item conf.Item, reports *report.Table, now time.Duration, cfg conf.Effective) time.Duration {
	var best time.Duration
	for o := range others.holders(item.String(), not) {
		serve := time.Duration(o.ServeMs) * time.Millisecond
		if serve == 0 {
			serve = cfg.Models[item.Model].ServeFor
		}
		// Why: requests already there make the next one wait for a place.
		busy := float64(reports.InflightOn(o.Listed.ID, now)) / float64(max(o.Slots, 1))
		if t := time.Duration(float64(serve) * (1 + busy)); best == 0 || t < best {
			best = max(t, time.Millisecond)
		}
	}
	return best
}

func (c *Controller) pinnedByClaim(cfg conf.Effective, item conf.Item, others Statuses) bool {
	for _, want := range cfg.Claimed() {
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
