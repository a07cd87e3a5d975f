// Package conf reads, checks and merges the operators' configuration.
//
// The cores read what operators send with it and keep the outcome; every core,
// agent and proxy makes the configuration in force out of what is kept, and the
// operators' client compares files with it. It owns the kinds of objects with
// their fields and rules. It never stores or sends anything, and no value made by
// it is changed afterwards.
package conf

import (
	"encoding/json"
	"strings"
	"time"

	"drumstall.example/internal/kernel/rest"
	"drumstall.example/internal/kernel/wire"
)

// Key is where the configuration lies in the control state and in the gossip.
const Key = "config/main"

// MaxBytes bounds one submission, in bytes.
const MaxBytes = 8 << 20

// Faults is a configuration that is refused, with everything wrong in it.
type ValidationErrors []string

// Error joins all faults in one line.
func (f ValidationErrors) Error() string { return "conf: refused: " + strings.Join(f, "; ") }

// Kept is what is stored: the newest submission exactly as sent, and every
// object exactly as it was last sent.
type Stored struct {
	Mode        string            `cbor:"1,keyasint"` // whole or partial
	ContentType string            `cbor:"2,keyasint"`
	Submission  []byte            `cbor:"3,keyasint"`
	Objects     map[string][]byte `cbor:"4,keyasint"`
	Serial      uint64            `cbor:"5,keyasint"` // one more with each submission kept
	Originals   map[string][]byte `cbor:"6,keyasint"` // objects that were sent in another form: as sent
	// Format is that of Submission where it holds a whole configuration in a registered form; there are no Objects then.
	Format  string         `cbor:"7,keyasint,omitempty"`
	Version uint64         `cbor:"8,keyasint,omitempty"` // the operator's own number; ours where there is none
	Recent  []recentChange `cbor:"9,keyasint,omitempty"` // changes kept of late, to know one that is sent again
}

// Manners of a submission.
const (
	Whole   = "whole"
	Partial = "partial"
)

// Pack encodes for the control state and the gossip.
func (k Stored) Pack() []byte { return wire.Marshal(k) }

// Unpack reads what Pack wrote; an error says that it is not that.
func Unpack(b []byte) (Stored, error) {
	var k Stored
	err := wire.Unmarshal(b, &k)
	return k, err
}

// Read is what a configuration means that Pack wrote.
func Read(packed []byte) (Stored, Effective, error) {
	kept, err := Unpack(packed)
	if err != nil {
		return kept, Effective{}, err
	}
	effective, err := Compile(kept)
	return kept, effective, err
}

const (
	// readingRest times what it took to read a configuration is how long the next one waits, so that
	// changes in quick succession leave most of the processor to other work; readingRestMost bounds it, since
	// what was acknowledged must be in force soon on a machine that is slow, too.
	readBackoffFactor = 4
	maxReadBackoff    = 500 * time.Millisecond
)

// ReadingRest is the rest that who follows the newest configuration takes between two readings.
func ReadBackoff() rest.Rest { return rest.Rest{Times: readBackoffFactor, Most: maxReadBackoff} }

// Rendered is the effective configuration as one JSON document.
func RenderJSON(k Stored) []byte {
	doc := map[string]map[string]json.RawMessage{}
	for at, raw := range k.Objects {
		kind, name, _ := strings.Cut(at, "/")
		if doc[kind] == nil {
			doc[kind] = map[string]json.RawMessage{}
		}
		doc[kind][name] = raw
	}
	b, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
}
