package owner

import (
	"sync/atomic"
	"time"

	"drumstall.example/internal/state"
)

// orders keeps in mind when orders were sent under the lease of a slot. Its methods may be called from anywhere.
type orderActivity struct {
	inFlight  atomic.Int64 // orders that have not ended
	lastEnded atomic.Int64 // when one ended last, or else when the lease began, on our clock
}

// begin starts a lease under which nothing has been ordered.
func (o *orderActivity) reset(now time.Duration) { o.lastEnded.Store(int64(now)) }

// quietFor is for how long no order has been under way.
func (o *orderActivity) idleFor(now time.Duration) time.Duration {
	if o.inFlight.Load() > 0 {
		return 0
	}
	return max(0, now-time.Duration(o.lastEnded.Load()))
}

// Ordering notes that an order for a key is about to be sent; ended is called when it has been answered, or
// waits for its answer no more. It comes before MayOrder is asked, so that a slot that is let go of just then does
// not count as quiet.
func (o *Owner) BeginOrder(key string) (ended func()) {
	s := o.slots[state.SlotOf(key)]
	s.orders.inFlight.Add(1)
	return func() {
		s.orders.lastEnded.Store(int64(o.d.Clock.Since()))
		s.orders.inFlight.Add(-1)
	}
}
