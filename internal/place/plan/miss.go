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

// miss prepares a decision about an item that requests wait for.
func (p *Planner) missDecision(cfg conf.Effective, it conf.Item, waiting int, pressed bool, wanted int, views order.Statuses, now time.Duration) (Decision, bool) {
	m, known := cfg.Models[it.Model]
	if !known || !p.ownsItem(it) {
		return Decision{}, false
	}
	i := p.stateOf(it)
	if i == nil || now-i.lastDecided < p.d.Cadence.Again {
		return Decision{}, false
	}
	copies, coming := countCopies(it, views)
	// Why: many misses for one item make one load; the next is thought of when it is there, unless its work is more
	// than all of them will bear.
	if coming && copies >= wanted {
		return Decision{}, false
	}
	minute, _ := p.currentMinuteClock(cfg).Now(p.d.Clock.Wall(), now)
	rule := p.demandParams()
	requests := i.series.PredictHorizon(rule, minute, waiting)
	acc, _ := i.series.Accuracy(rule, minute)
	cheapest := order.CheapestServeTime(views, "", it, p.d.Reports, now, cfg)
	alone := cheapest == 0
	// Why: where proxies go by what controllers tell, a request whose item is there waits no longer; a report that
	// still counts it is from before.
	if !alone && !pressed && copies >= wanted && !p.d.Cadence.ProxiesAsk {
		return Decision{}, false
	}
	// Why: a further copy of what is on its way has to pass the test; only the first is taken without it.
	first := copies == 0
	if alone {
		cheapest = m.LoadFor + m.ServeFor
	}
	d := Decision{At: p.d.Clock.Wall(), Core: p.d.Self, Item: it.String(), Cause: fmt.Sprintf("%d requests wait", waiting), Requests: requests, Accuracy: acc,
		CheapestMs: cheapest.Milliseconds(), Penalty: penalty.Of(requests, cheapest), Csf: cfg.Limits.Csf, NoHolder: first}
	if i.waitingSince >= 0 {
		d.waitedFor = now - i.waitingSince
	}
	// Why: if every miss of an item nobody holds went in without the test, rare items would drive each other
	// and the wanted ones out, faster than the store can bring them back (docs/measurements/replay.md).
	// While the store has time to spare they cannot, and whoever asks would be turned away for nothing. A keeper
	// that has not been heard of counts as busy.
	spare := now-p.paceUseAt < paceUseTTL && p.paceUse < cfg.Limits.PassSlack
	d.BypassTest = first && (spare || now-i.lastBypass >= cfg.Limits.PassEvery)
	d.selector = labels.Everything()
	return d, true
}

// copiesOf counts the replicas that hold an item or will; coming says that one of them does not hold it yet.
func countCopies(it conf.Item, views order.Statuses) (copies int, coming bool) {
	name := it.String()
	for _, i := range views.WithItem(name) {
		v := &views.All[i]
		if v.Stale || v.Listed.Leaving {
			continue
		}
		switch v.Items[name] {
		case order.Reserved, backend.Loading:
			coming = true
			copies++
		case backend.Loaded:
			copies++
		}
	}
	return copies, coming
}

func (p *Planner) rankCandidates(cfg conf.Effective, it conf.Item, m conf.Model, views order.Statuses, now time.Duration, in labels.Selector) []judge.Ranked {
	zones := map[string]int{}
	name := it.String()
	for _, i := range views.WithItem(name) {
		if v := &views.All[i]; v.Items[name] == backend.Loaded {
			zones[v.Listed.Zone]++
		}
	}
	var facts []judge.Candidate
	for _, v := range views.All {
		if !v.Listed.Model || v.Stale || v.Items[name] != "" || !cfg.Allowed(it.Model, v.Listed.Labels) || !in.Matches(labels.Set(v.Listed.Labels)) {
			continue
		}
		need := m.SizeMib
		if v.Items[it.Model] != "" {
			need = 0
		}
		facts = append(facts, judge.Candidate{Name: v.Listed.ID, Inflight: p.d.Reports.InflightOn(v.Listed.ID, now), Slots: v.Slots,
			ServeTime: time.Duration(v.ServeMs) * time.Millisecond, Leaving: v.Listed.Leaving, FreeMib: v.FreeMib, NeedMib: need,
			Fits: m.SizeMib <= v.CapacityMib && (it.Adapter == "" || v.AdapterPlaces > 0), AdFree: v.AdapterFree, Copies: zones[v.Listed.Zone]})
	}
	ranked := judge.RankForLoad(cfg.Weights, facts)
	// Why: a replica carries out one order at a time, and only the first candidates are asked.
	before := pendingLoads(views)
	slices.SortStableFunc(ranked, func(a, b judge.Ranked) int { return queuedLoads(a, before) - queuedLoads(b, before) })
	if it.Adapter != "" {
		// Why: an adapter goes in with one start of the store where its model is, and with two elsewhere; the store is
		// what everybody waits for.
		has := map[string]bool{}
		for _, v := range views.All {
			has[v.Listed.ID] = v.Items[it.Model] == backend.Loaded
		}
		slices.SortStableFunc(ranked, func(a, b judge.Ranked) int { return adapterStarts(a, has) - adapterStarts(b, has) })
	}
	return ranked
}

// pending is how many loads of models each replica has before it.
func pendingLoads(views order.Statuses) map[string]int {
	out := map[string]int{}
	for _, v := range views.All {
		for item, state := range v.Items {
			if (state == order.Reserved || state == backend.Loading) && conf.ParseItem(item).Adapter == "" {
				out[v.Listed.ID]++
			}
		}
	}
	return out
}

// queuedFor is how many loads a candidate has before it; a vetoed one comes last.
func queuedLoads(r judge.Ranked, pending map[string]int) int {
	if r.Vetoed {
		return math.MaxInt32
	}
	return pending[r.Name]
}

// starts is how many loads an adapter takes on a replica; a vetoed one comes last.
func adapterStarts(r judge.Ranked, has map[string]bool) int {
	switch {
	case r.Vetoed:
		return 3
	case has[r.Name]:
		return 1
	}
	return 2
}
