package plan

import (
	"context"
	"sync"

	"drumstall.example/internal/kernel/run"
)

// PredictedRequests returns the requests predicted for an item over the horizon,
// by this core or another.
func (p *Planner) PredictedRequests(it string) float64 { return p.predictions.get(it) }

// sharePredictions predicts the requests for the items of this core and sends them to the other cores.
func (p *Planner) sharePredictions(ctx context.Context) {
	s := SharedPredictions{From: p.d.Self, Requests: map[string]float64{}}
	if use, err := run.Call(ctx, p.paceActor, p.currentPaceUse); err == nil && use >= 0 {
		s.GrantsLoads, s.PaceUse = true, use
	}
	err := p.actor.Do(ctx, func() {
		now := p.d.Clock.Since()
		minute, _ := p.currentMinuteClock(p.d.Conf()).Now(p.d.Clock.Wall(), now)
		params := p.demandParams()
		waiting := p.d.Reports.Waiting(now)
		for it, entry := range p.items {
			if p.ownsItem(it) {
				s.Requests[it.String()] = entry.series.PredictHorizon(params, minute, waiting[it])
			}
		}
		p.mergeShared(s)
	})
	if err == nil && (len(s.Requests) > 0 || s.GrantsLoads) {
		p.d.SharePredictions(ctx, s)
	}
}

// MergePredictions applies the predictions of another core.
func (p *Planner) MergePredictions(ctx context.Context, s SharedPredictions) error {
	return p.actor.Do(ctx, func() { p.mergeShared(s) })
}

// mergeShared applies the predictions of a core, this one included.
func (p *Planner) mergeShared(s SharedPredictions) {
	if s.GrantsLoads {
		p.paceUse, p.paceUseAt = s.PaceUse, p.d.Clock.Since()
	}
	p.predictions.merge(s.Requests)
}

// predictionTable holds the last predicted requests of each item, by any core. Its methods are safe for concurrent use.
type predictionTable struct {
	mu     sync.RWMutex
	byItem map[string]float64
}

// get returns the prediction for an item.
func (p *predictionTable) get(it string) float64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byItem[it]
}

// merge replaces predictions by newer ones; new items are dropped beyond maxItems.
func (p *predictionTable) merge(next map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byItem == nil {
		p.byItem = map[string]float64{}
	}
	for it, n := range next {
		if _, known := p.byItem[it]; known || len(p.byItem) < maxItems {
			p.byItem[it] = n
		}
	}
}
