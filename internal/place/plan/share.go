package plan

import (
	"context"
	"sync"

	"drumstall.example/internal/kernel/run"
)

// Requests is the predicted requests of an item over the horizon, by whichever
// core predicts it.
func (p *Planner) Requests(it string) float64 { return p.shared.get(it) }

// share predicts for our items and tells the other cores.
func (p *Planner) share(ctx context.Context) {
	s := Shared{From: p.d.Self, Next: map[string]float64{}}
	if use, err := run.AskFor(ctx, p.paceActor, p.useNow); err == nil && use >= 0 {
		s.Keeps, s.Use = true, use
	}
	err := p.actor.Ask(ctx, func() {
		now := p.d.Clock.Since()
		minute, _ := p.clock(p.d.Conf()).Now(p.d.Clock.Wall(), now)
		rule := p.rule()
		waiting := p.d.Reports.Waiting(now)
		for it, i := range p.items {
			if p.holds(it) {
				s.Next[it.String()] = i.series.PredictHorizon(rule, minute, waiting[it])
			}
		}
		p.lay(s)
	})
	if err == nil && (len(s.Next) > 0 || s.Keeps) {
		p.d.Tell(ctx, s)
	}
}

// Shared takes another core's predictions.
func (p *Planner) Shared(ctx context.Context, s Shared) error {
	return p.actor.Ask(ctx, func() { p.lay(s) })
}

func (p *Planner) lay(s Shared) {
	if s.Keeps {
		p.use, p.usedAt = s.Use, p.d.Clock.Since()
	}
	p.shared.lay(s.Next)
}

// predictions are the requests of each item that cores have predicted last. Its methods may be called from anywhere.
type predictions struct {
	mu sync.RWMutex
	of map[string]float64
}

// get is the prediction for an item.
func (p *predictions) get(it string) float64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.of[it]
}

// lay takes newer predictions over those before.
func (p *predictions) lay(next map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of == nil {
		p.of = map[string]float64{}
	}
	for it, n := range next {
		if _, known := p.of[it]; known || len(p.of) < maxItems {
			p.of[it] = n
		}
	}
}
