// Package demand keeps requests per minute of one item over the past days and
// predicts the next ones: the paper's section 6.1 and 6.2 (NAC).
package demand

import (
	"time"

	"drumstall.example/internal/kernel/wire"
)

// DayMinutes is the length of an epoch where a rule gives none.
const DayMinutes = 1440

// Minute is the unit that requests are counted by where a rule gives none.
const Minute = time.Minute

// KeptHours is how many hours are kept: the seven days that predict, and
// today's. Hours are stored in a ring of that many keys.
const KeptHours = 8 * 24

// Rule is the free part of the design: weights and lengths.
//
// A rule's minute is its unit of counting and its day the epoch; a deployment
// that lives faster may make both shorter.
type Rule struct {
	Day            int64     // units in an epoch; 0 is DayMinutes
	DayWeights     []float64 // yesterday first, seven of them
	WarmupMinutes  int
	HorizonMinutes int
}

func (r Rule) day() int64 {
	if r.Day > 0 {
		return r.Day
	}
	return DayMinutes
}

// Hour is the requests of one hour by minute, and how far each reporter had
// counted when they were added up.
type Hour struct {
	Hour   int64             `cbor:"1,keyasint"`
	Counts [60]uint32        `cbor:"2,keyasint"`
	Seen   map[string]uint64 `cbor:"3,keyasint,omitempty"`
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
	accDay, accAt    int64
	accSeen, accInit float64
}

// NewSeries has no history.
func NewSeries() *Series { return &Series{hours: map[int64]*Hour{}, accDay: -1} }

// MinuteOf is the number of a wall-clock unit.
func MinuteOf(t time.Time, unit time.Duration) int64 { return t.UnixNano() / int64(unit) }

// Lay puts back an hour that was kept.
func (s *Series) Lay(h Hour) { s.hours[h.Hour] = &h; s.accDay = -1 }

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
	if minute <= s.accAt {
		s.accDay = -1
	}
}

// At is what was observed in a minute.
func (s *Series) At(minute int64) uint32 {
	if h := s.hours[minute/60]; h != nil {
		return h.Counts[minute%60]
	}
	return 0
}

// Initial is the weighted sum of the same minute on the past seven days.
func (s *Series) Initial(r Rule, minute int64) float64 {
	sum := 0.0
	for d, w := range r.DayWeights {
		if n := s.At(minute - int64(d+1)*r.day()); n > 0 {
			sum += float64(n) * w
		}
	}
	return sum
}

// Accuracy is today's observed over first-predicted requests up to now; known
// is false while it says nothing: in the warm-up, or with nothing predicted.
func (s *Series) Accuracy(r Rule, now int64) (acc float64, known bool) {
	start := now - now%r.day()
	if now < start+int64(r.WarmupMinutes) {
		return 1, false
	}
	// Why: computed once a minute by adding the minutes that have ended since.
	if s.accDay != start || s.accAt > now-1 {
		s.accDay, s.accAt, s.accSeen, s.accInit = start, start-1, 0, 0
	}
	for m := s.accAt + 1; m <= now-1; m++ {
		s.accSeen += float64(s.At(m))
		s.accInit += s.Initial(r, m)
		s.accAt = m
	}
	if s.accInit == 0 {
		return 1, false
	}
	return s.accSeen / s.accInit, true
}

// Predict is the requests expected in a minute, as seen from now.
func (s *Series) Predict(r Rule, now, minute int64) float64 {
	start := minute - minute%r.day()
	if warm := int64(r.WarmupMinutes); minute < start+warm {
		// Why: held constant through the warm-up. The paper prints the sum over the
		// warm-up as each minute's value; its mean keeps the unit a minute.
		sum := 0.0
		for m := start; m < start+warm; m++ {
			sum += s.Initial(r, m)
		}
		return sum / float64(warm)
	}
	acc, _ := s.Accuracy(r, now)
	return s.Initial(r, minute) * acc
}

// Next is the requests expected over the horizon from now on. Where the past
// says nothing, it is what the last horizon saw and what waits now (ours).
func (s *Series) Next(r Rule, now int64, waiting int) float64 {
	sum := 0.0
	for m := now; m < now+int64(r.HorizonMinutes); m++ {
		sum += s.Predict(r, now, m)
	}
	if sum > 0 {
		return sum
	}
	for m := now - int64(r.HorizonMinutes) + 1; m <= now; m++ {
		sum += float64(s.At(m))
	}
	return sum + float64(waiting)
}

// Minutes is a clock of minutes that follows the wall but never runs twice
// through the same one.
type Minutes struct {
	unit    time.Duration
	anchor  time.Time
	from    time.Duration
	highest int64
	lapsed  bool          // the clock was set back behind highest
	off     time.Duration // since when the wall has disagreed
}

// sound is how far the wall may differ before it is doubted, and patience for
// how long it must go on differing before it is believed.
const (
	sound    = 90 * time.Second
	patience = 10 * time.Minute
)

// NewMinutes starts at the wall's time.
func NewMinutes(wall time.Time, since, unit time.Duration) *Minutes {
	return &Minutes{unit: unit, anchor: wall, from: since, off: -1}
}

// Now is the current minute; fresh is false while the minute was already
// counted before the clock was set back, so that nothing is added to it.
func (m *Minutes) Now(wall time.Time, since time.Duration) (minute int64, fresh bool) {
	own := m.anchor.Add(since - m.from)
	diff := wall.Sub(own)
	switch {
	case diff < sound && diff > -sound:
		m.off = -1
	case m.off < 0:
		m.off = since
	case since-m.off > patience:
		// Why: a wall that keeps its new time is right; one that jumps and comes back was not.
		m.anchor, m.from, m.off, own = wall, since, -1, wall
	}
	minute = MinuteOf(own, m.unit)
	// Why: once set back, the minute that was counted last is over too.
	if minute < m.highest {
		m.lapsed = true
		return minute, false
	}
	if minute == m.highest && m.lapsed {
		return minute, false
	}
	m.highest, m.lapsed = minute, false
	return minute, true
}
