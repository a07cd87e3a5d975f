package route

import (
	"sync"
	"time"
)

// Attempt is a request that was assigned to a replica. Its callbacks update the
// counters of the replica.
type Attempt struct {
	FirstChunk func() // called when the first chunk of the answer arrives
	Done       func() // called when the attempt has ended
}

// StartAttempt counts a request as in flight on a replica and records that its prompt is
// warm there from now on. The caller ends the count with Done.
func (rt *Router) StartAttempt(t Target, r *Replica) Attempt {
	item, owner := t.Item.String(), rt.ownerOf(t)
	tokens := 0
	if t.Route.Kind == "model" && r.ViaController {
		tokens = t.Prompt.uncachedTokens(rt.prefixes.warmFractions(t.Prompt)[r.Listed.ID])
		r.Live.pendingPrefill.tokens.Add(int64(tokens))
		pace, _ := rt.predictor.Pace()
		if !t.WorkCounted {
			rt.addWork(t.Item.Model, time.Duration(tokens)*pace)
		}
	}
	if t.Route.Kind == "model" {
		if owner.Tenant != "" {
			rt.countPrompt(owner, t.Prompt, r)
		}
		rt.prefixes.add(t.Prompt, r.Listed.ID, owner)
		if r.ViaController && r.underPressure() {
			rt.recordPressure(t.Item.Model, rt.clock.Since())
		}
	}
	r.Live.Inflight.Add(1)
	r.Live.mu.Lock()
	r.Live.itemInflight[item]++
	if owner.Tenant != "" {
		addCount(r.Live.tenantInflight, owner.Tenant, 1)
	}
	r.Live.mu.Unlock()
	if owner.Tenant != "" {
		rt.announcePresence(owner, rt.clock.Since())
	}
	load, sentAt := r.Load(), rt.clock.Since()
	var first, once sync.Once
	firstChunk := func(answered bool) {
		first.Do(func() {
			r.Live.pendingPrefill.tokens.Add(int64(-tokens))
			if answered && tokens > 0 {
				rt.predictor.Learn(tokens, load, rt.clock.Since()-sentAt)
			}
		})
	}
	done := func() {
		firstChunk(false)
		once.Do(func() {
			r.Live.Inflight.Add(-1)
			r.Live.mu.Lock()
			addCount(r.Live.itemInflight, item, -1)
			if owner.Tenant != "" {
				addCount(r.Live.tenantInflight, owner.Tenant, -1)
			}
			r.Live.mu.Unlock()
		})
	}
	return Attempt{FirstChunk: func() { firstChunk(true) }, Done: done}
}

// Inflight returns this proxy's in-flight requests by replica and item.
func (rt *Router) Inflight() map[string]map[string]int {
	out := map[string]map[string]int{}
	for id, r := range rt.Current().Replicas {
		r.Live.mu.Lock()
		if len(r.Live.itemInflight) > 0 {
			m := make(map[string]int, len(r.Live.itemInflight))
			for item, n := range r.Live.itemInflight {
				m[item] = n
			}
			out[id] = m
		}
		r.Live.mu.Unlock()
	}
	return out
}
