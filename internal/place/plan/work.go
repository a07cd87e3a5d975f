package plan

import (
	"math"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/report"
)

const (
	// workSpan is the time over which work is averaged.
	workSpan = 1500 * time.Millisecond
	// workShare of its time is what one replica may spend on reading prompts before the answers that run there
	// pause for too long; measured on replicas that read prompts between the tokens of other answers.
	workShare = 0.25
	// workOver is how much a wanted copy must be needed before it is loaded.
	workOver = 0.15
)

// workRates is how much time of replicas each model takes at present.
type workRates struct {
	seen map[string]map[string]uint64 // by who counted: what was counted last
	of   map[string]*workRate         // by model
}

// workRate is an average that forgets.
type workRate struct {
	sum time.Duration // of a work span
	at  time.Duration
}

func (w *workRate) decay(now time.Duration) {
	w.sum = time.Duration(float64(w.sum) * math.Exp(-float64(now-w.at)/float64(workSpan)))
	w.at = now
}

// add takes the counts that changed with a report, and all of them as they are
// now; they only ever grow under one boot.
func (w *workRates) add(changes, whole report.Report, now time.Duration) {
	if w.seen == nil {
		w.seen, w.of = map[string]map[string]uint64{}, map[string]*workRate{}
	}
	from := whole.Agent + "/" + whole.Boot
	before, known := w.seen[from]
	w.seen[from] = whole.WorkMs
	if !known {
		return // what came before this core was told is not of the present
	}
	for model, count := range changes.WorkMs {
		if count <= before[model] {
			continue
		}
		rate := w.of[model]
		if rate == nil {
			rate = &workRate{at: now}
			w.of[model] = rate
		}
		rate.decay(now)
		rate.sum += time.Duration(count-before[model]) * time.Millisecond
	}
}

// share is how many replicas' whole time a model takes at present.
func (w *workRates) share(model string, now time.Duration) float64 {
	rate := w.of[model]
	if rate == nil {
		return 0
	}
	rate.decay(now)
	return rate.share()
}

// share is the average as it was when it was last looked at.
func (w *workRate) share() float64 { return float64(w.sum) / float64(workSpan) }

// forget lets go of models that nobody asks for any more, and of reporters that are gone.
func (w *workRates) forget(alive map[string]bool, now time.Duration) {
	for model := range w.of {
		if w.share(model, now) < 1e-3 {
			delete(w.of, model)
		}
	}
	for from := range w.seen {
		if !alive[from] {
			delete(w.seen, from)
		}
	}
}

// crowded is the models that want more than one copy for their work, with how many.
func (p *Planner) crowded(now time.Duration) map[conf.Item]int {
	out := map[conf.Item]int{}
	for model, rate := range p.work.of {
		// Why: an average only falls between reports, and what took less than one copy takes less now.
		if copiesFor(rate.share()) <= 1 {
			continue
		}
		if n := copiesFor(p.work.share(model, now)); n > 1 {
			out[conf.Item{Model: model}] = n
		}
	}
	return out
}

// copiesFor is how many copies a model wants for the share of replicas' time that it takes.
func copiesFor(share float64) int { return int(math.Ceil(share/workShare - workOver)) }
