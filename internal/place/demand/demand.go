// Package demand records the requests per minute for one item over the past days
// and predicts future requests, as in sections 6.1 and 6.2 (NAC) of the paper.
package demand

import (
	"time"

	"drumstall.example/internal/kernel/wire"
)

// DefaultUnitsPerDay is the length of a demand epoch where Params set none.
const DefaultUnitsPerDay = 1440

// DefaultUnit is the counting unit where the configuration sets none.
const DefaultUnit = time.Minute

// KeptHours is the number of hours of history kept: the seven days used for
// prediction plus today. Hours are stored in a ring of that many keys.
const KeptHours = 8 * 24

// Params holds the configurable weights and lengths of the prediction.
//
// Minutes are counting units and a day is one demand epoch; a deployment whose
// demand changes faster may configure both to be shorter.
type Params struct {
	UnitsPerDay    int64     // counting units in an epoch; 0 means DefaultUnitsPerDay
	DayWeights     []float64 // seven weights, yesterday first
	WarmupMinutes  int
	HorizonMinutes int
}

func (r Params) unitsPerDay() int64 {
	if r.UnitsPerDay > 0 {
		return r.UnitsPerDay
	}
	return DefaultUnitsPerDay
}

// Hour holds the requests of one hour by minute, and the running total of each
// reporter at the time the requests were added.
type Hour struct {
	Hour           int64             `cbor:"1,keyasint"`
	Counts         [60]uint32        `cbor:"2,keyasint"`
	ReporterTotals map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// Pack encodes the hour for the control state.
func (h Hour) Pack() []byte { return wire.Marshal(h) }

// UnpackHour decodes an hour encoded by Pack.
func UnpackHour(b []byte) (Hour, error) {
	var h Hour
	err := wire.Unmarshal(b, &h)
	return h, err
}

// Series is the demand history of one item.
type Series struct {
	hours map[int64]*Hour
	// Sums of today's observed and initially predicted requests, up to and including
	// the minute accuracyThrough; accuracyDay -1 means that they must be recomputed.
	accuracyDay, accuracyThrough int64
	observedSum, predictedSum    float64
}

// NewSeries returns a series without history.
func NewSeries() *Series { return &Series{hours: map[int64]*Hour{}, accuracyDay: -1} }

// MinuteOf returns the number of the counting unit that contains t.
func MinuteOf(t time.Time, unit time.Duration) int64 { return t.UnixNano() / int64(unit) }

// Restore adds an hour that was loaded from the control state.
func (s *Series) Restore(h Hour) { s.hours[h.Hour] = &h; s.accuracyDay = -1 }

// Hour returns a copy of hour n, to be stored.
func (s *Series) Hour(n int64) (Hour, bool) {
	h, found := s.hours[n]
	if !found {
		return Hour{}, false
	}
	return *h, true
}

// Add counts n requests in a minute, and drops hours older than KeptHours.
func (s *Series) Add(minute int64, n uint32) {
	if n == 0 {
		return
	}
	h := s.hours[minute/60]
	if h == nil {
		h = &Hour{Hour: minute / 60}
		s.hours[minute/60] = h
		for old := range s.hours {
			if old <= minute/60-KeptHours {
				delete(s.hours, old)
			}
		}
	}
	h.Counts[minute%60] += n
	// A minute already included in today's accuracy sums has changed.
	if minute <= s.accuracyThrough {
		s.accuracyDay = -1
	}
}

// Observed returns the number of requests counted in a minute.
func (s *Series) Observed(minute int64) uint32 {
	if h := s.hours[minute/60]; h != nil {
		return h.Counts[minute%60]
	}
	return 0
}

// InitialPrediction returns the weighted sum of the same minute over the past seven days.
func (s *Series) InitialPrediction(r Params, minute int64) float64 {
	sum := 0.0
	for d, w := range r.DayWeights {
		if n := s.Observed(minute - int64(d+1)*r.unitsPerDay()); n > 0 {
			sum += float64(n) * w
		}
	}
	return sum
}

// Accuracy returns the ratio of today's observed requests to the initially
// predicted ones up to now. known is false, and acc 1, during the warm-up and
// when nothing was predicted.
func (s *Series) Accuracy(r Params, now int64) (acc float64, known bool) {
	start := now - now%r.unitsPerDay()
	if now < start+int64(r.WarmupMinutes) {
		return 1, false
	}
	// The sums are extended incrementally by the minutes that have ended since the last call.
	if s.accuracyDay != start || s.accuracyThrough > now-1 {
		s.accuracyDay, s.accuracyThrough, s.observedSum, s.predictedSum = start, start-1, 0, 0
	}
	for m := s.accuracyThrough + 1; m <= now-1; m++ {
		s.observedSum += float64(s.Observed(m))
		s.predictedSum += s.InitialPrediction(r, m)
		s.accuracyThrough = m
	}
	if s.predictedSum == 0 {
		return 1, false
	}
	return s.observedSum / s.predictedSum, true
}

// Predict returns the requests expected in a minute, as predicted at now.
func (s *Series) Predict(r Params, now, minute int64) float64 {
	start := minute - minute%r.unitsPerDay()
	if warm := int64(r.WarmupMinutes); minute < start+warm {
		// The prediction is constant throughout the warm-up. The paper gives the sum over
		// the warm-up as the value of each minute; the mean keeps the unit per minute.
		sum := 0.0
		for m := start; m < start+warm; m++ {
			sum += s.InitialPrediction(r, m)
		}
		return sum / float64(warm)
	}
	acc, _ := s.Accuracy(r, now)
	return s.InitialPrediction(r, minute) * acc
}

// PredictHorizon returns the requests expected over the horizon that starts now.
// Without a prediction from history it returns the requests observed over the last
// horizon plus those waiting now; this fallback is not part of the paper.
func (s *Series) PredictHorizon(r Params, now int64, waiting int) float64 {
	sum := 0.0
	for m := now; m < now+int64(r.HorizonMinutes); m++ {
		sum += s.Predict(r, now, m)
	}
	if sum > 0 {
		return sum
	}
	for m := now - int64(r.HorizonMinutes) + 1; m <= now; m++ {
		sum += float64(s.Observed(m))
	}
	return sum + float64(waiting)
}

// MinuteClock counts minutes by the wall clock but never reports the same minute
// as fresh again after the wall clock was set back.
type MinuteClock struct {
	unit          time.Duration
	anchorWall    time.Time
	anchorElapsed time.Duration
	latest        int64
	setBack       bool          // the clock was set back to before latest
	skewedSince   time.Duration // when the wall clock began to disagree; -1 while it agrees
}

// The wall clock is distrusted when it differs by maxClockSkew or more from the
// clock derived from elapsed time, and adopted again once it has kept differing
// for longer than skewConfirmation.
const (
	maxClockSkew     = 90 * time.Second
	skewConfirmation = 10 * time.Minute
)

// NewMinuteClock returns a clock that starts at the given wall time, where since is
// the elapsed time of the process and unit the length of a minute.
func NewMinuteClock(wall time.Time, since, unit time.Duration) *MinuteClock {
	return &MinuteClock{unit: unit, anchorWall: wall, anchorElapsed: since, skewedSince: -1}
}

// Now returns the current minute. fresh is false if the minute had already passed
// before the clock was set back, in which case nothing may be added to it.
func (m *MinuteClock) Now(wall time.Time, since time.Duration) (minute int64, fresh bool) {
	derived := m.anchorWall.Add(since - m.anchorElapsed)
	diff := wall.Sub(derived)
	switch {
	case diff < maxClockSkew && diff > -maxClockSkew:
		m.skewedSince = -1
	case m.skewedSince < 0:
		m.skewedSince = since
	case since-m.skewedSince > skewConfirmation:
		// A wall clock that keeps its new time is right; a jump that is reverted sooner is ignored.
		m.anchorWall, m.anchorElapsed, m.skewedSince, derived = wall, since, -1, wall
	}
	minute = MinuteOf(derived, m.unit)
	// Once the clock was set back, the minute counted last is complete as well.
	if minute < m.latest {
		m.setBack = true
		return minute, false
	}
	if minute == m.latest && m.setBack {
		return minute, false
	}
	m.latest, m.setBack = minute, false
	return minute, true
}
