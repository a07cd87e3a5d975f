package plan

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/state"
)

// Grants is what the store's keeper writes down before it lets a load start.
type GrantRecord struct {
	AgesMs []int64 `cbor:"1,keyasint"` // how long ago each grant was given that still counts
}

// grantsEvery is how often the ages of grants are written down anew while any counts. Why: a
// keeper that takes over goes by the ages it finds, and what is written ages only when it is written again.
const grantRefreshInterval = time.Second

// pacer is the keeper of the store's pace that this core has, under an epoch.
type pacer struct {
	epoch     uint64
	limiter   *pace.Limiter
	granted   uint64 // grants so far, under this epoch and those before
	persisted int    // grants in what was written down last
}

// grantMark tells which grants a write has to cover: all that were given under an epoch up to one.
type grantMark struct {
	epoch  uint64
	number uint64
}

// Grant allows a load start within the store's pace; only the owner of the
// pace may. Why: grants that are given while a write is under way share the next one; with a write for each, one after
// the other, the pace was that of the control state and not the store's.
func (p *Planner) Grant(ctx context.Context, q GrantRequest) (GrantResponse, error) {
	var g GrantResponse
	var mark grantMark
	granted := false
	err := p.paceActor.Ask(ctx, func() { g, mark, granted = p.decideGrant(ctx, q) })
	if err != nil || !granted {
		return g, err
	}
	// Why: whoever keeps the pace next must know of this start, or would have to wait out all that could have been.
	kept := p.persistGrants(ctx, mark)
	// Why: the lease may have run out meanwhile, and another keeper may be granting.
	g.Granted = kept && p.d.Owner.Holds(PaceKey)
	return g, nil
}

// consent has the keeper decide on a load start. One that it grants counts from now on, but must be kept before it is told.
func (p *Planner) decideGrant(ctx context.Context, q GrantRequest) (g GrantResponse, mark grantMark, granted bool) {
	epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
	now := p.d.Clock.Since()
	if !p.d.Owner.Holds(PaceKey) || !p.ensureLimiter(ctx, epoch, now) {
		return g, mark, false
	}
	if q.Outstanding {
		p.pacer.limiter.NoteOutstanding(now, q.LoadID)
		return g, mark, false
	}
	wait, granted := p.pacer.limiter.Grant(now, p.startsPerWindow(), pace.Request{LoadID: q.LoadID, StartID: q.StartID, Priority: q.Penalty})
	g.WaitMs = int(wait.Milliseconds())
	if granted {
		p.pacer.granted++
	}
	return g, grantMark{p.pacer.epoch, p.pacer.granted}, granted
}

// keepGrants sees to it that a majority has the grants up to a mark written down.
func (p *Planner) persistGrants(ctx context.Context, mark grantMark) bool {
	kept := false
	err := p.grantWriter.Ask(ctx, func() {
		withOther := p.lastWritten.epoch == mark.epoch && p.lastWritten.number >= mark.number
		kept = withOther || p.writeGrants(ctx, mark.epoch)
	})
	return err == nil && kept
}

// writeGrants writes down all grants that count, if the keeper still is the one of an epoch; only the writer calls it.
func (p *Planner) writeGrants(ctx context.Context, epoch uint64) bool {
	var w GrantRecord
	var now grantMark
	err := p.paceActor.Ask(ctx, func() { w, now = p.currentGrants() })
	if err != nil || now.epoch != epoch || !p.writeGrantRecord(ctx, w) {
		return false
	}
	p.lastWritten = now
	return true
}

// grantsNow is what the keeper is to write down, and up to which grant that reaches.
func (p *Planner) currentGrants() (w GrantRecord, mark grantMark) {
	if p.pacer.limiter == nil {
		return w, mark
	}
	for _, age := range p.pacer.limiter.GrantAges(p.d.Clock.Since()) {
		w.AgesMs = append(w.AgesMs, age.Milliseconds())
	}
	p.pacer.persisted = len(w.AgesMs)
	return w, grantMark{p.pacer.epoch, p.pacer.granted}
}

// write writes down the grants that count.
func (p *Planner) writeGrantRecord(ctx context.Context, w GrantRecord) bool {
	_, err := p.d.Owner.Update(ctx, PaceKey, func(state.Record, bool) ([]byte, error) { return wire.Pack(w), nil })
	if err != nil {
		p.d.Log.Info("grants not kept", "error", err)
		return false
	}
	return true
}

// refreshGrants writes the ages of the grants down anew, until none counts any more.
func (p *Planner) refreshGrants(ctx context.Context) {
	due := false
	epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
	_ = p.paceActor.Ask(ctx, func() {
		due = p.pacer.limiter != nil && p.pacer.epoch == epoch && p.pacer.persisted > 0 && p.d.Owner.Holds(PaceKey)
	})
	if due {
		_ = p.grantWriter.Ask(ctx, func() { p.writeGrants(ctx, epoch) })
	}
}

// Afloat tells which loads were ordered and may still start, and for how many
// seconds that has been so; each takes a place of the store's pace.
func (p *Planner) OutstandingLoads(ctx context.Context) map[string]int {
	out := map[string]int{}
	_ = p.paceActor.Ask(ctx, func() {
		if p.pacer.limiter == nil || !p.d.Owner.Holds(PaceKey) {
			return
		}
		for who, since := range p.pacer.limiter.Outstanding(p.d.Clock.Since()) {
			out[who] = int(since.Seconds())
		}
	})
	return out
}

// useNow is how much of the store's pace is used; below 0 if another keeps it.
func (p *Planner) currentPaceUse() float64 {
	epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
	if !p.d.Owner.Holds(PaceKey) {
		return -1
	}
	now := p.d.Clock.Since()
	if !p.ensureLimiter(p.d.Group.Context(), epoch, now) {
		return -1
	}
	return p.pacer.limiter.Utilization(now, p.startsPerWindow())
}

// keeperFor sees to it that there is a keeper under an epoch.
func (p *Planner) ensureLimiter(ctx context.Context, epoch uint64, now time.Duration) bool {
	if p.pacer.limiter != nil && p.pacer.epoch == epoch {
		return true
	}
	rec, found, err := p.d.Owner.Get(ctx, PaceKey)
	if err != nil {
		return false
	}
	var before GrantRecord
	switch {
	case epoch == 1:
		p.pacer.persisted = 0
		p.pacer.limiter = pace.NewLimiter(now, p.d.Store.Window, true)
	case found && wire.Unpack(rec.Value, &before) == nil:
		ages := make([]time.Duration, len(before.AgesMs))
		for i, ms := range before.AgesMs {
			ages[i] = time.Duration(ms)*time.Millisecond + p.d.Owner.UnleasedFor(PaceKey)
		}
		p.pacer.persisted = len(ages)
		p.pacer.limiter = pace.Resume(now, p.d.Store.Window, ages)
	default:
		p.pacer.limiter = pace.NewLimiter(now, p.d.Store.Window, false)
	}
	p.pacer.epoch = epoch
	// Why: from here on there is a word to go by, also if nothing is ever granted.
	if found {
		return true
	}
	w, _ := p.currentGrants()
	return p.writeGrantRecord(ctx, w)
}

// starts is how many loads may begin in a window of the store.
func (p *Planner) startsPerWindow() int {
	cfg := p.d.Conf()
	if rate := cfg.LoadsPerSecond(); rate > 0 {
		return p.d.Store.Starts(rate)
	}
	return cfg.Limits.PaceLoads
}
