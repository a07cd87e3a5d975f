package route

import (
	"time"

	"drumstall.example/internal/conf"
)

// A replica is under pressure, so that one more answer is noticeably slower there, from
// Slots/pressureSlotDivisor or maxPressureThreshold requests on, whichever is less, but not below 2 requests.
const (
	pressureSlotDivisor  = 2
	maxPressureThreshold = 16
	// pressureWindow is the window in which requests under pressure are counted for an item. The count is dropped two
	// windows after the window began.
	pressureWindow = time.Second
)

// pressureCount counts the requests of an item that went to a replica under pressure.
type pressureCount struct {
	since time.Duration
	count int
}

func (r *Replica) underPressure() bool {
	return r.Load() >= max(2, min(maxPressureThreshold, r.Slots/pressureSlotDivisor))
}

// RecordPressure records that an answer for an item started later, or had longer pauses, than its targets allow.
func (rt *Router) RecordPressure(item conf.Item) { rt.recordPressure(item.Model, rt.clock.Since()) }

// recordPressure counts a request for an item that went to a replica under pressure or was served too slowly.
func (rt *Router) recordPressure(item string, now time.Duration) {
	rt.pressureMu.Lock()
	defer rt.pressureMu.Unlock()
	p := rt.pressure[item]
	if now-p.since > pressureWindow {
		p = pressureCount{since: now}
	}
	p.count++
	rt.pressure[item] = p
}

// CountWaitingWork counts the predicted work of a request that has to wait, and marks the target
// as counted. The requests that wait for the first copy of a model show how many copies are needed;
// otherwise their work would be counted only once that copy is loaded and already overloaded.
func (rt *Router) CountWaitingWork(t *Target) {
	if rt.deps.PollReplicas || t.Route.Kind != "model" || t.WorkCounted {
		return
	}
	pace, _ := rt.predictor.Pace()
	rt.addWork(t.Item.Model, time.Duration(t.Prompt.Size())*pace)
	t.WorkCounted = true
}

func (rt *Router) addWork(model string, d time.Duration) {
	rt.pressureMu.Lock()
	defer rt.pressureMu.Unlock()
	rt.work[model] += d
}

// PrefillWorkMs returns the predicted prefill time spent on each model so far, in milliseconds.
func (rt *Router) PrefillWorkMs() map[string]uint64 {
	rt.pressureMu.Lock()
	defer rt.pressureMu.Unlock()
	out := make(map[string]uint64, len(rt.work))
	for model, d := range rt.work {
		out[model] = uint64(d.Milliseconds())
	}
	return out
}

// Pressure returns the number of recent requests under pressure for each item that has any.
func (rt *Router) Pressure() map[string]int {
	rt.pressureMu.Lock()
	defer rt.pressureMu.Unlock()
	now := rt.clock.Since()
	out := map[string]int{}
	for item, p := range rt.pressure {
		if now-p.since > 2*pressureWindow {
			delete(rt.pressure, item)
			continue
		}
		out[item] = p.count
	}
	return out
}
