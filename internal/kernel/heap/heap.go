// Package heap says how far the heap of a process may grow between two collections.
// The programs call it once, at their start.
package heap

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

const liveHeap = "/gc/heap/live:bytes"

// Pace is how far the heap may grow above what was live at the last collection.
type Pace struct {
	Percent int    // of what was live, for a large heap
	Most    int    // the percentage that is never exceeded
	Least   uint64 // bytes that a small heap may grow by, if Most allows it
	Busy    int    // the percentage while the process has no processor time to spare; 0 is as at other times
}

// percent is the collector's percentage while so many bytes are live. Why: memory is cheaper than the time of a process
// that has none to spare.
func (p Pace) percent(live uint64, busy bool) int {
	if busy && p.Busy > 0 {
		return p.Busy
	}
	if live == 0 {
		return p.Most
	}
	// Why: no more than Most, since the collector multiplies a least size of its own by the percentage.
	return max(p.Percent, int(min(p.Least*100/live, uint64(p.Most))))
}

// Keep holds the process to a pace from now on.
func Keep(p Pace) *Keeper {
	k := &Keeper{pace: p, sample: [1]metrics.Sample{{Name: liveHeap}}}
	k.adjust()
	k.follow()
	return k
}

// WhenBusy tells the keeper how to know that the process has no processor time to spare.
func (k *Keeper) WhenBusy(busy func() bool) { k.busy.Store(&busy) }

// isBusy says whether the process has no processor time to spare, as far as is known.
func (k *Keeper) isBusy() bool {
	busy := k.busy.Load()
	return busy != nil && (*busy)()
}

// belowParts of 100 of what a process may use are in use when it collects as often as it must. The rest is for what
// the runtime does not count, and for what comes faster than it is collected.
const belowParts = 70

// Below has a process that may use so many bytes collect more often when it comes near them; 0 is no limit.
func Below(bytes int) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(bytes) / 100 * belowParts)
	}
}

// Keeper sets the percentage anew after collections that left another part live, or that found the process busy.
type Keeper struct {
	pace   Pace
	busy   atomic.Pointer[func() bool]
	set    int // the percentage in force
	sample [1]metrics.Sample
}

// collected is an object that nothing refers to, so that each collection finalizes it.
type collected struct{ keeper *Keeper }

// follow has the percentage looked at after the next collection.
func (k *Keeper) follow() {
	runtime.SetFinalizer(&collected{k}, func(c *collected) {
		c.keeper.adjust()
		c.keeper.follow()
	})
}

// changesBy is the part by which the percentage must differ to be set anew. Why: setting
// it stops the program for a moment.
const changesBy = 10 // of 100

// adjust sets the percentage by what is live now.
func (k *Keeper) adjust() {
	metrics.Read(k.sample[:])
	want := k.pace.percent(k.sample[0].Value.Uint64(), k.isBusy())
	if off := max(want-k.set, k.set-want); off*100 < changesBy*k.set {
		return
	}
	k.set = want
	debug.SetGCPercent(want)
}
