package plan

import (
	"context"
	"sync"

	"drumstall.example/internal/kernel/run"
)

// Requests is the predicted requests of an item over the horizon, by whichever
// core predicts it.
func (p *Planner) PredictedRequests(it string) float64 { return p.predictions.get(it) }

// share predicts for our items and tells the other cores.
func (p *Planner) sharePredictions(ctx context.Context) {
	s := SharedPredictions{From: p.d.Self, Requests: map[string]float64{}}
	if use, err := run.AskFor(ctx, p.paceActor, p.currentPaceUse); err == nil && use >= 0 {
		s.GrantsLoads, s.PaceUse = true, use
	}
	err := p.actor.Ask(ctx, func() {
		now := p.d.Clock.Since()
		minute, _ := p.currentMinuteClock(p.d.Conf()).Now(p.d.Clock.Wall(), now)
		rule := p.demandParams()
		waiting := p.d.Reports.Waiting(now)
		for it, i := range p.items {
			if p.ownsItem(it) {
				s.Requests[it.String()] = i.series.PredictHorizon(rule, minute, waiting[it])
			}
		}
		p.mergeShared(s)
	})
	if err == nil && (len(s.Requests) > 0 || s.GrantsLoads) {
		p.d.Tell(ctx, s)
	}
}

// Shared takes another core's predictions.
func (p *Planner) MergePredictions(ctx context.Context, s SharedPredictions) error {
	return p.actor.Ask(ctx, func() { p.mergeShared(s) })
}

func (p *Planner) mergeShared(s SharedPredictions) {
	if s.GrantsLoads {
		p.paceUse, p.paceUseAt = s.PaceUse, p.d.Clock.Since()
	}
	p.predictions.merge(s.Requests)
}

// predictions are the requests of each item that cores have predicted last. Its methods may be called from anywhere.
type predictionTable struct {
	mu     sync.RWMutex
	byItem map[string]float64
}

// get is the prediction for an item.
func (p *predictionTable) get(it string) float64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byItem[it]
}

// lay takes newer predictions over those before.
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
