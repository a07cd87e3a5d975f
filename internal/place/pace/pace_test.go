package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Whoever asks, however often, again for what came too late, and through a change of keepers: no more starts
// than the pace in any window, even if each start comes as late as it may.
func TestGrantsNeverExceedRate(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		loads := 1 + rnd.IntN(5)
		k := NewLimiter(0, Window, true)
		var starts, written []time.Duration
		begun := map[string]int{}
		for now := time.Duration(0); now < 2*time.Minute; now += time.Duration(rnd.IntN(300)) * time.Millisecond {
			switch rnd.IntN(400) {
			case 0:
				k = NewLimiter(now, Window, false)
			case 1:
				// What the keeper before wrote down may be as old as its last grant.
				k = Resume(now, Window, written)
			}
			who := fmt.Sprint(rnd.IntN(20))
			_, ok := k.Grant(now, loads, Request{LoadID: who, StartID: fmt.Sprint(who, " ", begun[who]), Priority: rnd.Float64()})
			if ok {
				written = k.GrantAges(now)
			}
			if ok && rnd.IntN(3) > 0 {
				begun[who]++
				starts = append(starts, now+time.Duration(rnd.Int64N(int64(GrantTTL))))
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

func TestHighestPriorityIsGrantedFirst(t *testing.T) {
	k := NewLimiter(0, Window, true)
	if _, ok := k.Grant(0, 1, Request{LoadID: "a", Priority: 1}); !ok {
		t.Fatal("an idle store refuses")
	}
	for now := time.Second; now <= Window; now += time.Second {
		k.Grant(now, 1, Request{LoadID: "cheap", Priority: 1})
		if wait, ok := k.Grant(now, 1, Request{LoadID: "dear", Priority: 9}); ok || now+wait < Window || now+wait > Window+GrantTTL+2*time.Millisecond {
			t.Fatalf("at %v: ok=%v wait=%v", now, ok, wait)
		}
	}
	free := Window + GrantTTL + time.Millisecond
	if wait, ok := k.Grant(free, 1, Request{LoadID: "cheap", Priority: 1}); ok || wait < Window {
		t.Fatalf("the cheap one overtook: ok=%v wait=%v", ok, wait)
	}
	if _, ok := k.Grant(free, 1, Request{LoadID: "dear", Priority: 9}); !ok {
		t.Fatal("the dear one is not granted")
	}
}

// What the keeper says of the store's use follows its grants and those who
// wait, forgets them, and a new keeper has nothing to spare until it may grant.
func TestUtilizationFollowsGrantsAndWaiters(t *testing.T) {
	k := NewLimiter(0, Window, false)
	if got := k.Utilization(time.Second, 4); got != 1 {
		t.Errorf("a keeper that may not grant yet says %v", got)
	}
	k = NewLimiter(0, Window, true)
	if got := k.Utilization(0, 4); got != 0 {
		t.Errorf("an idle store is said to be used by %v", got)
	}
	before := 0.0
	for now := time.Duration(0); now < UtilizationSpan; now += 100 * time.Millisecond {
		k.Grant(now, 4, Request{LoadID: fmt.Sprint(now), Priority: 1})
		// Why: one that waits counts too, and drops out when it does not ask again.
		if got := k.Utilization(now, 4); got < before-0.1 {
			t.Fatalf("at %v the use fell from %v to %v while all asked", now, before, got)
		} else {
			before = got
		}
	}
	if before < 0.9 {
		t.Errorf("a store asked for all it may is said to be used by %v", before)
	}
	if got := k.Utilization(UtilizationSpan+10*time.Second, 4); got >= before {
		t.Errorf("10 s later the use is still %v", got)
	}
	if got := k.Utilization(2*UtilizationSpan+time.Second, 4); got != 0 {
		t.Errorf("a span later it is still %v", got)
	}
}

// A start that may still come takes a place for as long as it is told of, and a
// window longer.
func TestOutstandingStartTakesAPermit(t *testing.T) {
	k := NewLimiter(0, Window, true)
	now := time.Duration(0)
	for ; now < time.Minute; now += time.Second {
		k.NoteOutstanding(now, "m-1 x")
		k.NoteOutstanding(now, "m-2 y")
	}
	granted := 0
	for range 4 {
		if _, ok := k.Grant(now, 3, Request{LoadID: fmt.Sprint(granted), Priority: 1}); ok {
			granted++
		}
	}
	if fs := k.Outstanding(now); len(fs) != 2 || fs["m-1 x"] != time.Minute {
		t.Errorf("told to be afloat: %v", fs)
	}
	if granted != 1 {
		t.Errorf("%d granted of 3 places with two afloat", granted)
	}
	if _, ok := k.Grant(now+Window, 3, Request{LoadID: "a", Priority: 1}); ok {
		t.Error("granted while one that came just after it was last told of may count")
	}
	if _, ok := k.Grant(now+k.outstandingTTL(), 3, Request{LoadID: "a", Priority: 1}); !ok {
		t.Error("not granted when nothing is afloat any more")
	}
}

// Leave that came too late to be used kept other loads out for a whole window.
func TestRepeatedGrantForOneStartCountsOnce(t *testing.T) {
	k := NewLimiter(0, Window, true)
	for try := range 5 {
		now := time.Duration(try) * 100 * time.Millisecond
		if _, ok := k.Grant(now, 2, Request{LoadID: "late", StartID: "late 1", Priority: 1}); !ok {
			t.Fatalf("try %d is refused", try)
		}
	}
	if _, ok := k.Grant(time.Second, 2, Request{LoadID: "other", StartID: "other 1", Priority: 1}); !ok {
		t.Error("the other load is kept out")
	}
	if _, ok := k.Grant(time.Second, 2, Request{LoadID: "late", StartID: "late 2", Priority: 1}); ok {
		t.Error("three loads may start in one window, two at most")
	}
}
