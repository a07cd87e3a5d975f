package plan

import (
	"math"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/report"
)

const (
	// workSpan is the time over which work is averaged.
	workTimeConstant = 1500 * time.Millisecond
	// workShare of its time is what one replica may spend on reading prompts before the answers that run there
	// pause for too long; measured on replicas that read prompts between the tokens of other answers.
	maxWorkShare = 0.25
	// workOver is how much a wanted copy must be needed before it is loaded.
	copyThreshold = 0.15
)

// workRates is how much time of replicas each model takes at present.
type workRates struct {
	lastTotals map[string]map[string]uint64 // by who counted: what was counted last
	byModel    map[string]*workRate         // by model
}

// workRate is an average that forgets.
type workRate struct {
	sum       time.Duration // of a work span
	updatedAt time.Duration
}

func (w *workRate) decay(now time.Duration) {
	w.sum = time.Duration(float64(w.sum) * math.Exp(-float64(now-w.updatedAt)/float64(workTimeConstant)))
	w.updatedAt = now
}

// add takes the counts that changed with a report, and all of them as they are
// now; they only ever grow under one boot.
func (w *workRates) addReport(changes, whole report.Report, now time.Duration) {
	if w.lastTotals == nil {
		w.lastTotals, w.byModel = map[string]map[string]uint64{}, map[string]*workRate{}
	}
	from := whole.Agent + "/" + whole.Boot
	before, known := w.lastTotals[from]
	w.lastTotals[from] = whole.WorkMs
	if !known {
		return // what came before this core was told is not of the present
	}
	for model, count := range changes.WorkMs {
		if count <= before[model] {
			continue
		}
		rate := w.byModel[model]
		if rate == nil {
			rate = &workRate{updatedAt: now}
			w.byModel[model] = rate
		}
		rate.decay(now)
		rate.sum += time.Duration(count-before[model]) * time.Millisecond
	}
}

// share is how many replicas' whole time a model takes at present.
func (w *workRates) share(model string, now time.Duration) float64 {
	rate := w.byModel[model]
	if rate == nil {
		return 0
	}
	rate.decay(now)
	return rate.share()
}

// share is the average as it was when it was last looked at.
func (w *workRate) share() float64 { return float64(w.sum) / float64(workTimeConstant) }

// forget lets go of models that nobody asks for any more, and of reporters that are gone.
func (w *workRates) prune(alive map[string]bool, now time.Duration) {
	for model := range w.byModel {
		if w.share(model, now) < 1e-3 {
			delete(w.byModel, model)
		}
	}
	for from := range w.lastTotals {
		if !alive[from] {
			delete(w.lastTotals, from)
		}
	}
}

// crowded is the models that want more than one copy for their work, with how many.
func (p *Planner) overloadedModels(now time.Duration) map[conf.Item]int {
	out := map[conf.Item]int{}
	for model, rate := range p.work.byModel {
		// Why: an average only falls between reports, and what took less than one copy takes less now.
		if copiesForShare(rate.share()) <= 1 {
			continue
		}
		if n := copiesForShare(p.work.share(model, now)); n > 1 {
			out[conf.Item{Model: model}] = n
		}
	}
	return out
}

// copiesFor is how many copies a model wants for the share of replicas' time that it takes.
func copiesForShare(share float64) int { return int(math.Ceil(share/maxWorkShare - copyThreshold)) }
