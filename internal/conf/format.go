package conf

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
)

// Format is another form in which operators write whole configurations. A
// configuration in it is kept as it was sent and read anew wherever it is used.
type Format interface {
	// ContentType names the format in the control state.
	ContentType() string
	// Read lays a document over the defaults; what cannot be read is Faults.
	Read(defaults Effective, document []byte) (Effective, error)
	// Check refuses a document as sent that is not in the format; what it means is left to Read.
	Check(document []byte) error
	// Version is the operator's own rising number of a document that was checked.
	Version(document []byte) (uint64, error)
	// Merge checks a partial change and lays it over a document that was checked; what cannot be read is Faults.
	Merge(document, change []byte) ([]byte, error)
}

var formats = map[string]Format{}

// RegisterFormat makes a format known. Call it before any configuration is read.
func RegisterFormat(f Format) { formats[f.ContentType()] = f }

// Change is a configuration that an operator sends.
type Change struct {
	Mode        string
	ContentType string
	Body        []byte
	IfMatch     *uint64 // the version it is made on top of; nil is any
}

// taken is one change that was kept, so that it is known when it is sent again.
type recentChange struct {
	Version uint64 `cbor:"1,keyasint"`
	Sum     uint64 `cbor:"2,keyasint"`
}

// maxTaken is how many kept changes are remembered.
const maxRecentChanges = 512

// Applied is what became of a change.
type ApplyResult struct {
	Stored Stored
	// Effective is what Kept means, where that had to be read to check it; else nil.
	Effective *Effective
	Duplicate bool // it had been kept before; nothing changes
	Stale     bool // it was made on top of another version than the current one
}

// Apply lays a change over what is kept. Faults refuse it whole.
func (k Stored) Apply(c Change) (ApplyResult, error) {
	if f, found := formats[c.ContentType]; found {
		return k.applyFormat(f, c)
	}
	if c.IfMatch != nil && *c.IfMatch != k.Serial {
		return ApplyResult{Stale: true}, nil
	}
	var next Stored
	var err error
	switch {
	case c.Mode == Whole:
		next, err = ReadWhole(c.ContentType, c.Body)
	case k.Format != "":
		err = ValidationErrors{"the configuration in force is written as " + k.Format + "; it can only be replaced whole"}
	default:
		next, err = ReadPartial(k, c.ContentType, c.Body)
	}
	if err != nil {
		return ApplyResult{}, err
	}
	next.Serial = k.Serial + 1
	next.Version = next.Serial
	return ApplyResult{Stored: next}, nil
}

func (k Stored) applyFormat(f Format, c Change) (ApplyResult, error) {
	sum := c.identity()
	for _, t := range k.Recent {
		if t.Sum == sum {
			return ApplyResult{Duplicate: true}, nil
		}
	}
	if c.IfMatch != nil && *c.IfMatch != k.Version {
		return ApplyResult{Stale: true}, nil
	}
	document, err := k.resultingDocument(f, c)
	if err != nil {
		return ApplyResult{}, toValidationErrors(err)
	}
	version, err := f.Version(document)
	if err != nil {
		return ApplyResult{}, toValidationErrors(err)
	}
	if version <= k.Version {
		return ApplyResult{}, ValidationErrors{fmt.Sprintf("version %d is not above the current %d", version, k.Version)}
	}
	next := Stored{Mode: c.Mode, ContentType: f.ContentType(), Format: f.ContentType(), Submission: document,
		Serial: k.Serial + 1, Version: version}
	next.Recent = append(next.Recent, k.Recent[max(0, len(k.Recent)-maxRecentChanges+1):]...)
	next.Recent = append(next.Recent, recentChange{Version: version, Sum: sum})
	effective, err := Compile(next)
	if err != nil {
		return ApplyResult{}, toValidationErrors(err)
	}
	return ApplyResult{Stored: next, Effective: &effective}, nil
}

// document is the whole document that a change leads to.
func (k Stored) resultingDocument(f Format, c Change) ([]byte, error) {
	if c.Mode != Partial {
		return c.Body, f.Check(c.Body)
	}
	if k.Format != f.ContentType() {
		return nil, ValidationErrors{"there is no configuration in this format to change"}
	}
	return f.Merge(k.Submission, c.Body)
}

// sum tells a change that is sent again from another.
func (c Change) identity() uint64 {
	h := sha256.New()
	h.Write([]byte(c.Mode))
	if c.IfMatch != nil {
		h.Write(binary.LittleEndian.AppendUint64(nil, *c.IfMatch))
	}
	h.Write(c.Body)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

// Sum is the digest that an acknowledgement carries.
func (c Change) BodyDigest() string {
	sum := sha256.Sum256(c.Body)
	return hex.EncodeToString(sum[:])
}

func toValidationErrors(err error) error {
	var faults ValidationErrors
	if errors.As(err, &faults) {
		return faults
	}
	return ValidationErrors{err.Error()}
}

// CheckJSON refuses what is not one whole JSON value without doubled keys.
func CheckJSON(b []byte) error {
	var any struct{}
	if err := decodeStrict(b, &any); err != nil {
		return ValidationErrors{err.Error()}
	}
	return nil
}
