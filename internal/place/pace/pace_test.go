package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Whoever asks, however often, again for what came too late, and through a change of keepers: no more starts
// than the pace in any window, even if each start comes as late as it may.
func TestNeverAboveThePace(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		loads := 1 + rnd.IntN(5)
		k := NewKeeper(0, Window, true)
		var starts, written []time.Duration
		begun := map[string]int{}
		for now := time.Duration(0); now < 2*time.Minute; now += time.Duration(rnd.IntN(300)) * time.Millisecond {
			switch rnd.IntN(400) {
			case 0:
				k = NewKeeper(now, Window, false)
			case 1:
				// What the keeper before wrote down may be as old as its last grant.
				k = Resume(now, Window, written)
			}
			who := fmt.Sprint(rnd.IntN(20))
			_, ok := k.Grant(now, loads, Request{Who: who, Start: fmt.Sprint(who, " ", begun[who]), Worth: rnd.Float64()})
			if ok {
				written = k.Ages(now)
			}
			if ok && rnd.IntN(3) > 0 {
				begun[who]++
				starts = append(starts, now+time.Duration(rnd.Int64N(int64(GrantLife))))
			}
		}
		for i := range starts {
			n := 0
			for j := range starts {
				if d := starts[j] - starts[i]; d >= 0 && d < Window {
					n++
				}
			}
			if n > loads {
				t.Fatalf("seed %d: %d starts within the window, pace %d", seed, n, loads)
			}
		}
		if len(starts) == 0 {
			t.Fatalf("seed %d: nothing was ever granted", seed)
		}
	}
}

func TestTheDearestGoesFirst(t *testing.T) {
	k := NewKeeper(0, Window, true)
	if _, ok := k.Grant(0, 1, Request{Who: "a", Worth: 1}); !ok {
		t.Fatal("an idle store refuses")
	}
	for now := time.Second; now <= Window; now += time.Second {
		k.Grant(now, 1, Request{Who: "cheap", Worth: 1})
		if wait, ok := k.Grant(now, 1, Request{Who: "dear", Worth: 9}); ok || now+wait < Window || now+wait > Window+GrantLife+2*time.Millisecond {
			t.Fatalf("at %v: ok=%v wait=%v", now, ok, wait)
		}
	}
	free := Window + GrantLife + time.Millisecond
	if wait, ok := k.Grant(free, 1, Request{Who: "cheap", Worth: 1}); ok || wait < Window {
		t.Fatalf("the cheap one overtook: ok=%v wait=%v", ok, wait)
	}
	if _, ok := k.Grant(free, 1, Request{Who: "dear", Worth: 9}); !ok {
		t.Fatal("the dear one is not granted")
	}
}

// What the keeper says of the store's use follows its grants and those who
// wait, forgets them, and a new keeper has nothing to spare until it may grant.
func TestUseIsToldAsItIs(t *testing.T) {
	k := NewKeeper(0, Window, false)
	if got := k.Use(time.Second, 4); got != 1 {
		t.Errorf("a keeper that may not grant yet says %v", got)
	}
	k = NewKeeper(0, Window, true)
	if got := k.Use(0, 4); got != 0 {
		t.Errorf("an idle store is said to be used by %v", got)
	}
	before := 0.0
	for now := time.Duration(0); now < UseSpan; now += 100 * time.Millisecond {
		k.Grant(now, 4, Request{Who: fmt.Sprint(now), Worth: 1})
		// Why: one that waits counts too, and drops out when it does not ask again.
		if got := k.Use(now, 4); got < before-0.1 {
			t.Fatalf("at %v the use fell from %v to %v while all asked", now, before, got)
		} else {
			before = got
		}
	}
	if before < 0.9 {
		t.Errorf("a store asked for all it may is said to be used by %v", before)
	}
	if got := k.Use(UseSpan+10*time.Second, 4); got >= before {
		t.Errorf("10 s later the use is still %v", got)
	}
	if got := k.Use(2*UseSpan+time.Second, 4); got != 0 {
		t.Errorf("a span later it is still %v", got)
	}
}

// A start that may still come takes a place for as long as it is told of, and a
// window longer.
func TestWhatIsAfloatTakesAPlace(t *testing.T) {
	k := NewKeeper(0, Window, true)
	now := time.Duration(0)
	for ; now < time.Minute; now += time.Second {
		k.Afloat(now, "m-1 x")
		k.Afloat(now, "m-2 y")
	}
	granted := 0
	for range 4 {
		if _, ok := k.Grant(now, 3, Request{Who: fmt.Sprint(granted), Worth: 1}); ok {
			granted++
		}
	}
	if fs := k.Floats(now); len(fs) != 2 || fs["m-1 x"] != time.Minute {
		t.Errorf("told to be afloat: %v", fs)
	}
	if granted != 1 {
		t.Errorf("%d granted of 3 places with two afloat", granted)
	}
	if _, ok := k.Grant(now+Window, 3, Request{Who: "a", Worth: 1}); ok {
		t.Error("granted while one that came just after it was last told of may count")
	}
	if _, ok := k.Grant(now+k.floatLife(), 3, Request{Who: "a", Worth: 1}); !ok {
		t.Error("not granted when nothing is afloat any more")
	}
}

// Leave that came too late to be used kept other loads out for a whole window.
func TestLeaveThatWasNotUsedTakesOnePlace(t *testing.T) {
	k := NewKeeper(0, Window, true)
	for try := range 5 {
		now := time.Duration(try) * 100 * time.Millisecond
		if _, ok := k.Grant(now, 2, Request{Who: "late", Start: "late 1", Worth: 1}); !ok {
			t.Fatalf("try %d is refused", try)
		}
	}
	if _, ok := k.Grant(time.Second, 2, Request{Who: "other", Start: "other 1", Worth: 1}); !ok {
		t.Error("the other load is kept out")
	}
	if _, ok := k.Grant(time.Second, 2, Request{Who: "late", Start: "late 2", Worth: 1}); ok {
		t.Error("three loads may start in one window, two at most")
	}
}
