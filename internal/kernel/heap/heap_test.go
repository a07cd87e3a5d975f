package heap

import (
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"testing"
)

const mib = 1 << 20

var pace = Pace{Percent: 50, Most: 100, Least: 2 * mib}

func TestASmallHeapMayGrowByMore(t *testing.T) {
	for _, c := range []struct {
		live uint64
		want int
	}{
		{0, 100},
		{mib / 2, 100}, // no more than the most
		{2 * mib, 100},
		{5 * mib / 2, 80},
		{4 * mib, 50},
		{40 * mib, 50},
	} {
		if got := pace.percent(c.live, false); got != c.want {
			t.Errorf("%d bytes live: %d %%, not %d", c.live, got, c.want)
		}
	}
}

// kept is what is live in a test beside the test itself.
var kept []byte

// settles says whether collections settle on a percentage while so many bytes are kept.
func settles(bytes, percent int) bool {
	kept = make([]byte, bytes)
	defer func() { kept = nil }()
	// Why: the finalizer runs on a goroutine of its own, some time after the collection.
	for range 100 {
		runtime.GC()
		runtime.Gosched()
		now := debug.SetGCPercent(percent)
		debug.SetGCPercent(now)
		if now == percent {
			return true
		}
	}
	return false
}

func TestABusyProcessCollectsLessOften(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(pace.Percent))
	spare := Pace{Percent: 50, Most: 100, Busy: 400}
	var busy atomic.Bool
	Keep(spare).WhenBusy(busy.Load)
	if !settles(40*mib, spare.Percent) {
		t.Errorf("a process with time to spare is not held to %d %%", spare.Percent)
	}
	busy.Store(true)
	if !settles(40*mib, spare.Busy) {
		t.Errorf("a busy process is not given %d %%", spare.Busy)
	}
	busy.Store(false)
	if !settles(40*mib, spare.Percent) {
		t.Errorf("a process that is busy no more is not held to %d %%", spare.Percent)
	}
	if got := pace.percent(40*mib, true); got != pace.Percent {
		t.Errorf("%d %% while busy, where nothing is said of it", got)
	}
}

func TestAProcessIsHeldToItsPace(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(pace.Percent))
	Keep(pace)
	if !settles(mib/2, pace.Most) {
		t.Errorf("a small heap is not given %d %%", pace.Most)
	}
	if !settles(40*mib, pace.Percent) {
		t.Errorf("a large heap is not held to %d %%", pace.Percent)
	}
	if !settles(mib/2, pace.Most) {
		t.Errorf("a heap that is small again is not given %d %%", pace.Most)
	}
}

// BenchmarkSmallHeap allocates as an agent does, 2 MB of small objects live, with the
// collector as it was and as it is now.
func BenchmarkSmallHeap(b *testing.B) {
	run := func(b *testing.B) {
		live := make([]*[64]byte, 2*mib/64)
		for i := 0; b.Loop(); i++ {
			live[i%len(live)] = new([64]byte)
		}
		runtime.KeepAlive(live)
	}
	b.Run("percentage alone", func(b *testing.B) {
		defer debug.SetGCPercent(debug.SetGCPercent(pace.Percent))
		run(b)
	})
	b.Run("paced", func(b *testing.B) {
		defer debug.SetGCPercent(debug.SetGCPercent(pace.Percent))
		Keep(pace)
		run(b)
	})
}

func TestALimitHoldsForPartOfTheMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	Below(0)
	if got := debug.SetMemoryLimit(-1); got != before {
		t.Errorf("without a limit: %d bytes", got)
	}
	Below(280 * mib)
	if got, want := debug.SetMemoryLimit(-1), int64(280*mib/100*belowParts); got != want {
		t.Errorf("%d bytes, not %d", got, want)
	}
}
