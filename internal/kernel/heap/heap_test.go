package heap

import (
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"testing"
)

const mib = 1 << 20

var testPolicy = Policy{Percent: 50, MaxPercent: 100, MinGrowth: 2 * mib}

func TestSmallHeapMayGrowByMore(t *testing.T) {
	for _, c := range []struct {
		live uint64
		want int
	}{
		{0, 100},
		{mib / 2, 100}, // limited to MaxPercent
		{2 * mib, 100},
		{5 * mib / 2, 80},
		{4 * mib, 50},
		{40 * mib, 50},
	} {
		if got := testPolicy.percent(c.live, false); got != c.want {
			t.Errorf("%d bytes live: %d %%, want %d", c.live, got, c.want)
		}
	}
}

// liveBytes is the memory that a test keeps live.
var liveBytes []byte

// settlesAt reports whether the GC percentage settles at a value while the given number of bytes is live.
func settlesAt(bytes, percent int) bool {
	liveBytes = make([]byte, bytes)
	defer func() { liveBytes = nil }()
	// The finalizer runs on a separate goroutine, some time after the collection.
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

func TestBusyProcessCollectsLessOften(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(testPolicy.Percent))
	spare := Policy{Percent: 50, MaxPercent: 100, BusyPercent: 400}
	var busy atomic.Bool
	StartTuning(spare).SetBusyFunc(busy.Load)
	if !settlesAt(40*mib, spare.Percent) {
		t.Errorf("the percentage of a process that is not busy is not %d %%", spare.Percent)
	}
	busy.Store(true)
	if !settlesAt(40*mib, spare.BusyPercent) {
		t.Errorf("the percentage of a busy process is not %d %%", spare.BusyPercent)
	}
	busy.Store(false)
	if !settlesAt(40*mib, spare.Percent) {
		t.Errorf("the percentage of a process that is no longer busy is not %d %%", spare.Percent)
	}
	if got := testPolicy.percent(40*mib, true); got != testPolicy.Percent {
		t.Errorf("%d %% while busy, without a BusyPercent", got)
	}
}

func TestPercentageFollowsLiveHeap(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(testPolicy.Percent))
	StartTuning(testPolicy)
	if !settlesAt(mib/2, testPolicy.MaxPercent) {
		t.Errorf("the percentage of a small heap is not %d %%", testPolicy.MaxPercent)
	}
	if !settlesAt(40*mib, testPolicy.Percent) {
		t.Errorf("the percentage of a large heap is not %d %%", testPolicy.Percent)
	}
	if !settlesAt(mib/2, testPolicy.MaxPercent) {
		t.Errorf("the percentage of a heap that is small again is not %d %%", testPolicy.MaxPercent)
	}
}

// BenchmarkSmallHeap allocates like an agent, with 2 MB of small objects live, with a fixed
// percentage and with a tuned one.
func BenchmarkSmallHeap(b *testing.B) {
	run := func(b *testing.B) {
		live := make([]*[64]byte, 2*mib/64)
		for i := 0; b.Loop(); i++ {
			live[i%len(live)] = new([64]byte)
		}
		runtime.KeepAlive(live)
	}
	b.Run("percentage alone", func(b *testing.B) {
		defer debug.SetGCPercent(debug.SetGCPercent(testPolicy.Percent))
		run(b)
	})
	b.Run("paced", func(b *testing.B) {
		defer debug.SetGCPercent(debug.SetGCPercent(testPolicy.Percent))
		StartTuning(testPolicy)
		run(b)
	})
}

func TestMemoryLimitIsPartOfMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	SetMemoryLimit(0)
	if got := debug.SetMemoryLimit(-1); got != before {
		t.Errorf("SetMemoryLimit(0) changed the limit to %d bytes", got)
	}
	SetMemoryLimit(280 * mib)
	if got, want := debug.SetMemoryLimit(-1), int64(280*mib/100*limitPercent); got != want {
		t.Errorf("limit of %d bytes, want %d", got, want)
	}
}
