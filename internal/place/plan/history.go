package plan

import (
	"context"
	"maps"
	"strings"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/demand"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/state"
)

type itemState struct {
	series         *demand.Series
	reporterTotals map[string]uint64
	lastDecided    time.Duration // last decision
	waitingSince   time.Duration // since when requests wait for it; below 0: none does
	blockedSince   time.Duration // since when nothing could be loaded for what will pass; 0 is not
	lastBypass     time.Duration // when it was last loaded without the test
	dirtyHours     map[int64]bool
}

func (p *Planner) demandParams() demand.Params {
	l := p.d.Conf().Limits
	return demand.Params{Day: int64(l.Epoch), DayWeights: l.DayWeights, WarmupMinutes: l.WarmupMinutes, HorizonMinutes: l.HorizonMinutes}
}

// clock counts units of the length now in force.
func (p *Planner) currentMinuteClock(cfg conf.Effective) *demand.MinuteClock {
	if p.minuteClock == nil || p.minuteUnit != cfg.Limits.Unit {
		p.minuteUnit = cfg.Limits.Unit
		p.minuteClock = demand.NewMinuteClock(p.d.Clock.Wall(), p.d.Clock.Since(), p.minuteUnit)
	}
	return p.minuteClock
}

// OnTake lays in the history of a slot that this core now holds.
func (p *Planner) OnSlotAcquired(slot int, epoch uint64, recs []state.Record) {
	if slot == state.SlotOf(PaceKey) {
		// Why: what the keeper before us granted is waited out from now on, not from the first question.
		now := p.d.Clock.Since()
		_ = p.paceActor.Tell(func() { p.ensureLimiter(p.d.Group.Context(), epoch, now) })
	}
	// Why: a full holding must not lose this; without its history the slot would never be planned for.
	p.d.Group.Go(func(ctx context.Context) { _ = p.actor.Ask(ctx, func() { p.restoreHistory(slot, epoch, recs) }) })
}

func (p *Planner) restoreHistory(slot int, epoch uint64, recs []state.Record) {
	if epoch <= p.historyEpochs[slot] {
		return
	}
	for it := range p.items {
		if state.SlotOf(DemandKey(it, 0)) == slot {
			delete(p.items, it)
		}
	}
	newest := map[conf.Item]int64{}
	for _, r := range recs {
		it, ok := parseDemandKey(r.Key)
		if !ok || r.Deleted {
			continue
		}
		h, err := demand.UnpackHour(r.Value)
		if err != nil {
			p.d.Log.Warn("an hour of demand cannot be read", "key", r.Key)
			continue
		}
		i := p.stateOf(it)
		if i == nil {
			continue
		}
		if h.Hour >= newest[it] {
			newest[it] = h.Hour
			i.reporterTotals = map[string]uint64{}
			maps.Copy(i.reporterTotals, h.ReporterTotals)
		}
		h.ReporterTotals = nil
		i.series.Restore(h)
	}
	p.historyEpochs[slot] = epoch
	now := p.d.Clock.Since()
	for _, r := range p.d.Reports.All() {
		p.addDemand(r.Report, now, func(it conf.Item) bool { return state.SlotOf(DemandKey(it, 0)) == slot })
	}
}

func parseDemandKey(key string) (conf.Item, bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 || parts[0] != "demand" {
		return conf.Item{}, false
	}
	return conf.Item{Model: parts[1], Adapter: parts[3]}, true
}

func (p *Planner) stateOf(it conf.Item) *itemState {
	i := p.items[it]
	if i == nil {
		if len(p.items) >= maxItems {
			return nil
		}
		i = &itemState{series: demand.NewSeries(), reporterTotals: map[string]uint64{}, waitingSince: -1, lastDecided: -1 << 62, lastBypass: -1 << 62, dirtyHours: map[int64]bool{}}
		p.items[it] = i
	}
	return i
}

// Report takes an edge's word.
func (p *Planner) ApplyReport(ctx context.Context, r report.Report) (report.Outcome, error) {
	outcomes, err := p.ApplyReports(ctx, []report.Report{r})
	if err != nil {
		return report.Kept, err
	}
	return outcomes[0], nil
}

// Reports takes the words of several edges, and tells what became of each.
func (p *Planner) ApplyReports(ctx context.Context, all []report.Report) ([]report.Outcome, error) {
	outcomes := make([]report.Outcome, len(all))
	err := p.actor.Ask(ctx, func() {
		now := p.d.Clock.Since()
		for i, r := range all {
			outcomes[i] = p.applyReport(r, now)
		}
	})
	return outcomes, err
}

// takeReport takes an edge's word. Why: what only grows is read where it has changed; a
// slot that this core takes later is given all of it then.
func (p *Planner) applyReport(r report.Report, now time.Duration) report.Outcome {
	if outcome := p.d.Reports.Put(r, now); outcome != report.Kept {
		return outcome
	}
	p.work.addReport(r, p.d.Reports.Of(r.Agent).Report, now)
	p.addDemand(r, now, func(conf.Item) bool { return true })
	if !p.isBusy() && p.hasNewMiss(r) {
		p.replan.Now()
	}
	return report.Kept
}

// isBusy says that this core has no processor time to spare. It then looks at misses in each interval, and not at
// each of them.
func (p *Planner) isBusy() bool { return p.d.Busy != nil && p.d.Busy() }

// hasNewMiss says whether requests wait by a report for an item that this core plans
// for and that nobody waited for when it last looked. Why: what waits already is looked at in each interval.
func (p *Planner) hasNewMiss(r report.Report) bool {
	for name := range r.Waiting {
		it := conf.ParseItem(name)
		if i := p.items[it]; (i == nil || i.waitingSince < 0) && p.ownsItem(it) {
			return true
		}
	}
	return false
}

// addDemand counts the requests that a report tells of, for the items that this
// core plans for and that are wanted.
func (p *Planner) addDemand(r report.Report, now time.Duration, wanted func(conf.Item) bool) {
	cfg := p.d.Conf()
	minute, fresh := p.currentMinuteClock(cfg).Now(p.d.Clock.Wall(), now)
	from := r.Agent + "/" + r.Boot
	for name, count := range r.Demand {
		it := conf.ParseItem(name)
		if _, known := cfg.Models[it.Model]; !known || !p.ownsItem(it) || !wanted(it) {
			continue
		}
		i := p.stateOf(it)
		if i == nil {
			continue
		}
		// Why: reports carry running totals, so one lost or come twice changes nothing.
		was, counted := i.reporterTotals[from]
		if count <= was && counted {
			continue
		}
		i.reporterTotals[from] = count
		if fresh {
			i.series.Add(minute, uint32(min(count-was, 1<<31)))
			i.dirtyHours[minute/60] = true
		}
	}
}

// keep writes hours that changed to the control state.
func (p *Planner) persistDemand(ctx context.Context) {
	type work struct {
		it conf.Item
		h  demand.Hour
	}
	var todo []work
	_ = p.actor.Ask(ctx, func() {
		now := p.d.Clock.Since()
		alive := map[string]bool{}
		for _, r := range p.d.Reports.All() {
			if now-r.At < 10*time.Minute {
				alive[r.Agent+"/"+r.Boot] = true
			}
		}
		p.work.prune(alive, now)
		for it, i := range p.items {
			if !p.ownsItem(it) {
				continue
			}
			for k := range i.reporterTotals {
				if !alive[k] {
					delete(i.reporterTotals, k)
				}
			}
			for hour := range i.dirtyHours {
				if h, found := i.series.Hour(hour); found {
					h.ReporterTotals = maps.Clone(i.reporterTotals)
					todo = append(todo, work{it, h})
				}
			}
			i.dirtyHours = map[int64]bool{}
		}
	})
	for _, w := range todo {
		one, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := p.d.Owner.Update(one, DemandKey(w.it, w.h.Hour), func(state.Record, bool) ([]byte, error) { return w.h.Pack(), nil })
		cancel()
		if err != nil {
			p.d.Log.Info("demand not kept", "item", w.it.String(), "error", err)
			_ = p.actor.Tell(func() {
				if i := p.items[w.it]; i != nil {
					i.dirtyHours[w.h.Hour] = true
				}
			})
		}
	}
}
