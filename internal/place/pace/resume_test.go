package pace

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func countGranted(k *Limiter, now time.Duration, loads, asked int) int {
	n := 0
	for i := range asked {
		if _, ok := k.Grant(now, loads, Request{LoadID: fmt.Sprint("r", i), Priority: 1}); ok {
			n++
		}
	}
	return n
}

func TestResumedLimiterWaitsForOutstandingReports(t *testing.T) {
	const now = time.Hour
	k := Resume(now, Window, nil)
	if wait, ok := k.Grant(now, 2, Request{LoadID: "r0", Priority: 1}); ok || wait != takeoverDelay {
		t.Errorf("at once: wait %v, ok %v", wait, ok)
	}
	if got := k.Utilization(now, 2); got != 1 {
		t.Errorf("its use is %v before it may grant", got)
	}
	if n := countGranted(k, now+takeoverDelay, 2, 2); n != 2 {
		t.Errorf("%d of 2 granted after that", n)
	}
}

// Each grant counts until the window and a life have passed since it was given, by the least
// that is known of its age: not a moment less, and not for another whole window.
func TestResumedGrantsKeepTheirAge(t *testing.T) {
	const now = time.Hour
	k := Resume(now, Window, []time.Duration{time.Minute, Window + GrantTTL + 1, Window + GrantTTL, Window - time.Second, 0})
	if got := k.GrantAges(now); !slices.Equal(got, []time.Duration{Window + GrantTTL, Window - time.Second, 0}) {
		t.Errorf("these count: %v", got)
	}
	if n := countGranted(k, now+takeoverDelay, 4, 4); n != 2 {
		t.Errorf("%d granted of 4 places with two taken", n)
	}
	k = Resume(now, Window, []time.Duration{Window - time.Second, 0})
	if n := countGranted(k, now+GrantTTL+time.Second, 2, 2); n != 0 {
		t.Errorf("%d granted while both may still start", n)
	}
	if n := countGranted(k, now+GrantTTL+time.Second+1, 2, 2); n != 1 {
		t.Errorf("%d granted after the older one counts no more", n)
	}
	if n := countGranted(k, now+Window+GrantTTL, 2, 1); n != 0 {
		t.Errorf("%d granted while the younger one may still start", n)
	}
	if n := countGranted(k, now+Window+GrantTTL+1, 2, 1); n != 1 {
		t.Errorf("%d granted after the younger one counts no more", n)
	}
}

// A slot that is taken, and soon handed to the core that should hold it, must not make
// loads wait out the window twice.
func TestSecondTakeoverAddsNoSecondWindow(t *testing.T) {
	first := Resume(0, Window, []time.Duration{0, 0})
	second := Resume(Window, Window, first.GrantAges(Window))
	if n := countGranted(second, Window+takeoverDelay, 2, 2); n != 2 {
		t.Errorf("%d of 2 granted", n)
	}
}

func TestResumedLimiterCanBeResumedAgain(t *testing.T) {
	k := Resume(0, Window, []time.Duration{time.Second})
	if n := countGranted(k, takeoverDelay, 2, 2); n != 1 {
		t.Fatalf("%d granted", n)
	}
	next := Resume(2*time.Second, Window, k.GrantAges(2*time.Second))
	if n := countGranted(next, 2*time.Second+takeoverDelay, 2, 2); n != 0 {
		t.Errorf("%d granted by the next one", n)
	}
}
