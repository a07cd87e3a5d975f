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

// itemState is the planning state of one item.
type itemState struct {
	series         *demand.Series
	reporterTotals map[string]uint64 // last counted running total, by agent and boot
	lastDecided    time.Duration     // time of the last decision
	waitingSince   time.Duration     // since when requests wait for the item; negative if none wait
	blockedSince   time.Duration     // since when a transient condition has blocked the load; 0 if none does
	lastBypass     time.Duration     // when it was last loaded without the eviction test
	dirtyHours     map[int64]bool
}

// demandParams returns the prediction parameters of the current configuration.
func (p *Planner) demandParams() demand.Params {
	l := p.d.Conf().Limits
	return demand.Params{UnitsPerDay: int64(l.EpochUnits), DayWeights: l.DayWeights, WarmupMinutes: l.WarmupMinutes, HorizonMinutes: l.HorizonMinutes}
}

// currentMinuteClock returns the clock that counts units of the configured length, and replaces it when the length changes.
func (p *Planner) currentMinuteClock(cfg conf.Effective) *demand.MinuteClock {
	if p.minuteClock == nil || p.minuteUnit != cfg.Limits.Unit {
		p.minuteUnit = cfg.Limits.Unit
		p.minuteClock = demand.NewMinuteClock(p.d.Clock.Wall(), p.d.Clock.Since(), p.minuteUnit)
	}
	return p.minuteClock
}

// OnSlotAcquired restores the history of a slot whose lease this core now holds.
func (p *Planner) OnSlotAcquired(slot int, epoch uint64, recs []state.Record) {
	if slot == state.SlotOf(PaceKey) {
		// The wait for grants of the previous lease holder starts now, not at the first request.
		now := p.d.Clock.Since()
		_ = p.paceActor.TryEnqueue(func() { p.ensureLimiter(p.d.Group.Context(), epoch, now) })
	}
	// This must not be dropped when the queue of the actor is full: without its history the slot would never be planned for.
	p.d.Group.Go(func(ctx context.Context) { _ = p.actor.Do(ctx, func() { p.restoreHistory(slot, epoch, recs) }) })
}

// restoreHistory replaces the items of a slot by those in its records and adds the demand of the current reports.
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
			p.d.Log.Warn("cannot decode demand history record", "key", r.Key)
			continue
		}
		entry := p.stateOf(it)
		if entry == nil {
			continue
		}
		if h.Hour >= newest[it] {
			newest[it] = h.Hour
			entry.reporterTotals = map[string]uint64{}
			maps.Copy(entry.reporterTotals, h.ReporterTotals)
		}
		h.ReporterTotals = nil
		entry.series.Restore(h)
	}
	p.historyEpochs[slot] = epoch
	now := p.d.Clock.Since()
	for _, r := range p.d.Reports.All() {
		p.addDemand(r.Report, now, func(it conf.Item) bool { return state.SlotOf(DemandKey(it, 0)) == slot })
	}
}

// parseDemandKey returns the item of a key made by DemandKey.
func parseDemandKey(key string) (conf.Item, bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 || parts[0] != "demand" {
		return conf.Item{}, false
	}
	return conf.Item{Model: parts[1], Adapter: parts[3]}, true
}

// stateOf returns the state of an item and creates it if needed; nil if maxItems is reached.
func (p *Planner) stateOf(it conf.Item) *itemState {
	entry := p.items[it]
	if entry == nil {
		if len(p.items) >= maxItems {
			return nil
		}
		entry = &itemState{series: demand.NewSeries(), reporterTotals: map[string]uint64{}, waitingSince: -1, lastDecided: -1 << 62, lastBypass: -1 << 62, dirtyHours: map[int64]bool{}}
		p.items[it] = entry
	}
	return entry
}

// ApplyReport applies the report of one agent and returns its outcome.
func (p *Planner) ApplyReport(ctx context.Context, r report.Report) (report.Outcome, error) {
	outcomes, err := p.ApplyReports(ctx, []report.Report{r})
	if err != nil {
		return report.Stored, err
	}
	return outcomes[0], nil
}

// ApplyReports applies the reports of several agents and returns the outcome of each.
func (p *Planner) ApplyReports(ctx context.Context, all []report.Report) ([]report.Outcome, error) {
	outcomes := make([]report.Outcome, len(all))
	err := p.actor.Do(ctx, func() {
		now := p.d.Clock.Since()
		for i, r := range all {
			outcomes[i] = p.applyReport(r, now)
		}
	})
	return outcomes, err
}

// applyReport applies a report. Only changed running totals are read here; when this
// core acquires a slot later, restoreHistory reads all of them.
func (p *Planner) applyReport(r report.Report, now time.Duration) report.Outcome {
	if outcome := p.d.Reports.Put(r, now); outcome != report.Stored {
		return outcome
	}
	p.work.addReport(r, p.d.Reports.Get(r.Agent).Report, now)
	p.addDemand(r, now, func(conf.Item) bool { return true })
	if !p.isBusy() && p.hasNewMiss(r) {
		p.replan.Fire()
	}
	return report.Stored
}

// isBusy reports whether this core has no processor time to spare. Misses are then handled only at the planning interval
// instead of immediately.
func (p *Planner) isBusy() bool { return p.d.Busy != nil && p.d.Busy() }

// hasNewMiss reports whether a report has requests waiting for an item that this core
// plans for and that had none at the last planning run. Items that were waited for
// already are handled at each planning interval.
func (p *Planner) hasNewMiss(r report.Report) bool {
	for name := range r.Waiting {
		it := conf.ParseItem(name)
		if entry := p.items[it]; (entry == nil || entry.waitingSince < 0) && p.ownsItem(it) {
			return true
		}
	}
	return false
}

// addDemand counts the requests in a report for the items that this core plans for
// and that include accepts.
func (p *Planner) addDemand(r report.Report, now time.Duration, include func(conf.Item) bool) {
	cfg := p.d.Conf()
	minute, fresh := p.currentMinuteClock(cfg).Now(p.d.Clock.Wall(), now)
	reporter := r.Agent + "/" + r.Boot
	for name, count := range r.Demand {
		it := conf.ParseItem(name)
		if _, known := cfg.Models[it.Model]; !known || !p.ownsItem(it) || !include(it) {
			continue
		}
		entry := p.stateOf(it)
		if entry == nil {
			continue
		}
		// Reports contain running totals, so lost or duplicate reports do not change the count.
		previous, counted := entry.reporterTotals[reporter]
		if count <= previous && counted {
			continue
		}
		entry.reporterTotals[reporter] = count
		if fresh {
			entry.series.Add(minute, uint32(min(count-previous, 1<<31)))
			entry.dirtyHours[minute/60] = true
		}
	}
}

// persistDemand writes the changed hours to the control state.
func (p *Planner) persistDemand(ctx context.Context) {
	type pendingWrite struct {
		item conf.Item
		hour demand.Hour
	}
	var writes []pendingWrite
	_ = p.actor.Do(ctx, func() {
		now := p.d.Clock.Since()
		alive := map[string]bool{}
		for _, r := range p.d.Reports.All() {
			if now-r.At < 10*time.Minute {
				alive[r.Agent+"/"+r.Boot] = true
			}
		}
		p.work.prune(alive, now)
		for it, entry := range p.items {
			if !p.ownsItem(it) {
				continue
			}
			for reporter := range entry.reporterTotals {
				if !alive[reporter] {
					delete(entry.reporterTotals, reporter)
				}
			}
			for hour := range entry.dirtyHours {
				if h, found := entry.series.Hour(hour); found {
					h.ReporterTotals = maps.Clone(entry.reporterTotals)
					writes = append(writes, pendingWrite{it, h})
				}
			}
			entry.dirtyHours = map[int64]bool{}
		}
	})
	for _, w := range writes {
		writeCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := p.d.Owner.Update(writeCtx, DemandKey(w.item, w.hour.Hour), func(state.Record, bool) ([]byte, error) { return w.hour.Pack(), nil })
		cancel()
		if err != nil {
			p.d.Log.Info("failed to write demand history", "item", w.item.String(), "error", err)
			_ = p.actor.TryEnqueue(func() {
				if entry := p.items[w.item]; entry != nil {
					entry.dirtyHours[w.hour.Hour] = true
				}
			})
		}
	}
}
