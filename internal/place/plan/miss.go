package plan

import (
	"fmt"
	"math"
	"slices"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/penalty"
)

// missDecision prepares a decision about an item that requests wait for and reports whether one is due.
func (p *Planner) missDecision(cfg conf.Effective, it conf.Item, waiting int, delayed bool, copiesWanted int, statuses order.Statuses, now time.Duration) (Decision, bool) {
	m, known := cfg.Models[it.Model]
	if !known || !p.ownsItem(it) {
		return Decision{}, false
	}
	entry := p.stateOf(it)
	if entry == nil || now-entry.lastDecided < p.d.Cadence.DecisionInterval {
		return Decision{}, false
	}
	copies, loading := countCopies(it, statuses)
	// Many misses for one item result in one load. A further copy is considered once that load is done, unless the
	// item's work exceeds what all copies, including the loading ones, can serve.
	if loading && copies >= copiesWanted {
		return Decision{}, false
	}
	minute, _ := p.currentMinuteClock(cfg).Now(p.d.Clock.Wall(), now)
	params := p.demandParams()
	requests := entry.series.PredictHorizon(params, minute, waiting)
	acc, _ := entry.series.Accuracy(params, minute)
	cheapest := order.CheapestServeTime(statuses, "", it, p.d.Reports, now, cfg)
	noHolder := cheapest == 0
	// Where proxies follow the status published by controllers, requests for an item that is loaded no longer wait; a
	// report that still counts them is stale.
	if !noHolder && !delayed && copies >= copiesWanted && !p.d.Cadence.ProxiesPoll {
		return Decision{}, false
	}
	// Only the first copy may be loaded without the eviction test; a copy that is still loading counts as the first.
	noCopy := copies == 0
	if noHolder {
		cheapest = m.ExpectedLoadTime + m.ExpectedServeTime
	}
	d := Decision{At: p.d.Clock.Wall(), Core: p.d.Self, Item: it.String(), Cause: fmt.Sprintf("%d requests wait", waiting), Requests: requests, Accuracy: acc,
		CheapestMs: cheapest.Milliseconds(), Penalty: penalty.Of(requests, cheapest), Csf: cfg.Limits.Csf, NoHolder: noCopy}
	if entry.waitingSince >= 0 {
		d.waitedFor = now - entry.waitingSince
	}
	// If every miss of an item without a holder bypassed the eviction test, rarely used items would evict each other
	// and frequently used ones faster than the weight store can reload them (docs/measurements/replay.md). While
	// the store has spare capacity this cannot happen, and requests would be refused needlessly. Without recent
	// information from the core that limits the store's load rate, the store counts as busy.
	spare := now-p.paceUseAt < paceUseTTL && p.paceUse < cfg.Limits.CsfBypassPaceShare
	d.BypassTest = noCopy && (spare || now-entry.lastBypass >= cfg.Limits.CsfBypassInterval)
	d.selector = labels.Everything()
	return d, true
}

// countCopies returns the number of replicas that hold or are loading an item; loading reports whether any of them does not
// hold it yet.
func countCopies(it conf.Item, statuses order.Statuses) (copies int, loading bool) {
	name := it.String()
	for _, i := range statuses.WithItem(name) {
		v := &statuses.All[i]
		if v.Stale || v.Listed.Leaving {
			continue
		}
		switch v.Items[name] {
		case order.Reserved, backend.Loading:
			loading = true
			copies++
		case backend.Loaded:
			copies++
		}
	}
	return copies, loading
}

// rankCandidates ranks the replicas selected by selector that could load an item, best first.
func (p *Planner) rankCandidates(cfg conf.Effective, it conf.Item, m conf.Model, statuses order.Statuses, now time.Duration, selector labels.Selector) []judge.Ranked {
	zones := map[string]int{}
	name := it.String()
	for _, i := range statuses.WithItem(name) {
		if v := &statuses.All[i]; v.Items[name] == backend.Loaded {
			zones[v.Listed.Zone]++
		}
	}
	var candidates []judge.Candidate
	for _, v := range statuses.All {
		if !v.Listed.Model || v.Stale || v.Items[name] != "" || !cfg.Allowed(it.Model, v.Listed.Labels) || !selector.Matches(labels.Set(v.Listed.Labels)) {
			continue
		}
		need := m.SizeMib
		if v.Items[it.Model] != "" {
			need = 0
		}
		candidates = append(candidates, judge.Candidate{Name: v.Listed.ID, Inflight: p.d.Reports.InflightOn(v.Listed.ID, now), Slots: v.Slots,
			ServeTime: time.Duration(v.ServeMs) * time.Millisecond, Leaving: v.Listed.Leaving, FreeMib: v.FreeMib, NeedMib: need,
			Fits: m.SizeMib <= v.CapacityMib && (it.Adapter == "" || v.AdapterPlaces > 0), FreeAdapterPlaces: v.AdapterFree, Copies: zones[v.Listed.Zone]})
	}
	ranked := judge.RankForLoad(cfg.Weights, candidates)
	// A replica executes one order at a time and only the first candidates are asked, so replicas with fewer pending loads
	// come first.
	pending := pendingLoads(statuses)
	slices.SortStableFunc(ranked, func(a, b judge.Ranked) int { return queuedLoads(a, pending) - queuedLoads(b, pending) })
	if it.Adapter != "" {
		// An adapter takes one load from the weight store where its model is loaded and two elsewhere; the store is the
		// bottleneck.
		hasModel := map[string]bool{}
		for _, v := range statuses.All {
			hasModel[v.Listed.ID] = v.Items[it.Model] == backend.Loaded
		}
		slices.SortStableFunc(ranked, func(a, b judge.Ranked) int { return adapterStarts(a, hasModel) - adapterStarts(b, hasModel) })
	}
	return ranked
}

// pendingLoads returns the number of pending model loads of each replica.
func pendingLoads(statuses order.Statuses) map[string]int {
	out := map[string]int{}
	for _, v := range statuses.All {
		for item, state := range v.Items {
			if (state == order.Reserved || state == backend.Loading) && conf.ParseItem(item).Adapter == "" {
				out[v.Listed.ID]++
			}
		}
	}
	return out
}

// queuedLoads is the sort key of a candidate by its pending loads; vetoed ones come last.
func queuedLoads(r judge.Ranked, pending map[string]int) int {
	if r.Vetoed {
		return math.MaxInt32
	}
	return pending[r.Name]
}

// adapterStarts is the sort key of a candidate by the loads that an adapter takes there; vetoed ones come last.
func adapterStarts(r judge.Ranked, hasModel map[string]bool) int {
	switch {
	case r.Vetoed:
		return 3
	case hasModel[r.Name]:
		return 1
	}
	return 2
}
