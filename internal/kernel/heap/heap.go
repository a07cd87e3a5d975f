// Package heap tunes the garbage collector of a process: how far the heap may grow between two collections.
// Programs call it once, at start.
package heap

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

// liveHeapMetric is the runtime metric of the bytes that were live at the last collection.
const liveHeapMetric = "/gc/heap/live:bytes"

// Policy sets how far the heap may grow above what was live at the last collection.
type Policy struct {
	Percent     int    // GC percentage of a large heap
	MaxPercent  int    // upper limit of the percentage of a small heap
	MinGrowth   uint64 // bytes by which a small heap may grow, limited by MaxPercent
	BusyPercent int    // percentage while the process has no processor time to spare; 0 means the same as otherwise
}

// percent returns the GC percentage for a number of live bytes. A busy process may get a higher one, since memory is
// cheaper than processor time when none is to spare.
func (p Policy) percent(live uint64, busy bool) int {
	if busy && p.BusyPercent > 0 {
		return p.BusyPercent
	}
	if live == 0 {
		return p.MaxPercent
	}
	// Limited to MaxPercent, since the collector multiplies its own minimum heap size by the percentage.
	return max(p.Percent, int(min(p.MinGrowth*100/live, uint64(p.MaxPercent))))
}

// StartTuning applies a policy from now on.
func StartTuning(p Policy) *Tuner {
	t := &Tuner{policy: p, sample: [1]metrics.Sample{{Name: liveHeapMetric}}}
	t.adjust()
	t.adjustAfterNextGC()
	return t
}

// SetBusyFunc sets the function that reports whether the process has no processor time to spare.
func (t *Tuner) SetBusyFunc(busy func() bool) { t.busy.Store(&busy) }

// isBusy reports whether the process has no processor time to spare; false without a busy function.
func (t *Tuner) isBusy() bool {
	busy := t.busy.Load()
	return busy != nil && (*busy)()
}

// limitPercent is the part of the memory available to a process, in percent, that is set as the runtime's memory limit.
// The rest is for memory that the runtime does not count, and for allocations faster than the collection.
const limitPercent = 70

// SetMemoryLimit makes a process that may use the given number of bytes collect more often when it approaches them; 0 means
// no limit.
func SetMemoryLimit(bytes int) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(bytes) / 100 * limitPercent)
	}
}

// Tuner adjusts the GC percentage after each collection to the live heap and to whether the process is busy.
type Tuner struct {
	policy  Policy
	busy    atomic.Pointer[func() bool]
	current int // current GC percentage
	sample  [1]metrics.Sample
}

// gcSentinel is an unreferenced object, so that the next collection runs its finalizer.
type gcSentinel struct{ tuner *Tuner }

// adjustAfterNextGC adjusts the percentage after the next collection and every later one.
func (t *Tuner) adjustAfterNextGC() {
	runtime.SetFinalizer(&gcSentinel{t}, func(s *gcSentinel) {
		s.tuner.adjust()
		s.tuner.adjustAfterNextGC()
	})
}

// minChangePercent is the minimum relative change of the percentage for which it is set, since setting
// it briefly stops the program.
const minChangePercent = 10 // of 100

// adjust sets the GC percentage for the current live heap.
func (t *Tuner) adjust() {
	metrics.Read(t.sample[:])
	want := t.policy.percent(t.sample[0].Value.Uint64(), t.isBusy())
	if diff := max(want-t.current, t.current-want); diff*100 < minChangePercent*t.current {
		return
	}
	t.current = want
	debug.SetGCPercent(want)
}
