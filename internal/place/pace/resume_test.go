package pace

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// countGranted returns how many of the requested loads are granted.
func countGranted(l *Limiter, now time.Duration, loads, requested int) int {
	n := 0
	for i := range requested {
		if _, ok := l.Grant(now, loads, Request{LoadID: fmt.Sprint("r", i), Priority: 1}); ok {
			n++
		}
	}
	return n
}

func TestResumedLimiterWaitsForOutstandingReports(t *testing.T) {
	const now = time.Hour
	l := Resume(now, Window, nil)
	if wait, ok := l.Grant(now, 2, Request{LoadID: "r0", Priority: 1}); ok || wait != takeoverDelay {
		t.Errorf("before the delay: wait %v, ok %v", wait, ok)
	}
	if got := l.Utilization(now, 2); got != 1 {
		t.Errorf("utilization is %v before it may grant", got)
	}
	if n := countGranted(l, now+takeoverDelay, 2, 2); n != 2 {
		t.Errorf("%d of 2 granted after the delay", n)
	}
}

// Each grant counts until the window plus GrantTTL has passed since it was given, by its least known
// age: not for a shorter time, and not for another whole window.
func TestResumedGrantsKeepTheirAge(t *testing.T) {
	const now = time.Hour
	l := Resume(now, Window, []time.Duration{time.Minute, Window + GrantTTL + 1, Window + GrantTTL, Window - time.Second, 0})
	if got := l.GrantAges(now); !slices.Equal(got, []time.Duration{Window + GrantTTL, Window - time.Second, 0}) {
		t.Errorf("these grants count: %v", got)
	}
	if n := countGranted(l, now+takeoverDelay, 4, 4); n != 2 {
		t.Errorf("%d of 4 granted with two earlier grants", n)
	}
	l = Resume(now, Window, []time.Duration{Window - time.Second, 0})
	if n := countGranted(l, now+GrantTTL+time.Second, 2, 2); n != 0 {
		t.Errorf("%d granted while both earlier loads may still start", n)
	}
	if n := countGranted(l, now+GrantTTL+time.Second+1, 2, 2); n != 1 {
		t.Errorf("%d granted after the older grant expired", n)
	}
	if n := countGranted(l, now+Window+GrantTTL, 2, 1); n != 0 {
		t.Errorf("%d granted while the younger load may still start", n)
	}
	if n := countGranted(l, now+Window+GrantTTL+1, 2, 1); n != 1 {
		t.Errorf("%d granted after the younger grant expired", n)
	}
}

// A slot that is taken over, and soon passed to the core that should hold it, must not make
// loads wait for two windows.
func TestSecondTakeoverAddsNoSecondWindow(t *testing.T) {
	previous := Resume(0, Window, []time.Duration{0, 0})
	second := Resume(Window, Window, previous.GrantAges(Window))
	if n := countGranted(second, Window+takeoverDelay, 2, 2); n != 2 {
		t.Errorf("%d of 2 granted", n)
	}
}

func TestResumedLimiterCanBeResumedAgain(t *testing.T) {
	l := Resume(0, Window, []time.Duration{time.Second})
	if n := countGranted(l, takeoverDelay, 2, 2); n != 1 {
		t.Fatalf("%d granted", n)
	}
	next := Resume(2*time.Second, Window, l.GrantAges(2*time.Second))
	if n := countGranted(next, 2*time.Second+takeoverDelay, 2, 2); n != 0 {
		t.Errorf("%d granted by the next limiter", n)
	}
}
