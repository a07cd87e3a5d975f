package attempt

import "sync"

// Budget limits the retries to each service with a token bucket that fills by a ratio of
// the first attempts and never holds more than this edge's share of the fleet's allowance.
// In any period, the number of retries is at most that ratio of the period's first attempts plus the share.
type Budget struct {
	ratio   float64
	mu      sync.Mutex
	buckets map[string]bucket
}

// bucket is the token bucket of one service.
type bucket struct {
	tokens   float64
	reserved int // retries reserved by attempts that may need one
}

// NewBudget returns a budget that allows retries for the given ratio of the traffic. It starts empty, so that a
// restart gives no new allowance.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, buckets: map[string]bucket{}} }

func (b *Budget) update(service string, f func(p bucket) (bucket, bool)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := f(b.buckets[service])
	b.buckets[service] = p
	return ok
}

// RecordFirst records a first attempt to a service.
func (b *Budget) RecordFirst(service string, share float64) {
	b.update(service, func(p bucket) (bucket, bool) {
		// Reserved retries may be spent at any time, so they count against the share.
		p.tokens = max(0, min(p.tokens+b.ratio, share-float64(p.reserved)))
		return p, true
	})
}

func (b *Budget) take(service string, reserved int) bool {
	return b.update(service, func(p bucket) (bucket, bool) {
		if p.tokens < 1 {
			return p, false
		}
		p.tokens--
		p.reserved += reserved
		return p, true
	})
}

// TakeRetry takes one retry, if there is one.
func (b *Budget) TakeRetry(service string) bool { return b.take(service, 0) }

// Reserve reserves one retry, if there is one, until it is spent or released.
func (b *Budget) Reserve(service string) bool { return b.take(service, 1) }

// SpendReserved uses a reserved retry.
func (b *Budget) SpendReserved(service string) {
	b.update(service, func(p bucket) (bucket, bool) { p.reserved--; return p, true })
}

// ReleaseReserved returns a reserved retry that was not needed.
func (b *Budget) ReleaseReserved(service string) {
	b.update(service, func(p bucket) (bucket, bool) { p.reserved--; p.tokens++; return p, true })
}
