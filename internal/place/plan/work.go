package plan

import (
	"math"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/report"
)

const (
	// workTimeConstant is the time constant of the exponential average of work.
	workTimeConstant = 1500 * time.Millisecond
	// maxWorkShare is the share of its time that one replica may spend on prompt processing before the answers in
	// progress there pause for too long; measured on replicas that process prompts between the tokens of other answers.
	maxWorkShare = 0.25
	// copyThreshold is the fraction of a copy that must be needed before that copy is loaded.
	copyThreshold = 0.15
)

// workRates tracks how much replica time each model currently takes.
type workRates struct {
	lastTotals map[string]map[string]uint64 // last running totals, by reporter
	byModel    map[string]*workRate         // by model name
}

// workRate is an exponentially decaying average.
type workRate struct {
	sum       time.Duration // decayed sum over workTimeConstant
	updatedAt time.Duration
}

func (w *workRate) decay(now time.Duration) {
	w.sum = time.Duration(float64(w.sum) * math.Exp(-float64(now-w.updatedAt)/float64(workTimeConstant)))
	w.updatedAt = now
}

// addReport adds the running totals that changed with a report; whole is the complete
// report after the change. Totals never decrease within one boot of an agent.
func (w *workRates) addReport(changes, whole report.Report, now time.Duration) {
	if w.lastTotals == nil {
		w.lastTotals, w.byModel = map[string]map[string]uint64{}, map[string]*workRate{}
	}
	reporter := whole.Agent + "/" + whole.Boot
	previous, known := w.lastTotals[reporter]
	w.lastTotals[reporter] = whole.WorkMs
	if !known {
		return // work from before the first report to this core is not current
	}
	for model, count := range changes.WorkMs {
		if count <= previous[model] {
			continue
		}
		rate := w.byModel[model]
		if rate == nil {
			rate = &workRate{updatedAt: now}
			w.byModel[model] = rate
		}
		rate.decay(now)
		rate.sum += time.Duration(count-previous[model]) * time.Millisecond
	}
}

// share returns the replica time that a model currently takes, in whole replicas.
func (w *workRates) share(model string, now time.Duration) float64 {
	rate := w.byModel[model]
	if rate == nil {
		return 0
	}
	rate.decay(now)
	return rate.share()
}

// share returns the average as of the last update.
func (w *workRate) share() float64 { return float64(w.sum) / float64(workTimeConstant) }

// prune drops models that are no longer requested and reporters that are no longer alive.
func (w *workRates) prune(alive map[string]bool, now time.Duration) {
	for model := range w.byModel {
		if w.share(model, now) < 1e-3 {
			delete(w.byModel, model)
		}
	}
	for reporter := range w.lastTotals {
		if !alive[reporter] {
			delete(w.lastTotals, reporter)
		}
	}
}

// overloadedModels returns the models that need more than one copy for their work, with the number of copies.
func (p *Planner) overloadedModels(now time.Duration) map[conf.Item]int {
	out := map[conf.Item]int{}
	for model, rate := range p.work.byModel {
		// Without new reports an average only decays, so a model that needed no second copy at its last update needs none now.
		if copiesForShare(rate.share()) <= 1 {
			continue
		}
		if n := copiesForShare(p.work.share(model, now)); n > 1 {
			out[conf.Item{Model: model}] = n
		}
	}
	return out
}

// copiesForShare returns how many copies a model needs for the replica time that it takes.
func copiesForShare(share float64) int { return int(math.Ceil(share/maxWorkShare - copyThreshold)) }
