// Package touch tells whether a node could still learn what anyone learns: how
// long ago the platform was heard, or most of the cores, at first hand or by the
// word of others.
package touch

import (
	"slices"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/tick"
)

// Never is how long ago something was heard that never was.
const Never = 1 << 62 * time.Nanosecond

// Word is what one node tells another: for how many ms it had been out of touch
// when it answered, and one; 0 is no word at all, as older builds give.
type Age uint64

// Keeper keeps the newest moment at which this node was in touch.
type Tracker struct {
	clock       tick.Clock
	lastContact atomic.Int64
	sources     []func() time.Duration
}

// New has never been in touch. Each of first tells how long ago a source was heard at first hand.
func New(clock tick.Clock, first ...func() time.Duration) *Tracker {
	k := &Tracker{clock: clock, sources: first}
	k.lastContact.Store(int64(-Never))
	return k
}

// Told takes a peer's word in the answer to what it was asked at a moment.
// Why: counted from the question, so an answer that lay unread while this machine
// stood still tells nothing newer than the question; and an age is only ever passed on, so
// nodes that hear nobody but each other grow old together.
func (k *Tracker) Observe(asked time.Duration, w Age) {
	// Why: a wrong message must not overflow what it is counted back from.
	if w == 0 || w > 1<<42 {
		return
	}
	at := int64(asked - time.Duration(w-1)*time.Millisecond)
	for {
		old := k.lastContact.Load()
		if at <= old || k.lastContact.CompareAndSwap(old, at) {
			return
		}
	}
}

// For is how long this node has been out of touch.
func (k *Tracker) SinceContact() time.Duration {
	ago := k.clock.Since() - time.Duration(k.lastContact.Load())
	for _, f := range k.sources {
		ago = min(ago, f())
	}
	return max(0, ago)
}

// Word is this node's own.
func (k *Tracker) Age() Age {
	ago := k.SinceContact()
	if ago >= time.Hour {
		return 0
	}
	// Why: rounded up, or each hop would make it younger.
	return Age((ago+time.Millisecond-1)/time.Millisecond) + 1
}

// Most is how long ago the last of a majority was heard, this node among them;
// ago holds how long ago each of the other voters was.
func QuorumAge(quorum int, ago []time.Duration) time.Duration {
	if quorum <= 1 {
		return 0
	}
	if len(ago) < quorum-1 {
		return Never
	}
	return slices.Sorted(slices.Values(ago))[quorum-2]
}
