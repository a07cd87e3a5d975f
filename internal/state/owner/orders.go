package owner

import (
	"sync/atomic"
	"time"

	"drumstall.example/internal/state"
)

// orderActivity tracks when orders were in flight under the lease of a slot. Its methods are safe for concurrent use.
type orderActivity struct {
	inFlight  atomic.Int64 // number of orders in flight
	lastEnded atomic.Int64 // when the last order ended or, without any, when the lease began, on the local clock
}

// reset starts a new lease, under which no order has been sent.
func (o *orderActivity) reset(now time.Duration) { o.lastEnded.Store(int64(now)) }

// idleFor returns how long no order has been in flight.
func (o *orderActivity) idleFor(now time.Duration) time.Duration {
	if o.inFlight.Load() > 0 {
		return 0
	}
	return max(0, now-time.Duration(o.lastEnded.Load()))
}

// BeginOrder records that an order for a key is about to be sent. The caller calls ended once the order is answered or
// no longer waited for. BeginOrder must be called before MayOrder, so that a slot released in between does
// not count as idle.
func (o *Owner) BeginOrder(key string) (ended func()) {
	s := o.slots[state.SlotOf(key)]
	s.orders.inFlight.Add(1)
	return func() {
		s.orders.lastEnded.Store(int64(o.d.Clock.Since()))
		s.orders.inFlight.Add(-1)
	}
}
