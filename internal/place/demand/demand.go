// Package demand keeps requests per minute of one item over the past days and
// predicts the next ones: the paper's section 6.1 and 6.2 (NAC).
package demand

import (
	"time"

	"drumstall.example/internal/kernel/wire"
)

// DayMinutes is the length of an epoch where a rule gives none.
const DefaultUnitsPerDay = 1440

// Minute is the unit that requests are counted by where a rule gives none.
const DefaultUnit = time.Minute

// KeptHours is how many hours are kept: the seven days that predict, and
// today's. Hours are stored in a ring of that many keys.
const KeptHours = 8 * 24

// Rule is the free part of the design: weights and lengths.
//
// A rule's minute is its unit of counting and its day the epoch; a deployment
// that lives faster may make both shorter.
type Params struct {
	Day            int64     // units in an epoch; 0 is DayMinutes
	DayWeights     []float64 // yesterday first, seven of them
	WarmupMinutes  int
	HorizonMinutes int
}

func (r Params) unitsPerDay() int64 {
	if r.Day > 0 {
		return r.Day
	}
	return DefaultUnitsPerDay
}

// Hour is the requests of one hour by minute, and how far each reporter had
// counted when they were added up.
type Hour struct {
	Hour           int64             `cbor:"1,keyasint"`
	Counts         [60]uint32        `cbor:"2,keyasint"`
	ReporterTotals map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// Pack encodes for the control state.
func (h Hour) Pack() []byte { return wire.Pack(h) }

// UnpackHour reads what Pack wrote.
func UnpackHour(b []byte) (Hour, error) {
	var h Hour
	err := wire.Unpack(b, &h)
	return h, err
}

// Series is the history of one item.
type Series struct {
	hours map[int64]*Hour
	// Sums of today's observed and first-predicted requests, up to accAt.
	accuracyDay, accuracyThrough int64
	observedSum, predictedSum    float64
}

// NewSeries has no history.
func NewSeries() *Series { return &Series{hours: map[int64]*Hour{}, accuracyDay: -1} }

// MinuteOf is the number of a wall-clock unit.
func MinuteOf(t time.Time, unit time.Duration) int64 { return t.UnixNano() / int64(unit) }

// Lay puts back an hour that was kept.
func (s *Series) Restore(h Hour) { s.hours[h.Hour] = &h; s.accuracyDay = -1 }

// Hour gives a copy of an hour for keeping.
func (s *Series) Hour(n int64) (Hour, bool) {
	h, found := s.hours[n]
	if !found {
		return Hour{}, false
	}
	return *h, true
}

// Add counts n requests in a minute.
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
	// Why: a minute already summed into today's accuracy has changed.
	if minute <= s.accuracyThrough {
		s.accuracyDay = -1
	}
}

// At is what was observed in a minute.
func (s *Series) Observed(minute int64) uint32 {
	if h := s.hours[minute/60]; h != nil {
		return h.Counts[minute%60]
	}
	return 0
}

// Initial is the weighted sum of the same minute on the past seven days.
func (s *Series) InitialPrediction(r Params, minute int64) float64 {
	sum := 0.0
	for d, w := range r.DayWeights {
		if n := s.Observed(minute - int64(d+1)*r.unitsPerDay()); n > 0 {
			sum += float64(n) * w
		}
	}
	return sum
}

// Accuracy is today's observed over first-predicted requests up to now; known
// is false while it says nothing: in the warm-up, or with nothing predicted.
func (s *Series) Accuracy(r Params, now int64) (acc float64, known bool) {
	start := now - now%r.unitsPerDay()
	if now < start+int64(r.WarmupMinutes) {
		return 1, false
	}
	// Why: computed once a minute by adding the minutes that have ended since.
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

// Predict is the requests expected in a minute, as seen from now.
func (s *Series) Predict(r Params, now, minute int64) float64 {
	start := minute - minute%r.unitsPerDay()
	if warm := int64(r.WarmupMinutes); minute < start+warm {
		// Why: held constant through the warm-up. The paper prints the sum over the
		// warm-up as each minute's value; its mean keeps the unit a minute.
		sum := 0.0
		for m := start; m < start+warm; m++ {
			sum += s.InitialPrediction(r, m)
		}
		return sum / float64(warm)
	}
	acc, _ := s.Accuracy(r, now)
	return s.InitialPrediction(r, minute) * acc
}

// Next is the requests expected over the horizon from now on. Where the past
// says nothing, it is what the last horizon saw and what waits now (ours).
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

// Minutes is a clock of minutes that follows the wall but never runs twice
// through the same one.
type MinuteClock struct {
	unit          time.Duration
	anchorWall    time.Time
	anchorElapsed time.Duration
	latest        int64
	setBack       bool          // the clock was set back behind highest
	skewedSince   time.Duration // since when the wall has disagreed
}

// sound is how far the wall may differ before it is doubted, and patience for
// how long it must go on differing before it is believed.
const (
	maxClockSkew     = 90 * time.Second
	skewConfirmation = 10 * time.Minute
)

// NewMinutes starts at the wall's time.
func NewMinuteClock(wall time.Time, since, unit time.Duration) *MinuteClock {
	return &MinuteClock{unit: unit, anchorWall: wall, anchorElapsed: since, skewedSince: -1}
}

// Now is the current minute; fresh is false while the minute was already
// counted before the clock was set back, so that nothing is added to it.
func (m *MinuteClock) Now(wall time.Time, since time.Duration) (minute int64, fresh bool) {
	own := m.anchorWall.Add(since - m.anchorElapsed)
	diff := wall.Sub(own)
	switch {
	case diff < maxClockSkew && diff > -maxClockSkew:
		m.skewedSince = -1
	case m.skewedSince < 0:
		m.skewedSince = since
	case since-m.skewedSince > skewConfirmation:
		// Why: a wall that keeps its new time is right; one that jumps and comes back was not.
		m.anchorWall, m.anchorElapsed, m.skewedSince, own = wall, since, -1, wall
	}
	minute = MinuteOf(own, m.unit)
	// Why: once set back, the minute that was counted last is over too.
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
