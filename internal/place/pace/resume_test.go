package pace

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func granted(k *Keeper, now time.Duration, loads, asked int) int {
	n := 0
	for i := range asked {
		if _, ok := k.Grant(now, loads, Request{Who: fmt.Sprint("r", i), Worth: 1}); ok {
			n++
		}
	}
	return n
}

func TestOneThatResumesWaitsToBeTold(t *testing.T) {
	const now = time.Hour
	k := Resume(now, Window, nil)
	if wait, ok := k.Grant(now, 2, Request{Who: "r0", Worth: 1}); ok || wait != settle {
		t.Errorf("at once: wait %v, ok %v", wait, ok)
	}
	if got := k.Use(now, 2); got != 1 {
		t.Errorf("its use is %v before it may grant", got)
	}
	if n := granted(k, now+settle, 2, 2); n != 2 {
		t.Errorf("%d of 2 granted after that", n)
	}
}

// Each grant counts until the window and a life have passed since it was given, by the least
// that is known of its age: not a moment less, and not for another whole window.
func TestGrantsWrittenDownKeepTheirAge(t *testing.T) {
	const now = time.Hour
	k := Resume(now, Window, []time.Duration{time.Minute, Window + GrantLife + 1, Window + GrantLife, Window - time.Second, 0})
	if got := k.Ages(now); !slices.Equal(got, []time.Duration{Window + GrantLife, Window - time.Second, 0}) {
		t.Errorf("these count: %v", got)
	}
	if n := granted(k, now+settle, 4, 4); n != 2 {
		t.Errorf("%d granted of 4 places with two taken", n)
	}
	k = Resume(now, Window, []time.Duration{Window - time.Second, 0})
	if n := granted(k, now+GrantLife+time.Second, 2, 2); n != 0 {
		t.Errorf("%d granted while both may still start", n)
	}
	if n := granted(k, now+GrantLife+time.Second+1, 2, 2); n != 1 {
		t.Errorf("%d granted after the older one counts no more", n)
	}
	if n := granted(k, now+Window+GrantLife, 2, 1); n != 0 {
		t.Errorf("%d granted while the younger one may still start", n)
	}
	if n := granted(k, now+Window+GrantLife+1, 2, 1); n != 1 {
		t.Errorf("%d granted after the younger one counts no more", n)
	}
}

// A slot that is taken, and soon handed to the core that should hold it, must not make
// loads wait out the window twice.
func TestAKeeperThatTakesOverAgainWaitsNoSecondWindow(t *testing.T) {
	first := Resume(0, Window, []time.Duration{0, 0})
	second := Resume(Window, Window, first.Ages(Window))
	if n := granted(second, Window+settle, 2, 2); n != 2 {
		t.Errorf("%d of 2 granted", n)
	}
}

func TestAResumedKeeperIsWrittenDownInTurn(t *testing.T) {
	k := Resume(0, Window, []time.Duration{time.Second})
	if n := granted(k, settle, 2, 2); n != 1 {
		t.Fatalf("%d granted", n)
	}
	next := Resume(2*time.Second, Window, k.Ages(2*time.Second))
	if n := granted(next, 2*time.Second+settle, 2, 2); n != 0 {
		t.Errorf("%d granted by the next one", n)
	}
}
