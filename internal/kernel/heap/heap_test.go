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
		{mib / 2, 100}, // no more than the most
		{2 * mib, 100},
		{5 * mib / 2, 80},
		{4 * mib, 50},
		{40 * mib, 50},
	} {
		if got := testPolicy.percent(c.live, false); got != c.want {
			t.Errorf("%d bytes live: %d %%, not %d", c.live, got, c.want)
		}
	}
}

// kept is what is live in a test beside the test itself.
var liveBytes []byte

// settles says whether collections settle on a percentage while so many bytes are kept.
func settlesAt(bytes, percent int) bool {
	liveBytes = make([]byte, bytes)
	defer func() { liveBytes = nil }()
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

func TestBusyProcessCollectsLessOften(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(testPolicy.Percent))
	spare := Policy{Percent: 50, MaxPercent: 100, BusyPercent: 400}
	var busy atomic.Bool
	StartTuning(spare).SetBusyFunc(busy.Load)
	if !settlesAt(40*mib, spare.Percent) {
		t.Errorf("a process with time to spare is not held to %d %%", spare.Percent)
	}
	busy.Store(true)
	if !settlesAt(40*mib, spare.BusyPercent) {
		t.Errorf("a busy process is not given %d %%", spare.BusyPercent)
	}
	busy.Store(false)
	if !settlesAt(40*mib, spare.Percent) {
		t.Errorf("a process that is busy no more is not held to %d %%", spare.Percent)
	}
	if got := testPolicy.percent(40*mib, true); got != testPolicy.Percent {
		t.Errorf("%d %% while busy, where nothing is said of it", got)
	}
}

func TestPercentageFollowsLiveHeap(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(testPolicy.Percent))
	StartTuning(testPolicy)
	if !settlesAt(mib/2, testPolicy.MaxPercent) {
		t.Errorf("a small heap is not given %d %%", testPolicy.MaxPercent)
	}
	if !settlesAt(40*mib, testPolicy.Percent) {
		t.Errorf("a large heap is not held to %d %%", testPolicy.Percent)
	}
	if !settlesAt(mib/2, testPolicy.MaxPercent) {
		t.Errorf("a heap that is small again is not given %d %%", testPolicy.MaxPercent)
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
		t.Errorf("without a limit: %d bytes", got)
	}
	SetMemoryLimit(280 * mib)
	if got, want := debug.SetMemoryLimit(-1), int64(280*mib/100*limitPercent); got != want {
		t.Errorf("%d bytes, not %d", got, want)
	}
}
