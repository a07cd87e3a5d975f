// Package rest limits work that is repeated on demand to a fraction of the time, regardless of how long one run
// takes on the machine.
package rest

import "time"

// Throttle enforces a pause after each run of some work, in proportion to the duration of the run.
// The zero value allows a run at once. It is not safe for concurrent use.
type Throttle struct {
	// Factor is the length of the pause relative to the duration of the run.
	Factor int
	// MaxPause limits the pause; 0 means no limit.
	MaxPause time.Duration
	until    time.Duration
}

// Remaining returns the rest of the pause at the given time on the caller's clock; 0 means that work may run.
func (t *Throttle) Remaining(now time.Duration) time.Duration { return max(0, t.until-now) }

// Record records a run, with its start and end on the caller's clock.
func (t *Throttle) Record(began, ended time.Duration) {
	length := time.Duration(t.Factor) * (ended - began)
	if t.MaxPause > 0 {
		length = min(length, t.MaxPause)
	}
	t.until = ended + length
}
