package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// With any order of requests, repeated requests after late answers, and takeovers by new limiters, no window
// has more starts than the limit, even if each load starts as late as its grant allows.
func TestGrantsNeverExceedRate(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		loads := 1 + rnd.IntN(5)
		l := NewLimiter(0, Window, true)
		var starts, stored []time.Duration
		startCount := map[string]int{}
		for now := time.Duration(0); now < 2*time.Minute; now += time.Duration(rnd.IntN(300)) * time.Millisecond {
			switch rnd.IntN(400) {
			case 0:
				l = NewLimiter(now, Window, false)
			case 1:
				// What the previous limiter stored dates from its last grant.
				l = Resume(now, Window, stored)
			}
			loadID := fmt.Sprint(rnd.IntN(20))
			_, ok := l.Grant(now, loads, Request{LoadID: loadID, StartID: fmt.Sprint(loadID, " ", startCount[loadID]), Priority: rnd.Float64()})
			if ok {
				stored = l.GrantAges(now)
			}
			if ok && rnd.IntN(3) > 0 {
				startCount[loadID]++
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
				t.Fatalf("seed %d: %d starts within the window, limit %d", seed, n, loads)
			}
		}
		if len(starts) == 0 {
			t.Fatalf("seed %d: no load was granted", seed)
		}
	}
}

func TestHighestPriorityIsGrantedFirst(t *testing.T) {
	l := NewLimiter(0, Window, true)
	if _, ok := l.Grant(0, 1, Request{LoadID: "a", Priority: 1}); !ok {
		t.Fatal("an idle store refuses a load")
	}
	for now := time.Second; now <= Window; now += time.Second {
		l.Grant(now, 1, Request{LoadID: "cheap", Priority: 1})
		if wait, ok := l.Grant(now, 1, Request{LoadID: "dear", Priority: 9}); ok || now+wait < Window || now+wait > Window+GrantTTL+2*time.Millisecond {
			t.Fatalf("at %v: ok=%v wait=%v", now, ok, wait)
		}
	}
	free := Window + GrantTTL + time.Millisecond
	if wait, ok := l.Grant(free, 1, Request{LoadID: "cheap", Priority: 1}); ok || wait < Window {
		t.Fatalf("the low priority overtook the high one: ok=%v wait=%v", ok, wait)
	}
	if _, ok := l.Grant(free, 1, Request{LoadID: "dear", Priority: 9}); !ok {
		t.Fatal("the high priority is not granted")
	}
}

// The utilization follows grants and waiters, drops both in time, and is 1 in a new limiter until it may grant.
func TestUtilizationFollowsGrantsAndWaiters(t *testing.T) {
	l := NewLimiter(0, Window, false)
	if got := l.Utilization(time.Second, 4); got != 1 {
		t.Errorf("utilization of a limiter that may not grant yet is %v", got)
	}
	l = NewLimiter(0, Window, true)
	if got := l.Utilization(0, 4); got != 0 {
		t.Errorf("utilization of an idle store is %v", got)
	}
	before := 0.0
	for now := time.Duration(0); now < UtilizationSpan; now += 100 * time.Millisecond {
		l.Grant(now, 4, Request{LoadID: fmt.Sprint(now), Priority: 1})
		// A waiter counts too, and is dropped when it does not ask again.
		if got := l.Utilization(now, 4); got < before-0.1 {
			t.Fatalf("at %v the utilization fell from %v to %v while all loads asked", now, before, got)
		} else {
			before = got
		}
	}
	if before < 0.9 {
		t.Errorf("utilization of a fully requested store is %v", before)
	}
	if got := l.Utilization(UtilizationSpan+10*time.Second, 4); got >= before {
		t.Errorf("10 s later the utilization is still %v", got)
	}
	if got := l.Utilization(2*UtilizationSpan+time.Second, 4); got != 0 {
		t.Errorf("one span later the utilization is still %v", got)
	}
}

// An outstanding start counts against the limit for as long as it is reported, and for a
// window longer.
func TestOutstandingStartTakesAPermit(t *testing.T) {
	l := NewLimiter(0, Window, true)
	now := time.Duration(0)
	for ; now < time.Minute; now += time.Second {
		l.NoteOutstanding(now, "m-1 x")
		l.NoteOutstanding(now, "m-2 y")
	}
	granted := 0
	for range 4 {
		if _, ok := l.Grant(now, 3, Request{LoadID: fmt.Sprint(granted), Priority: 1}); ok {
			granted++
		}
	}
	if fs := l.Outstanding(now); len(fs) != 2 || fs["m-1 x"] != time.Minute {
		t.Errorf("reported as outstanding: %v", fs)
	}
	if granted != 1 {
		t.Errorf("%d of 3 granted with two outstanding", granted)
	}
	if _, ok := l.Grant(now+Window, 3, Request{LoadID: "a", Priority: 1}); ok {
		t.Error("granted while a load that started just after its last report may still count")
	}
	if _, ok := l.Grant(now+l.outstandingTTL(), 3, Request{LoadID: "a", Priority: 1}); !ok {
		t.Error("not granted when no start is outstanding any more")
	}
}

// Repeated requests for one start replace its unused grant. Each unused grant would keep another load out for a whole window.
func TestRepeatedGrantForOneStartCountsOnce(t *testing.T) {
	l := NewLimiter(0, Window, true)
	for try := range 5 {
		now := time.Duration(try) * 100 * time.Millisecond
		if _, ok := l.Grant(now, 2, Request{LoadID: "late", StartID: "late 1", Priority: 1}); !ok {
			t.Fatalf("try %d is denied", try)
		}
	}
	if _, ok := l.Grant(time.Second, 2, Request{LoadID: "other", StartID: "other 1", Priority: 1}); !ok {
		t.Error("the other load is not granted")
	}
	if _, ok := l.Grant(time.Second, 2, Request{LoadID: "late", StartID: "late 2", Priority: 1}); ok {
		t.Error("three loads may start in one window, two at most")
	}
}
