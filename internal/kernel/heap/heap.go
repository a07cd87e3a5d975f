// Package heap says how far the heap of a process may grow between two collections.
// The programs call it once, at their start.
package heap

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

const liveHeapMetric = "/gc/heap/live:bytes"

// Pace is how far the heap may grow above what was live at the last collection.
type Policy struct {
	Percent     int    // of what was live, for a large heap
	MaxPercent  int    // the percentage that is never exceeded
	MinGrowth   uint64 // bytes that a small heap may grow by, if Most allows it
	BusyPercent int    // the percentage while the process has no processor time to spare; 0 is as at other times
}

// percent is the collector's percentage while so many bytes are live. Why: memory is cheaper than the time of a process
// that has none to spare.
func (p Policy) percent(live uint64, busy bool) int {
	if busy && p.BusyPercent > 0 {
		return p.BusyPercent
	}
	if live == 0 {
		return p.MaxPercent
	}
	// Why: no more than Most, since the collector multiplies a least size of its own by the percentage.
	return max(p.Percent, int(min(p.MinGrowth*100/live, uint64(p.MaxPercent))))
}

// Keep holds the process to a pace from now on.
func StartTuning(p Policy) *Tuner {
	k := &Tuner{policy: p, sample: [1]metrics.Sample{{Name: liveHeapMetric}}}
	k.adjust()
	k.adjustAfterNextGC()
	return k
}

// WhenBusy tells the keeper how to know that the process has no processor time to spare.
func (k *Tuner) SetBusyFunc(busy func() bool) { k.busy.Store(&busy) }

// isBusy says whether the process has no processor time to spare, as far as is known.
func (k *Tuner) isBusy() bool {
	busy := k.busy.Load()
	return busy != nil && (*busy)()
}

// belowParts of 100 of what a process may use are in use when it collects as often as it must. The rest is for what
// the runtime does not count, and for what comes faster than it is collected.
const limitPercent = 70

// Below has a process that may use so many bytes collect more often when it comes near them; 0 is no limit.
func SetMemoryLimit(bytes int) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(bytes) / 100 * limitPercent)
	}
}

// Keeper sets the percentage anew after collections that left another part live, or that found the process busy.
type Tuner struct {
	policy  Policy
	busy    atomic.Pointer[func() bool]
	current int // the percentage in force
	sample  [1]metrics.Sample
}

// collected is an object that nothing refers to, so that each collection finalizes it.
type gcSentinel struct{ tuner *Tuner }

// follow has the percentage looked at after the next collection.
func (k *Tuner) adjustAfterNextGC() {
	runtime.SetFinalizer(&gcSentinel{k}, func(c *gcSentinel) {
		c.tuner.adjust()
		c.tuner.adjustAfterNextGC()
	})
}

// changesBy is the part by which the percentage must differ to be set anew. Why: setting
// it stops the program for a moment.
const minChangePercent = 10 // of 100

// adjust sets the percentage by what is live now.
func (k *Tuner) adjust() {
	metrics.Read(k.sample[:])
	want := k.policy.percent(k.sample[0].Value.Uint64(), k.isBusy())
	if off := max(want-k.current, k.current-want); off*100 < minChangePercent*k.current {
		return
	}
	k.current = want
	debug.SetGCPercent(want)
}
