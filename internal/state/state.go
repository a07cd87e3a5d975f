// Package state holds the words that the parts of the control state share:
// keys in slots, records, the core membership and the messages between cores.
package state

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Slots is the fixed number of slots; it is part of what is on disk.
const SlotCount = 16

// HoldFor is how long a grant of a slot lasts at the grantor.
const LeaseDuration = 3 * time.Second

// HoldMargin is what the holder gives up early, for clocks that run apart.
const LeaseMargin = 300 * time.Millisecond

// Errors of the control state, as its users see them.
var (
	ErrNotOwner       = errors.New("state: slot is not held here")
	ErrNoQuorum       = errors.New("state: no quorum; nothing was kept")
	ErrOutcomeUnknown = errors.New("state: outcome unknown")
	ErrStale          = errors.New("state: serial is not the current one")
	ErrDiskFailed     = errors.New("state: disk does not keep what it is given")
)

// Stamp orders the values of a key; the newest wins.
type Stamp struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Newer says whether s is after o.
func (s Stamp) Newer(o Stamp) bool {
	return s.Epoch > o.Epoch || s.Epoch == o.Epoch && s.Version > o.Version
}

func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Epoch, s.Version) }

// Record is one value of one key.
type Record struct {
	Key     string `cbor:"1,keyasint"`
	Stamp   Stamp  `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// SlotOf maps a key to its slot. Only the first two parts of a key count, so
// that all hours of one model's demand lie together.
func SlotOf(key string) int {
	hash := uint32(fnvOffset)
	add := func(b byte) { hash = (hash ^ uint32(b)) * fnvPrime }
	parts := 1
	for i := range len(key) {
		switch {
		case key[i] != '/':
			add(key[i])
		case parts == slotKeyParts:
			return int((hash * fnvPrime) % SlotCount)
		default:
			add(0)
			parts++
		}
	}
	return int((hash * fnvPrime) % SlotCount)
}

const (
	// slotParts is how many parts of a key tell its slot.
	slotKeyParts = 2
	// fnvOffset and fnvPrime are those of the 32-bit FNV-1a hash; a part ends with a zero byte.
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

// Core is one voter: a machine's name, the identity of its disk, its address.
type Core struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	DiskID string `cbor:"2,keyasint" json:"disk"`
	Addr   string `cbor:"3,keyasint" json:"addr"`
}

// Is says whether two are the same voter, wherever it may be reached.
func (c Core) SameVoter(o Core) bool { return c.Name == o.Name && c.DiskID == o.DiskID }

// CoreMembers is the voters that count, under a rising version.
type CoreSet struct {
	Version uint64 `cbor:"1,keyasint" json:"serial"`
	Cores   []Core `cbor:"2,keyasint" json:"cores"`
}

// Quorum is how many make a majority.
func (s CoreSet) Quorum() int { return len(s.Cores)/2 + 1 }

// Has says whether c is a voter.
func (s CoreSet) Has(c Core) bool {
	for _, o := range s.Cores {
		if o.SameVoter(c) {
			return true
		}
	}
	return false
}

// Ask is a message to an acceptor about one slot.
type Request struct {
	SetVersion uint64   `cbor:"1,keyasint"`
	From       Core     `cbor:"2,keyasint"`
	Slot       int      `cbor:"3,keyasint"`
	Epoch      uint64   `cbor:"4,keyasint"`
	Version    uint64   `cbor:"5,keyasint,omitempty"`
	Full       bool     `cbor:"6,keyasint,omitempty"`
	Records    []Record `cbor:"7,keyasint,omitempty"`
	IdleMs     int64    `cbor:"8,keyasint,omitempty"` // in a release: for how long the holder had sent no order under the lease
	NextHolder string   `cbor:"9,keyasint,omitempty"` // in a release: the core that is to hold the slot next, by name
}

// Reply is an acceptor's answer.
type Reply struct {
	OK         bool     `cbor:"1,keyasint"`
	Reason     string   `cbor:"2,keyasint,omitempty"`
	Epoch      uint64   `cbor:"3,keyasint,omitempty"`
	SetVersion uint64   `cbor:"4,keyasint,omitempty"`
	FullEpoch  uint64   `cbor:"5,keyasint,omitempty"`
	Version    uint64   `cbor:"6,keyasint,omitempty"`
	Records    []Record `cbor:"7,keyasint,omitempty"`
	Holder     Core     `cbor:"8,keyasint,omitempty"`
	Digest     []byte   `cbor:"9,keyasint,omitempty"`
	FullWriter Core     `cbor:"10,keyasint,omitempty"` // who wrote the whole table under Full
	UnleasedMs int64    `cbor:"11,keyasint,omitempty"` // to a prepare: for how long no hold had been granted here
	// QuietMs is, to a prepare, for how long no order has been sent under the lease that was promised last, by the
	// word of its holder when it let go of it; 0 is not known.
	IdleMs int64 `cbor:"12,keyasint,omitempty"`
}

// Renewal asks for several slots at once.
type RenewRequest struct {
	SetVersion uint64         `cbor:"1,keyasint"`
	From       Core           `cbor:"2,keyasint"`
	Epochs     map[int]uint64 `cbor:"3,keyasint"`
}

// Renewed tells which of them are granted.
type RenewReply struct {
	SetVersion uint64         `cbor:"1,keyasint"`
	Granted    []int          `cbor:"2,keyasint"`
	Lost       map[int]uint64 `cbor:"3,keyasint"`
}

// Why an acceptor says no.
const (
	ReasonLowerEpoch    = "lower-epoch"
	ReasonHeld          = "held"
	ReasonOlderCoreSet  = "older-core-set"
	ReasonBehindCoreSet = "behind-core-set"
	ReasonDisk          = "disk"
	ReasonNotVoter      = "not-a-voter"
)
