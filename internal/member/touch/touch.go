// Package touch tracks whether a node can still receive updates: the time since the last contact with the
// platform or a majority of the cores, made by the node itself or reported by other nodes.
package touch

import (
	"slices"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/tick"
)

// Never is the contact age when there was no contact.
const Never = 1 << 62 * time.Nanosecond

// Age is the wire form of a node's contact age when it responded, in milliseconds plus one. 0 means that
// there is none, as in messages of older builds.
type Age uint64

// Tracker records the time of this node's most recent contact.
type Tracker struct {
	clock       tick.Clock
	lastContact atomic.Int64
	sources     []func() time.Duration
}

// New returns a tracker without any reported contact. Each of sources returns the time since a direct contact.
func New(clock tick.Clock, sources ...func() time.Duration) *Tracker {
	k := &Tracker{clock: clock, sources: sources}
	k.lastContact.Store(int64(-Never))
	return k
}

// Observe records the contact age from a peer's response to a request that was sent at asked. The age counts from
// the request, so that a response that stayed unread while this machine was paused does not appear newer. Ages are
// only passed on, so they keep growing on nodes that reach only each other.
func (k *Tracker) Observe(asked time.Duration, age Age) {
	// An invalid value must not overflow the subtraction below.
	if age == 0 || age > 1<<42 {
		return
	}
	at := int64(asked - time.Duration(age-1)*time.Millisecond)
	for {
		old := k.lastContact.Load()
		if at <= old || k.lastContact.CompareAndSwap(old, at) {
			return
		}
	}
}

// SinceContact returns how long this node has been without contact.
func (k *Tracker) SinceContact() time.Duration {
	ago := k.clock.Since() - time.Duration(k.lastContact.Load())
	for _, source := range k.sources {
		ago = min(ago, source())
	}
	return max(0, ago)
}

// Age returns this node's contact age in wire form, or 0 from an hour on.
func (k *Tracker) Age() Age {
	ago := k.SinceContact()
	if ago >= time.Hour {
		return 0
	}
	// Rounded up, since otherwise each hop would make the age smaller.
	return Age((ago+time.Millisecond-1)/time.Millisecond) + 1
}

// QuorumAge returns the smallest age within which a quorum of voters, including this node, was in contact. ago holds
// the time since the last contact with each of the other voters.
func QuorumAge(quorum int, ago []time.Duration) time.Duration {
	if quorum <= 1 {
		return 0
	}
	if len(ago) < quorum-1 {
		return Never
	}
	return slices.Sorted(slices.Values(ago))[quorum-2]
}
