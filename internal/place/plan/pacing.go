package plan

import (
	"context"
	"time"

	"drumstall.example/internal/place/pace"
)

// Grant allows a load start within the store's pace; only the owner of the
// pace may.
func (p *Planner) Grant(ctx context.Context, q Granting) (Granted, error) {
	var g Granted
	err := p.paceDesk.Ask(ctx, func() {
		epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
		if !p.d.Owner.Holds(PaceKey) {
			return
		}
		now := p.d.Clock.Since()
		p.keeperFor(epoch, now)
		if q.Afloat {
			p.pacer.keeper.Afloat(now, q.Who)
			return
		}
		wait, ok := p.pacer.keeper.Grant(now, p.starts(), q.Who, q.Worth)
		// Why: the hold may have run out meanwhile, and another keeper may be granting.
		g = Granted{OK: ok && p.d.Owner.Holds(PaceKey), WaitMs: int(wait.Milliseconds())}
	})
	return g, err
}

// Afloat tells which loads were ordered and may still start, and for how many
// seconds that has been so; each takes a place of the store's pace.
func (p *Planner) Afloat(ctx context.Context) map[string]int {
	out := map[string]int{}
	_ = p.paceDesk.Ask(ctx, func() {
		if p.pacer.keeper == nil || !p.d.Owner.Holds(PaceKey) {
			return
		}
		for who, since := range p.pacer.keeper.Floats(p.d.Clock.Since()) {
			out[who] = int(since.Seconds())
		}
	})
	return out
}

// useNow is how much of the store's pace is used; below 0 if another keeps it.
func (p *Planner) useNow() float64 {
	epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
	if !p.d.Owner.Holds(PaceKey) {
		return -1
	}
	now := p.d.Clock.Since()
	p.keeperFor(epoch, now)
	return p.pacer.keeper.Use(now, p.starts())
}

func (p *Planner) keeperFor(epoch uint64, now time.Duration) {
	if p.pacer.keeper == nil || p.pacer.epoch != epoch {
		p.pacer.epoch, p.pacer.keeper = epoch, pace.NewKeeper(now, p.d.Store.Window, epoch == 1)
	}
}

// starts is how many loads may begin in a window of the store.
func (p *Planner) starts() int {
	cfg := p.d.Conf()
	if rate := cfg.LoadsPerSecond(); rate > 0 {
		return p.d.Store.Starts(rate)
	}
	return cfg.Limits.PaceLoads
}
