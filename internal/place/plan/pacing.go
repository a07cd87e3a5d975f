package plan

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/state"
)

// GrantRecord is what the core that limits the weight store's load rate writes to the control state before a load may start.
type GrantRecord struct {
	AgesMs []int64 `cbor:"1,keyasint"` // age of each grant that still counts
}

// grantRefreshInterval is how often the ages of grants are rewritten while any of them counts. A core that takes over uses
// the recorded ages, which only advance when they are rewritten.
const grantRefreshInterval = time.Second

// pacer holds the rate limiter of the weight store on this core, valid for one epoch.
type pacer struct {
	epoch     uint64
	limiter   *pace.Limiter
	granted   uint64 // grants so far, in this epoch and earlier ones
	persisted int    // number of grants in the last written record
}

// grantMark identifies the grants that a write must cover: those of an epoch up to a number.
type grantMark struct {
	epoch  uint64
	number uint64
}

// Grant permits a load start within the load rate of the weight store; only the
// lease holder of PaceKey may. Grants given while a write is in progress share the next write: with one
// sequential write per grant, the control state and not the store would limit the load rate.
func (p *Planner) Grant(ctx context.Context, q GrantRequest) (GrantResponse, error) {
	var g GrantResponse
	var mark grantMark
	granted := false
	err := p.paceActor.Do(ctx, func() { g, mark, granted = p.decideGrant(ctx, q) })
	if err != nil || !granted {
		return g, err
	}
	// The next lease holder must know of this start; otherwise it would have to wait out all grants that may have been given.
	persisted := p.persistGrants(ctx, mark)
	// The lease may have expired meanwhile, and another core may be granting.
	g.Granted = persisted && p.d.Owner.Holds(PaceKey)
	return g, nil
}

// decideGrant lets the rate limiter decide on a load start. A grant counts immediately, but must be written to the control state
// before it is returned to the caller.
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

// persistGrants ensures that the grants up to mark are written to a majority.
func (p *Planner) persistGrants(ctx context.Context, mark grantMark) bool {
	persisted := false
	err := p.grantWriter.Do(ctx, func() {
		covered := p.lastWritten.epoch == mark.epoch && p.lastWritten.number >= mark.number
		persisted = covered || p.writeGrants(ctx, mark.epoch)
	})
	return err == nil && persisted
}

// writeGrants writes all grants that count, if the rate limiter still belongs to epoch. It runs only on grantWriter.
func (p *Planner) writeGrants(ctx context.Context, epoch uint64) bool {
	var w GrantRecord
	var mark grantMark
	err := p.paceActor.Do(ctx, func() { w, mark = p.currentGrants() })
	if err != nil || mark.epoch != epoch || !p.writeGrantRecord(ctx, w) {
		return false
	}
	p.lastWritten = mark
	return true
}

// currentGrants returns the record to write and the mark of the last grant that it covers.
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

// writeGrantRecord writes the record to the control state.
func (p *Planner) writeGrantRecord(ctx context.Context, w GrantRecord) bool {
	_, err := p.d.Owner.Update(ctx, PaceKey, func(state.Record, bool) ([]byte, error) { return wire.Marshal(w), nil })
	if err != nil {
		p.d.Log.Info("failed to write load grants", "error", err)
		return false
	}
	return true
}

// refreshGrants rewrites the ages of the grants until none counts any more.
func (p *Planner) refreshGrants(ctx context.Context) {
	due := false
	epoch, _, _ := p.d.Owner.MayOrder(PaceKey)
	_ = p.paceActor.Do(ctx, func() {
		due = p.pacer.limiter != nil && p.pacer.epoch == epoch && p.pacer.persisted > 0 && p.d.Owner.Holds(PaceKey)
	})
	if due {
		_ = p.grantWriter.Do(ctx, func() { p.writeGrants(ctx, epoch) })
	}
}

// OutstandingLoads returns the loads that were ordered and may still start, with
// the seconds since then; each counts against the load rate of the weight store.
func (p *Planner) OutstandingLoads(ctx context.Context) map[string]int {
	out := map[string]int{}
	_ = p.paceActor.Do(ctx, func() {
		if p.pacer.limiter == nil || !p.d.Owner.Holds(PaceKey) {
			return
		}
		for loadID, since := range p.pacer.limiter.Outstanding(p.d.Clock.Since()) {
			out[loadID] = int(since.Seconds())
		}
	})
	return out
}

// currentPaceUse returns the used share of the weight store's load rate, or a negative value if another core limits it.
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

// ensureLimiter ensures that there is a rate limiter for epoch and reports whether there is. A new one resumes from the recorded
// grants, if any.
func (p *Planner) ensureLimiter(ctx context.Context, epoch uint64, now time.Duration) bool {
	if p.pacer.limiter != nil && p.pacer.epoch == epoch {
		return true
	}
	rec, found, err := p.d.Owner.Get(ctx, PaceKey)
	if err != nil {
		return false
	}
	var previous GrantRecord
	switch {
	case epoch == 1:
		p.pacer.persisted = 0
		p.pacer.limiter = pace.NewLimiter(now, p.d.Store.Window, true)
	case found && wire.Unmarshal(rec.Value, &previous) == nil:
		ages := make([]time.Duration, len(previous.AgesMs))
		for i, ms := range previous.AgesMs {
			ages[i] = time.Duration(ms)*time.Millisecond + p.d.Owner.UnleasedFor(PaceKey)
		}
		p.pacer.persisted = len(ages)
		p.pacer.limiter = pace.Resume(now, p.d.Store.Window, ages)
	default:
		p.pacer.limiter = pace.NewLimiter(now, p.d.Store.Window, false)
	}
	p.pacer.epoch = epoch
	// Write a record, so that the next lease holder finds one even if nothing is ever granted.
	if found {
		return true
	}
	w, _ := p.currentGrants()
	return p.writeGrantRecord(ctx, w)
}

// startsPerWindow returns how many loads may start in one window of the weight store.
func (p *Planner) startsPerWindow() int {
	cfg := p.d.Conf()
	if rate := cfg.LoadsPerSecond(); rate > 0 {
		return p.d.Store.MaxStarts(rate)
	}
	return cfg.Limits.PaceLoads
}
