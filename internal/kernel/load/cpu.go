package load

import (
	"time"

	"drumstall.example/internal/kernel/tick"
)

// useSpan is the time over which the use of the processor is measured at least.
const minMeasurePeriod = 500 * time.Millisecond

// Use measures which part of the processor time that it may use this process does use. One goroutine may ask it.
type CPUMeter struct {
	clock             tick.Clock
	share             float64 // of one processor; 0 is not known
	used              func() time.Duration
	measuredAt        time.Duration // of the last measurement
	usedAtMeasurement time.Duration // until then
	fraction          float64       // between the last two
}

// NewUse measures against a share of one processor; 0 is not known.
func NewCPUMeter(clock tick.Clock, share float64) *CPUMeter {
	u := &CPUMeter{clock: clock, share: share, used: func() time.Duration { return processCPUTime().all }}
	u.measuredAt, u.usedAtMeasurement = clock.Since(), u.used()
	return u
}

// Part is the part that was used lately, from 0 up; 0 if the share is not known.
func (u *CPUMeter) Fraction() float64 {
	if u.share <= 0 {
		return 0
	}
	now := u.clock.Since()
	if took := now - u.measuredAt; took >= minMeasurePeriod {
		spent := u.used()
		u.fraction = (spent - u.usedAtMeasurement).Seconds() / (took.Seconds() * u.share)
		u.measuredAt, u.usedAtMeasurement = now, spent
	}
	return u.fraction
}
