package conf

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
)

// Format is an additional format in which operators write whole configurations. A
// document in it is stored as sent and compiled wherever it is used.
type Format interface {
	// ContentType names the format in the control state.
	ContentType() string
	// Read applies a document to the defaults; an unreadable document gives ValidationErrors.
	Read(defaults Effective, document []byte) (Effective, error)
	// Check refuses a submitted document that is not in the format; its meaning is checked by Read.
	Check(document []byte) error
	// Version returns the operator's increasing version number of a checked document.
	Version(document []byte) (uint64, error)
	// Merge checks a partial change and applies it to a checked document; an unreadable change gives ValidationErrors.
	Merge(document, change []byte) ([]byte, error)
}

var formats = map[string]Format{}

// RegisterFormat registers a format. It must be called before any configuration is read.
func RegisterFormat(f Format) { formats[f.ContentType()] = f }

// Change is a submission by an operator.
type Change struct {
	Mode        string
	ContentType string
	Body        []byte
	IfMatch     *uint64 // version that the change is based on; nil means any
}

// recentChange identifies an accepted change, to detect a repeated submission.
type recentChange struct {
	Version uint64 `cbor:"1,keyasint"`
	Sum     uint64 `cbor:"2,keyasint"`
}

// maxRecentChanges is how many accepted changes are remembered.
const maxRecentChanges = 512

// ApplyResult is the outcome of a change.
type ApplyResult struct {
	Stored Stored
	// Effective is the compiled Stored, if it had to be compiled to check the change; else nil.
	Effective *Effective
	Duplicate bool // the change was accepted before; nothing changes
	Stale     bool // the change is based on a version other than the current one
}

// Apply applies a change to the stored configuration. On ValidationErrors nothing of the change is applied.
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

// resultingDocument returns the whole document that results from a change.
func (k Stored) resultingDocument(f Format, c Change) ([]byte, error) {
	if c.Mode != Partial {
		return c.Body, f.Check(c.Body)
	}
	if k.Format != f.ContentType() {
		return nil, ValidationErrors{"there is no configuration in this format to change"}
	}
	return f.Merge(k.Submission, c.Body)
}

// identity returns a hash that identifies a repeated submission of the same change.
func (c Change) identity() uint64 {
	h := sha256.New()
	h.Write([]byte(c.Mode))
	if c.IfMatch != nil {
		h.Write(binary.LittleEndian.AppendUint64(nil, *c.IfMatch))
	}
	h.Write(c.Body)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

// BodyDigest returns the digest of the body that is returned in an acknowledgement.
func (c Change) BodyDigest() string {
	sum := sha256.Sum256(c.Body)
	return hex.EncodeToString(sum[:])
}

func toValidationErrors(err error) error {
	var errs ValidationErrors
	if errors.As(err, &errs) {
		return errs
	}
	return ValidationErrors{err.Error()}
}

// CheckJSON refuses anything but one complete JSON value without duplicate keys.
func CheckJSON(b []byte) error {
	var any struct{}
	if err := decodeStrict(b, &any); err != nil {
		return ValidationErrors{err.Error()}
	}
	return nil
}
