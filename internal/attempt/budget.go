package attempt

import "sync"

// Budget bounds retries to a service: a token bucket that fills by a ratio of
// the first attempts and never holds more than this edge's share of the allowance.
// So retries in any span are at most that ratio of the span's attempts and the share.
type Budget struct {
	ratio   float64
	mu      sync.Mutex
	buckets map[string]bucket
}

// purse is what one service's retries may still take.
type bucket struct {
	tokens   float64
	reserved int // set aside by attempts that may need one
}

// NewBudget allows retries of a ratio of the traffic and starts empty: a
// restart gives no new allowance.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, buckets: map[string]bucket{}} }

func (b *Budget) update(service string, f func(p bucket) (bucket, bool)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := f(b.buckets[service])
	b.buckets[service] = p
	return ok
}

// First notes a first attempt to a service.
func (b *Budget) RecordFirst(service string, share float64) {
	b.update(service, func(p bucket) (bucket, bool) {
		// Why: what is set aside may be spent at any time, so it counts against the share.
		p.tokens = max(0, min(p.tokens+b.ratio, share-float64(p.reserved)))
		return p, true
	})
}

func (b *Budget) take(service string, kept int) bool {
	return b.update(service, func(p bucket) (bucket, bool) {
		if p.tokens < 1 {
			return p, false
		}
		p.tokens--
		p.reserved += kept
		return p, true
	})
}

// Retry takes one retry, if there is one.
func (b *Budget) TakeRetry(service string) bool { return b.take(service, 0) }

// Keep sets one retry aside, if there is one, until it is spent or given back.
func (b *Budget) Reserve(service string) bool { return b.take(service, 1) }

// Spend uses a retry that was set aside.
func (b *Budget) SpendReserved(service string) {
	b.update(service, func(p bucket) (bucket, bool) { p.reserved--; return p, true })
}

// Return gives back a retry that was set aside and not needed.
func (b *Budget) ReleaseReserved(service string) {
	b.update(service, func(p bucket) (bucket, bool) { p.reserved--; p.tokens++; return p, true })
}
