package route

import (
	"sync"
	"time"
)

// Place is what a request takes at a replica.
type Attempt struct {
	FirstChunk func() // its first piece has come
	Done       func() // it has ended
}

// Took remembers where a prefix is warm now, counts the request there, and
// gives back how to uncount it.
func (k *Router) StartAttempt(t Target, r *Replica) Attempt {
	item, by := t.Item.String(), k.ownerOf(t)
	tokens := 0
	if t.Route.Kind == "model" && r.Told {
		tokens = t.Prompt.uncachedTokens(k.prefixes.warmFractions(t.Prompt)[r.Listed.ID])
		r.Live.pendingPrefill.tokens.Add(int64(tokens))
		pace, _ := k.predictor.Pace()
		if !t.Counted {
			k.addWork(t.Item.Model, time.Duration(tokens)*pace)
		}
	}
	if t.Route.Kind == "model" {
		if by.Tenant != "" {
			k.countPrompt(by, t.Prompt, r)
		}
		k.prefixes.add(t.Prompt, r.Listed.ID, by)
		if r.Told && r.underPressure() {
			k.recordPressure(t.Item.Model, k.clock.Since())
		}
	}
	r.Live.Inflight.Add(1)
	r.Live.mu.Lock()
	r.Live.itemInflight[item]++
	if by.Tenant != "" {
		addCount(r.Live.tenantInflight, by.Tenant, 1)
	}
	r.Live.mu.Unlock()
	if by.Tenant != "" {
		k.announcePresence(by, k.clock.Since())
	}
	load, sentAt := r.Load(), k.clock.Since()
	var first, once sync.Once
	begun := func(answered bool) {
		first.Do(func() {
			r.Live.pendingPrefill.tokens.Add(int64(-tokens))
			if answered && tokens > 0 {
				k.predictor.Learn(tokens, load, k.clock.Since()-sentAt)
			}
		})
	}
	done := func() {
		begun(false)
		once.Do(func() {
			r.Live.Inflight.Add(-1)
			r.Live.mu.Lock()
			addCount(r.Live.itemInflight, item, -1)
			if by.Tenant != "" {
				addCount(r.Live.tenantInflight, by.Tenant, -1)
			}
			r.Live.mu.Unlock()
		})
	}
	return Attempt{FirstChunk: func() { begun(true) }, Done: done}
}

// Inflight is what this proxy has on each replica now.
func (k *Router) Inflight() map[string]map[string]int {
	out := map[string]map[string]int{}
	for id, r := range k.Current().Replicas {
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
