package load

import (
	"time"

	"drumstall.example/internal/kernel/tick"
)

// useSpan is the time over which the use of the processor is measured at least.
const useSpan = 500 * time.Millisecond

// Use measures which part of the processor time that it may use this process does use. One goroutine may ask it.
type Use struct {
	clock tick.Clock
	share float64 // of one processor; 0 is not known
	used  func() time.Duration
	at    time.Duration // of the last measurement
	spent time.Duration // until then
	part  float64       // between the last two
}

// NewUse measures against a share of one processor; 0 is not known.
func NewUse(clock tick.Clock, share float64) *Use {
	u := &Use{clock: clock, share: share, used: func() time.Duration { return used().all }}
	u.at, u.spent = clock.Since(), u.used()
	return u
}

// Part is the part that was used lately, from 0 up; 0 if the share is not known.
func (u *Use) Part() float64 {
	if u.share <= 0 {
		return 0
	}
	now := u.clock.Since()
	if took := now - u.at; took >= useSpan {
		spent := u.used()
		u.part = (spent - u.spent).Seconds() / (took.Seconds() * u.share)
		u.at, u.spent = now, spent
	}
	return u.part
}
