package route

import (
	"sync"
	"time"
)

// Place is what a request takes at a replica.
type Place struct {
	Begun func() // its first piece has come
	Done  func() // it has ended
}

// Took remembers where a prefix is warm now, counts the request there, and
// gives back how to uncount it.
func (k *Keeper) Took(t Target, r *Replica) Place {
	item, by := t.Item.String(), k.owner(t)
	tokens := 0
	if t.Route.Kind == "model" && r.Told {
		tokens = t.Prompt.uncached(k.warmth.warm(t.Prompt)[r.Listed.ID])
		r.Live.unread.tokens.Add(int64(tokens))
		pace, _ := k.predictor.Pace()
		if !t.Counted {
			k.addWork(t.Item.Model, time.Duration(tokens)*pace)
		}
	}
	if t.Route.Kind == "model" {
		if by.Tenant != "" {
			k.countFor(by, t.Prompt, r)
		}
		k.warmth.sent(t.Prompt, r.Listed.ID, by)
		if r.Told && r.pressed() {
			k.press(t.Item.Model, k.clock.Since())
		}
	}
	r.Live.Inflight.Add(1)
	r.Live.mu.Lock()
	r.Live.items[item]++
	if by.Tenant != "" {
		count(r.Live.tenants, by.Tenant, 1)
	}
	r.Live.mu.Unlock()
	if by.Tenant != "" {
		k.tellPresence(by, k.clock.Since())
	}
	load, sentAt := r.Load(), k.clock.Since()
	var first, once sync.Once
	begun := func(answered bool) {
		first.Do(func() {
			r.Live.unread.tokens.Add(int64(-tokens))
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
			count(r.Live.items, item, -1)
			if by.Tenant != "" {
				count(r.Live.tenants, by.Tenant, -1)
			}
			r.Live.mu.Unlock()
		})
	}
	return Place{Begun: func() { begun(true) }, Done: done}
}

// Inflight is what this proxy has on each replica now.
func (k *Keeper) Inflight() map[string]map[string]int {
	out := map[string]map[string]int{}
	for id, r := range k.Now().Replicas {
		r.Live.mu.Lock()
		if len(r.Live.items) > 0 {
			m := make(map[string]int, len(r.Live.items))
			for item, n := range r.Live.items {
				m[item] = n
			}
			out[id] = m
		}
		r.Live.mu.Unlock()
	}
	return out
}
