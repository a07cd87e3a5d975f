package demand

import (
	"math"
	"testing"
	"time"
)

var testParams = Params{DayWeights: []float64{0.25, 0.1, 0.1, 0.1, 0.1, 0.1, 0.25}, WarmupMinutes: 30, HorizonMinutes: 60}

const firstMinute = int64(20_000) * DefaultUnitsPerDay

func checkClose(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestInitialPredictionWeighsEachDay(t *testing.T) {
	noon := firstMinute + 720
	for d, w := range testParams.DayWeights {
		s := NewSeries()
		s.Add(noon-int64(d+1)*DefaultUnitsPerDay, 100)
		checkClose(t, "initial", s.InitialPrediction(testParams, noon), 100*w)
		checkClose(t, "a minute later", s.InitialPrediction(testParams, noon+1), 0)
	}
}

// week fills seven days with n requests a minute.
func addWeek(s *Series, n func(minute int64) uint32) {
	for m := firstMinute - 7*DefaultUnitsPerDay; m < firstMinute; m++ {
		s.Add(m, n(m))
	}
}

func TestPredictionIsConstantInTheWarmUpThenScaled(t *testing.T) {
	s := NewSeries()
	addWeek(s, func(m int64) uint32 { return uint32(1 + m%DefaultUnitsPerDay%30) }) // mean 15.5 over any half hour
	for m := firstMinute; m < firstMinute+30; m += 7 {
		checkClose(t, "warm-up", s.Predict(testParams, firstMinute+5, m), 15.5)
	}
	// Today brings twice as much: after the warm-up everything is scaled by two.
	for m := firstMinute; m < firstMinute+120; m++ {
		s.Add(m, 2*uint32(1+m%DefaultUnitsPerDay%30))
	}
	checkClose(t, "warm-up, whatever today brings", s.Predict(testParams, firstMinute+29, firstMinute+29), 15.5)
	acc, known := s.Accuracy(testParams, firstMinute+60)
	if !known {
		t.Error("accuracy is not known after the warm-up")
	}
	checkClose(t, "accuracy", acc, 2)
	checkClose(t, "prediction", s.Predict(testParams, firstMinute+60, firstMinute+75), 2*16)
	checkClose(t, "next hour", s.PredictHorizon(testParams, firstMinute+60, 0), 2*60*15.5)
	// A minute that changes after it was summed counts.
	s.Add(firstMinute+59, 1000)
	if acc, _ := s.Accuracy(testParams, firstMinute+60); acc < 2.5 {
		t.Errorf("a late count changed the accuracy only to %v", acc)
	}
	// The next day starts anew.
	if _, known := s.Accuracy(testParams, firstMinute+DefaultUnitsPerDay+3); known {
		t.Error("accuracy is carried into the next epoch's warm-up")
	}
}

func TestPredictHorizonWithoutHistory(t *testing.T) {
	s := NewSeries()
	checkClose(t, "nothing at all", s.PredictHorizon(testParams, firstMinute+100, 0), 0)
	checkClose(t, "only those waiting", s.PredictHorizon(testParams, firstMinute+100, 7), 7)
	s.Add(firstMinute+50, 3)
	s.Add(firstMinute+30, 9) // 70 minutes ago
	checkClose(t, "the last hour and those waiting", s.PredictHorizon(testParams, firstMinute+100, 7), 10)
	if _, known := s.Accuracy(testParams, firstMinute+100); known {
		t.Error("accuracy over nothing predicted is known")
	}
}

func TestHoursExpireAndAreRestored(t *testing.T) {
	s := NewSeries()
	s.Add(firstMinute, 5)
	h, found := s.Hour(firstMinute / 60)
	if !found {
		t.Fatal("no hour")
	}
	back, err := UnpackHour(h.Pack())
	if err != nil {
		t.Fatal(err)
	}
	o := NewSeries()
	o.Restore(back)
	checkClose(t, "after a take-over", float64(o.Observed(firstMinute)), 5)
	s.Add(firstMinute+8*DefaultUnitsPerDay+60, 1)
	if _, found := s.Hour(firstMinute / 60); found {
		t.Error("an hour of more than eight days ago is still held")
	}
}

func TestMinuteClockNeverRepeatsAFreshMinute(t *testing.T) {
	wall := time.Unix(firstMinute*60, 0)
	m := NewMinuteClock(wall, 0, DefaultUnit)
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
		if since == time.Hour+4*time.Minute && minute != firstMinute+64 {
			t.Errorf("a short jump was believed: minute %d", minute-firstMinute)
		}
	}
	if minute, _ := m.Now(wall.Add(6*time.Hour+off), 6*time.Hour); minute != firstMinute+180 {
		t.Errorf("a jump that stayed was not believed: minute %d", minute-firstMinute)
	}
}
