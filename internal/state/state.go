// Package state defines the types shared by the parts of the control state: the
// mapping of keys to slots, records, the core set and the messages between cores.
package state

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// SlotCount is the number of slots. It determines the layout on disk and must not change.
const SlotCount = 16

// LeaseDuration is how long a lease on a slot lasts, measured at the voter that grants it.
const LeaseDuration = 3 * time.Second

// LeaseMargin is how much earlier the holder lets a lease end, to allow for clock drift.
const LeaseMargin = 300 * time.Millisecond

// Errors returned to users of the control state.
var (
	ErrNotOwner       = errors.New("state: slot is not held here")
	ErrNoQuorum       = errors.New("state: no quorum; nothing was kept")
	ErrOutcomeUnknown = errors.New("state: outcome unknown")
	ErrStale          = errors.New("state: serial is not the current one")
	ErrDiskFailed     = errors.New("state: disk does not keep what it is given")
)

// Stamp orders the values of a key, by epoch and then by version; the newest value wins.
type Stamp struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Newer reports whether s is later than o.
func (s Stamp) Newer(o Stamp) bool {
	return s.Epoch > o.Epoch || s.Epoch == o.Epoch && s.Version > o.Version
}

// String formats the stamp as epoch.version.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Epoch, s.Version) }

// Record is one value of a key, or the mark of its deletion.
type Record struct {
	Key     string `cbor:"1,keyasint"`
	Stamp   Stamp  `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// SlotOf maps a key to its slot. Only the first two parts of a key are hashed, so
// that the records of all hours of one model's demand share a slot.
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
	// slotKeyParts is how many slash-separated parts of a key determine its slot.
	slotKeyParts = 2
	// fnvOffset and fnvPrime are the constants of the 32-bit FNV-1a hash. Each part is terminated by a zero byte.
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

// Core identifies a control-plane node by its name and the ID of its data folder, and gives its address.
type Core struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	DiskID string `cbor:"2,keyasint" json:"disk"`
	Addr   string `cbor:"3,keyasint" json:"addr"`
}

// SameVoter reports whether c and o are the same voter; their addresses may differ.
func (c Core) SameVoter(o Core) bool { return c.Name == o.Name && c.DiskID == o.DiskID }

// CoreSet is the set of voting cores. Its version increases with every change.
type CoreSet struct {
	Version uint64 `cbor:"1,keyasint" json:"serial"`
	Cores   []Core `cbor:"2,keyasint" json:"cores"`
}

// Quorum returns how many voters make a majority.
func (s CoreSet) Quorum() int { return len(s.Cores)/2 + 1 }

// Has reports whether c is a voter of the set.
func (s CoreSet) Has(c Core) bool {
	for _, o := range s.Cores {
		if o.SameVoter(c) {
			return true
		}
	}
	return false
}

// Request is a message to an acceptor about one slot.
type Request struct {
	SetVersion uint64   `cbor:"1,keyasint"`
	From       Core     `cbor:"2,keyasint"`
	Slot       int      `cbor:"3,keyasint"`
	Epoch      uint64   `cbor:"4,keyasint"`
	Version    uint64   `cbor:"5,keyasint,omitempty"`
	Full       bool     `cbor:"6,keyasint,omitempty"`
	Records    []Record `cbor:"7,keyasint,omitempty"`
	IdleMs     int64    `cbor:"8,keyasint,omitempty"` // in a release: how long no order had been in flight under the lease
	NextHolder string   `cbor:"9,keyasint,omitempty"` // in a release: name of the core that should hold the slot next
}

// Reply is an acceptor's answer to a Request.
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
	FullWriter Core     `cbor:"10,keyasint,omitempty"` // the core that wrote the complete table of FullEpoch
	UnleasedMs int64    `cbor:"11,keyasint,omitempty"` // in reply to a prepare: how long no lease of the slot had been valid at this voter
	// IdleMs is, in reply to a prepare, how long no order has been in flight under the lease that was promised last,
	// as its holder reported in its release; 0 means unknown.
	IdleMs int64 `cbor:"12,keyasint,omitempty"`
}

// RenewRequest asks a voter to renew the leases of several slots.
type RenewRequest struct {
	SetVersion uint64         `cbor:"1,keyasint"`
	From       Core           `cbor:"2,keyasint"`
	Epochs     map[int]uint64 `cbor:"3,keyasint"`
}

// RenewReply lists the slots whose leases were renewed, and those lost to a higher epoch.
type RenewReply struct {
	SetVersion uint64         `cbor:"1,keyasint"`
	Granted    []int          `cbor:"2,keyasint"`
	Lost       map[int]uint64 `cbor:"3,keyasint"`
}

// Reasons for which an acceptor refuses a request.
const (
	ReasonLowerEpoch    = "lower-epoch"
	ReasonHeld          = "held"
	ReasonOlderCoreSet  = "older-core-set"
	ReasonBehindCoreSet = "behind-core-set"
	ReasonDisk          = "disk"
	ReasonNotVoter      = "not-a-voter"
)
