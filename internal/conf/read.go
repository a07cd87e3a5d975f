package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"github.com/pkg/errors"
)

// sent is a configuration as operators write it: kind, name, object.
type objectsByKind map[string]map[string]json.RawMessage

// partial is a change of some objects as operators write it.
type partialChange struct {
	Replace objectsByKind       `json:"replace"`
	Remove  map[string][]string `json:"remove"`
}

// ReadWhole takes a whole configuration: it replaces everything before it. An
// error is Faults with everything wrong in it.
func ReadWhole(contentType string, body []byte) (Stored, error) {
	k := newStored(Whole, contentType, body)
	if isObjectYAML(contentType) {
		return k, k.check(k.setObjectDocuments(body))
	}
	var s objectsByKind
	if err := decodeStrict(body, &s); err != nil {
		return Stored{}, ValidationErrors{err.Error()}
	}
	return k, k.check(k.setObjects(s))
}

// ReadPartial lays a partial configuration over what is there, which stays as it
// is. An error is Faults with everything wrong in it.
func ReadPartial(old Stored, contentType string, body []byte) (Stored, error) {
	k := newStored(Partial, contentType, body)
	maps.Copy(k.Objects, old.Objects)
	maps.Copy(k.Originals, old.Originals)
	if isObjectYAML(contentType) {
		return k, k.check(k.setObjectDocuments(body))
	}
	var p partialChange
	var top map[string]json.RawMessage
	if err := decodeStrict(body, &top); err != nil {
		return Stored{}, ValidationErrors{err.Error()}
	}
	var faults ValidationErrors
	for name := range top {
		if name != "replace" && name != "remove" {
			faults = append(faults, fmt.Sprintf("%s: no such part; a partial configuration has replace and remove", name))
		}
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return Stored{}, append(faults, err.Error())
	}
	faults = append(faults, k.removeObjects(p)...)
	return k, k.check(append(faults, k.setObjects(p.Replace)...))
}

// submitted is a submission without any object yet.
func newStored(manner, contentType string, body []byte) Stored {
	return Stored{Mode: manner, ContentType: contentType, Submission: body, Objects: map[string][]byte{}, Originals: map[string][]byte{}}
}

// remove takes away the objects that p names.
func (k Stored) removeObjects(p partialChange) ValidationErrors {
	var faults ValidationErrors
	for _, kind := range sorted(p.Remove) {
		for _, name := range p.Remove[kind] {
			at := kind + "/" + name
			if _, found := k.Objects[at]; !found {
				faults = append(faults, at+": cannot be removed, it is not there")
			}
			if _, both := p.Replace[kind][name]; both {
				faults = append(faults, at+": both replaced and removed")
			}
			delete(k.Objects, at)
			delete(k.Originals, at)
		}
	}
	return faults
}

// check tells all faults at once: those found so far and those of the whole.
func (k Stored) check(faults ValidationErrors) error {
	_, err := Compile(k)
	var more ValidationErrors
	if errors.As(err, &more) {
		faults = append(faults, more...)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// lay puts the objects of s in place of those of the same names.
func (k Stored) setObjects(s objectsByKind) ValidationErrors {
	var faults ValidationErrors
	known := map[string]bool{}
	for _, kind := range kinds() {
		known[kind] = true
	}
	for _, kind := range sorted(s) {
		if !known[kind] {
			faults = append(faults, fmt.Sprintf("%s: no such kind; there are %s", kind, strings.Join(kinds(), ", ")))
			continue
		}
		for _, name := range sorted(s[kind]) {
			if !ValidName(name) || len(name) > 128 {
				faults = append(faults, fmt.Sprintf("%s/%s: a name has 1 to 128 characters and no '/', '+' or blank", kind, name))
				continue
			}
			k.Objects[kind+"/"+name] = s[kind][name]
			delete(k.Originals, kind+"/"+name)
		}
	}
	return faults
}
