// Package conf reads, checks and merges the operators' configuration.
//
// The cores use it to read what operators submit and store the result; every core,
// agent and proxy compiles the effective configuration from what is stored, and the
// operators' client uses it to compare files. The package owns the kinds of objects with
// their fields and rules. It does not store or send anything, and values returned by
// it are immutable.
package conf

import (
	"encoding/json"
	"strings"
	"time"

	"drumstall.example/internal/kernel/rest"
	"drumstall.example/internal/kernel/wire"
)

// Key is the key of the configuration in the control state and in the gossip table.
const Key = "config/main"

// MaxBytes bounds one submission, in bytes.
const MaxBytes = 8 << 20

// ValidationErrors is the error of a refused configuration: everything that is wrong in it.
type ValidationErrors []string

// Error joins all errors in one line.
func (f ValidationErrors) Error() string { return "conf: refused: " + strings.Join(f, "; ") }

// Stored is the stored configuration: the newest submission exactly as sent, and every
// object exactly as it was last sent.
type Stored struct {
	Mode        string            `cbor:"1,keyasint"` // whole or partial
	ContentType string            `cbor:"2,keyasint"`
	Submission  []byte            `cbor:"3,keyasint"`
	Objects     map[string][]byte `cbor:"4,keyasint"`
	Serial      uint64            `cbor:"5,keyasint"` // incremented with each accepted submission
	Originals   map[string][]byte `cbor:"6,keyasint"` // objects that were sent as YAML documents: as sent
	// Format is the format of Submission if it holds a whole configuration in a registered format; Objects is empty then.
	Format  string         `cbor:"7,keyasint,omitempty"`
	Version uint64         `cbor:"8,keyasint,omitempty"` // the operator's version number; Serial for submissions in no registered format
	Recent  []recentChange `cbor:"9,keyasint,omitempty"` // recently accepted changes, to detect repeated ones
}

// Manners of a submission.
const (
	// Modes of a submission.
	Whole   = "whole"
	Partial = "partial"
)

// Pack encodes the configuration for the control state and the gossip.
func (k Stored) Pack() []byte { return wire.Marshal(k) }

// Unpack decodes what Pack encoded, or returns an error for anything else.
func Unpack(b []byte) (Stored, error) {
	var k Stored
	err := wire.Unmarshal(b, &k)
	return k, err
}

// Read decodes a configuration encoded by Pack and compiles it.
func Read(packed []byte) (Stored, Effective, error) {
	kept, err := Unpack(packed)
	if err != nil {
		return kept, Effective{}, err
	}
	effective, err := Compile(kept)
	return kept, effective, err
}

const (
	// After reading a configuration, a follower waits readBackoffFactor times the time the read took before the next one,
	// so that changes in quick succession leave most of the processor to other work. maxReadBackoff bounds the wait: an
	// acknowledged change must come into force soon on a slow machine, too.
	readBackoffFactor = 4
	maxReadBackoff    = 500 * time.Millisecond
)

// ReadBackoff returns the wait that a follower of the newest configuration keeps between two reads.
func ReadBackoff() rest.Throttle {
	return rest.Throttle{Factor: readBackoffFactor, MaxPause: maxReadBackoff}
}

// RenderJSON returns the stored objects as one JSON document.
func RenderJSON(k Stored) []byte {
	doc := map[string]map[string]json.RawMessage{}
	for key, raw := range k.Objects {
		kind, name, _ := strings.Cut(key, "/")
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
