// Package rest keeps work that is repeated on demand to a part of the time, whatever
// one piece of it takes on the machine at hand.
package rest

import "time"

// Rest says when a piece of work may be done again: not before a rest that is so many times as
// long as the last piece took. The zero value has rested. It is used by one goroutine at a time.
type Throttle struct {
	// Times as long as the work took is the rest after it.
	Factor int
	// Most bounds a rest; 0 bounds none.
	MaxPause time.Duration
	until    time.Duration
}

// Left is how much of the rest is left at a time on the caller's clock; 0 is none.
func (r *Throttle) Remaining(now time.Duration) time.Duration { return max(0, r.until-now) }

// Worked notes a piece of work, by the caller's clock.
func (r *Throttle) Record(began, ended time.Duration) {
	length := time.Duration(r.Factor) * (ended - began)
	if r.MaxPause > 0 {
		length = min(length, r.MaxPause)
	}
	r.until = ended + length
}
