package route

import (
	"time"

	"drumstall.example/internal/conf"
)

// pressedShare of its places, and at most pressedMost requests, is how many a
// replica may have before one more answer comes noticeably later there.
const (
	pressureSlotDivisor  = 2
	maxPressureThreshold = 16
	// pressedLasts is how long an item counts as pressed after a request of it went to such a replica.
	pressureWindow = time.Second
)

// pressing counts the requests of an item that had to go where many are.
type pressureCount struct {
	since time.Duration
	count int
}

func (r *Replica) underPressure() bool {
	return r.Load() >= max(2, min(maxPressureThreshold, r.Slots/pressureSlotDivisor))
}

// Press notes that an answer of an item came later, or with longer pauses, than it should.
func (k *Router) RecordPressure(item conf.Item) { k.recordPressure(item.Model, k.clock.Since()) }

// press notes that a request had to go where many are.
func (k *Router) recordPressure(item string, now time.Duration) {
	k.pressureMu.Lock()
	defer k.pressureMu.Unlock()
	p := k.pressure[item]
	if now-p.since > pressureWindow {
		p = pressureCount{since: now}
	}
	p.count++
	k.pressure[item] = p
}

// CountWaiting counts the work of a request that has to wait, and says in the
// target that it did. Why: what waits for a model's first copy tells how many copies its
// work needs, and would otherwise only be counted once that copy is there and has too much to do.
func (k *Router) CountWaitingWork(t *Target) {
	if k.deps.PollReplicas || t.Route.Kind != "model" || t.Counted {
		return
	}
	pace, _ := k.predictor.Pace()
	k.addWork(t.Item.Model, time.Duration(t.Prompt.Size())*pace)
	t.Counted = true
}

func (k *Router) addWork(model string, d time.Duration) {
	k.pressureMu.Lock()
	defer k.pressureMu.Unlock()
	k.work[model] += d
}

// Work is the time that replicas have taken to read each model's prompts, as predicted, so far, in ms.
func (k *Router) PrefillWorkMs() map[string]uint64 {
	k.pressureMu.Lock()
	defer k.pressureMu.Unlock()
	out := make(map[string]uint64, len(k.work))
	for model, d := range k.work {
		out[model] = uint64(d.Milliseconds())
	}
	return out
}

// Pressed is the items whose holders all have many requests, with how many came lately.
func (k *Router) Pressure() map[string]int {
	k.pressureMu.Lock()
	defer k.pressureMu.Unlock()
	now := k.clock.Since()
	out := map[string]int{}
	for item, p := range k.pressure {
		if now-p.since > 2*pressureWindow {
			delete(k.pressure, item)
			continue
		}
		out[item] = p.count
	}
	return out
}
