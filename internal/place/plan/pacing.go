package plan

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/state"
)

// Grants is what the store's keeper writes down before it lets a load start.
type Grants struct {
	AgesMs []int64 `cbor:"1,keyasint"` // how long ago each grant was given that still counts
}

// grantsEvery is how often the ages of grants are written down anew while any counts. Why: a
// keeper that takes over goes by the ages it finds, and what is written ages only when it is written again.
const grantsEvery = time.Second

// pacer is the keeper of the store's pace that this core has, under an epoch.
type pacer struct {
	epoch  uint64
	keeper *pace.Keeper
	kept   int // grants in what was written down last
}

// Grant allows a load start within the store's pace; only the owner of the
// pace may.
func (p *Planner) Grant(ctx context.Context, q Granting) (Granted, error) {
	var g Granted
	err := p.paceActor.Ask(ctx, func() {
		epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
		if !p.d.Owner.Holds(PaceKey) {
			return
		}
		now := p.d.Clock.Since()
		if !p.keeperFor(ctx, epoch, now) {
			return
		}
		if q.Afloat {
			p.pacer.keeper.Afloat(now, q.Who)
			return
		}
		wait, ok := p.pacer.keeper.Grant(now, p.starts(), q.Who, q.Worth)
		// Why: whoever keeps the pace next must know of this start, or would have to wait out all that could have been.
		ok = ok && p.writeGrants(ctx, now)
		// Why: the lease may have run out meanwhile, and another keeper may be granting.
		g = Granted{OK: ok && p.d.Owner.Holds(PaceKey), WaitMs: int(wait.Milliseconds())}
	})
	return g, err
}

func (p *Planner) writeGrants(ctx context.Context, now time.Duration) bool {
	var w Grants
	for _, age := range p.pacer.keeper.Ages(now) {
		w.AgesMs = append(w.AgesMs, age.Milliseconds())
	}
	_, err := p.d.Owner.Update(ctx, PaceKey, func(state.Record, bool) ([]byte, error) { return wire.Pack(w), nil })
	if err != nil {
		p.d.Log.Info("grants not kept", "error", err)
		return false
	}
	p.pacer.kept = len(w.AgesMs)
	return true
}

// refreshGrants writes the ages of the grants down anew, until none counts any more.
func (p *Planner) refreshGrants(ctx context.Context) {
	_ = p.paceActor.Ask(ctx, func() {
		epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
		if p.pacer.keeper == nil || p.pacer.epoch != epoch || p.pacer.kept == 0 || !p.d.Owner.Holds(PaceKey) {
			return
		}
		p.writeGrants(ctx, p.d.Clock.Since())
	})
}

// Afloat tells which loads were ordered and may still start, and for how many
// seconds that has been so; each takes a place of the store's pace.
func (p *Planner) Afloat(ctx context.Context) map[string]int {
	out := map[string]int{}
	_ = p.paceActor.Ask(ctx, func() {
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
	if !p.keeperFor(p.d.Group.Context(), epoch, now) {
		return -1
	}
	return p.pacer.keeper.Use(now, p.starts())
}

// keeperFor sees to it that there is a keeper under an epoch.
func (p *Planner) keeperFor(ctx context.Context, epoch uint64, now time.Duration) bool {
	if p.pacer.keeper != nil && p.pacer.epoch == epoch {
		return true
	}
	rec, found, err := p.d.Owner.Get(ctx, PaceKey)
	if err != nil {
		return false
	}
	var before Grants
	switch {
	case epoch == 1:
		p.pacer.kept = 0
		p.pacer.keeper = pace.NewKeeper(now, p.d.Store.Window, true)
	case found && wire.Unpack(rec.Value, &before) == nil:
		ages := make([]time.Duration, len(before.AgesMs))
		for i, ms := range before.AgesMs {
			ages[i] = time.Duration(ms)*time.Millisecond + p.d.Owner.FreeFor(PaceKey)
		}
		p.pacer.kept = len(ages)
		p.pacer.keeper = pace.Resume(now, p.d.Store.Window, ages)
	default:
		p.pacer.keeper = pace.NewKeeper(now, p.d.Store.Window, false)
	}
	p.pacer.epoch = epoch
	// Why: from here on there is a word to go by, also if nothing is ever granted.
	return found || p.writeGrants(ctx, now)
}

// starts is how many loads may begin in a window of the store.
func (p *Planner) starts() int {
	cfg := p.d.Conf()
	if rate := cfg.LoadsPerSecond(); rate > 0 {
		return p.d.Store.Starts(rate)
	}
	return cfg.Limits.PaceLoads
}
