package demand

import (
	"math"
	"testing"
	"time"
)

var rule = Rule{DayWeights: []float64{0.25, 0.1, 0.1, 0.1, 0.1, 0.1, 0.25}, WarmupMinutes: 30, HorizonMinutes: 60}

const day0 = int64(20_000) * DayMinutes

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestEachDayHasItsWeight(t *testing.T) {
	noon := day0 + 720
	for d, w := range rule.DayWeights {
		s := NewSeries()
		s.Add(noon-int64(d+1)*DayMinutes, 100)
		near(t, "initial", s.Initial(rule, noon), 100*w)
		near(t, "a minute later", s.Initial(rule, noon+1), 0)
	}
}

// week fills seven days with n requests a minute.
func week(s *Series, n func(minute int64) uint32) {
	for m := day0 - 7*DayMinutes; m < day0; m++ {
		s.Add(m, n(m))
	}
}

func TestPredictionIsConstantInTheWarmUpThenScaled(t *testing.T) {
	s := NewSeries()
	week(s, func(m int64) uint32 { return uint32(1 + m%DayMinutes%30) }) // mean 15.5 over any half hour
	for m := day0; m < day0+30; m += 7 {
		near(t, "warm-up", s.Predict(rule, day0+5, m), 15.5)
	}
	// Today brings twice as much: after the warm-up everything is scaled by two.
	for m := day0; m < day0+120; m++ {
		s.Add(m, 2*uint32(1+m%DayMinutes%30))
	}
	near(t, "warm-up, whatever today brings", s.Predict(rule, day0+29, day0+29), 15.5)
	acc, known := s.Accuracy(rule, day0+60)
	if !known {
		t.Error("accuracy is not known after the warm-up")
	}
	near(t, "accuracy", acc, 2)
	near(t, "prediction", s.Predict(rule, day0+60, day0+75), 2*16)
	near(t, "next hour", s.Next(rule, day0+60, 0), 2*60*15.5)
	// A minute that changes after it was summed counts.
	s.Add(day0+59, 1000)
	if acc, _ := s.Accuracy(rule, day0+60); acc < 2.5 {
		t.Errorf("a late count changed the accuracy only to %v", acc)
	}
	// The next day starts anew.
	if _, known := s.Accuracy(rule, day0+DayMinutes+3); known {
		t.Error("accuracy is carried into the next epoch's warm-up")
	}
}

func TestWithoutAPast(t *testing.T) {
	s := NewSeries()
	near(t, "nothing at all", s.Next(rule, day0+100, 0), 0)
	near(t, "only those waiting", s.Next(rule, day0+100, 7), 7)
	s.Add(day0+50, 3)
	s.Add(day0+30, 9) // 70 minutes ago
	near(t, "the last hour and those waiting", s.Next(rule, day0+100, 7), 10)
	if _, known := s.Accuracy(rule, day0+100); known {
		t.Error("accuracy over nothing predicted is known")
	}
}

func TestOldHoursAreLetGoAndKeptOnesComeBack(t *testing.T) {
	s := NewSeries()
	s.Add(day0, 5)
	h, found := s.Hour(day0 / 60)
	if !found {
		t.Fatal("no hour")
	}
	back, err := UnpackHour(h.Pack())
	if err != nil {
		t.Fatal(err)
	}
	o := NewSeries()
	o.Lay(back)
	near(t, "after a take-over", float64(o.At(day0)), 5)
	s.Add(day0+8*DayMinutes+60, 1)
	if _, found := s.Hour(day0 / 60); found {
		t.Error("an hour of more than eight days ago is still held")
	}
}

func TestNoMinuteRunsTwice(t *testing.T) {
	wall := time.Unix(day0*60, 0)
	m := NewMinutes(wall, 0, Minute)
	counted := map[int64]time.Duration{}
	off := time.Duration(0)
	last := int64(0)
	for since := time.Duration(0); since < 6*time.Hour; since += 10 * time.Second {
		switch since {
		case time.Hour:
			off = 26 * time.Hour // a jump that comes back
		case time.Hour + 5*time.Minute:
			off = 0
		case 2 * time.Hour:
			off = -3 * time.Hour // one that stays
		}
		minute, fresh := m.Now(wall.Add(since+off), since)
		if fresh {
			if minute < last {
				t.Fatalf("at %v a fresh minute %d after %d", since, minute, last)
			}
			last = minute
			if first, found := counted[minute]; found && since-first > time.Minute {
				t.Fatalf("minute %d counted at %v and again at %v", minute, first, since)
			} else if !found {
				counted[minute] = since
			}
		}
		if since == time.Hour+4*time.Minute && minute != day0+64 {
			t.Errorf("a short jump was believed: minute %d", minute-day0)
		}
	}
	if minute, _ := m.Now(wall.Add(6*time.Hour+off), 6*time.Hour); minute != day0+180 {
		t.Errorf("a jump that stayed was not believed: minute %d", minute-day0)
	}
}
