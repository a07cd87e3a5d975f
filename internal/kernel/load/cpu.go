package load

import (
	"time"

	"drumstall.example/internal/kernel/tick"
)

// minMeasurePeriod is the minimum time over which CPU use is measured.
const minMeasurePeriod = 500 * time.Millisecond

// CPUMeter measures the CPU use of this process as a fraction of its CPU share. It is not safe for concurrent use.
type CPUMeter struct {
	clock             tick.Clock
	share             float64 // CPU share in processors; 0 means unknown
	used              func() time.Duration
	measuredAt        time.Duration // time of the last measurement
	usedAtMeasurement time.Duration // processor time used until then
	fraction          float64       // result of the last measurement
}

// NewCPUMeter returns a meter for a CPU share in processors; 0 means unknown.
func NewCPUMeter(clock tick.Clock, share float64) *CPUMeter {
	u := &CPUMeter{clock: clock, share: share, used: func() time.Duration { return processCPUTime().all }}
	u.measuredAt, u.usedAtMeasurement = clock.Since(), u.used()
	return u
}

// Fraction returns CPU use divided by the share over the last measurement period, or 0 if the share is unknown.
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
