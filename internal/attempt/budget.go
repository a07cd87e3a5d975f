package attempt

import "sync"

// Budget bounds retries to a service: a token bucket that fills by a ratio of
// the first attempts and never holds more than this edge's share of the allowance.
// So retries in any span are at most that ratio of the span's attempts and the share.
type Budget struct {
	ratio float64
	mu    sync.Mutex
	purse map[string]purse
}

// purse is what one service's retries may still take.
type purse struct {
	tokens float64
	kept   int // set aside by attempts that may need one
}

// NewBudget allows retries of a ratio of the traffic and starts empty: a
// restart gives no new allowance.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, purse: map[string]purse{}} }

func (b *Budget) change(service string, f func(p purse) (purse, bool)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := f(b.purse[service])
	b.purse[service] = p
	return ok
}

// First notes a first attempt to a service.
func (b *Budget) First(service string, share float64) {
	b.change(service, func(p purse) (purse, bool) {
		// Why: what is set aside may be spent at any time, so it counts against the share.
		p.tokens = max(0, min(p.tokens+b.ratio, share-float64(p.kept)))
		return p, true
	})
}

func (b *Budget) take(service string, kept int) bool {
	return b.change(service, func(p purse) (purse, bool) {
		if p.tokens < 1 {
			return p, false
		}
		p.tokens--
		p.kept += kept
		return p, true
	})
}

// Retry takes one retry, if there is one.
func (b *Budget) Retry(service string) bool { return b.take(service, 0) }

// Keep sets one retry aside, if there is one, until it is spent or given back.
func (b *Budget) Keep(service string) bool { return b.take(service, 1) }

// Spend uses a retry that was set aside.
func (b *Budget) Spend(service string) {
	b.change(service, func(p purse) (purse, bool) { p.kept--; return p, true })
}

// Return gives back a retry that was set aside and not needed.
func (b *Budget) Return(service string) {
	b.change(service, func(p purse) (purse, bool) { p.kept--; p.tokens++; return p, true })
}
