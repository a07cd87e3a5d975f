package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"github.com/pkg/errors"
)

// objectsByKind is a configuration as operators write it: objects by kind and name.
type objectsByKind map[string]map[string]json.RawMessage

// partialChange is a change of some objects as operators write it.
type partialChange struct {
	Replace objectsByKind       `json:"replace"`
	Remove  map[string][]string `json:"remove"`
}

// ReadWhole reads a whole configuration, which replaces the previous one. An
// error is of type ValidationErrors and lists everything that is wrong.
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

// ReadPartial applies a partial configuration to old, which is not changed. An
// error is of type ValidationErrors and lists everything that is wrong.
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
	var errs ValidationErrors
	for name := range top {
		if name != "replace" && name != "remove" {
			errs = append(errs, fmt.Sprintf("%s: no such part; a partial configuration has replace and remove", name))
		}
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return Stored{}, append(errs, err.Error())
	}
	errs = append(errs, k.removeObjects(p)...)
	return k, k.check(append(errs, k.setObjects(p.Replace)...))
}

// newStored returns the Stored of a submission without any objects yet.
func newStored(manner, contentType string, body []byte) Stored {
	return Stored{Mode: manner, ContentType: contentType, Submission: body, Objects: map[string][]byte{}, Originals: map[string][]byte{}}
}

// removeObjects removes the objects that p names.
func (k Stored) removeObjects(p partialChange) ValidationErrors {
	var errs ValidationErrors
	for _, kind := range sorted(p.Remove) {
		for _, name := range p.Remove[kind] {
			key := kind + "/" + name
			if _, found := k.Objects[key]; !found {
				errs = append(errs, key+": cannot be removed, it is not there")
			}
			if _, both := p.Replace[kind][name]; both {
				errs = append(errs, key+": both replaced and removed")
			}
			delete(k.Objects, key)
			delete(k.Originals, key)
		}
	}
	return errs
}

// check returns the errors found so far together with those of the resulting configuration.
func (k Stored) check(errs ValidationErrors) error {
	_, err := Compile(k)
	var more ValidationErrors
	if errors.As(err, &more) {
		errs = append(errs, more...)
	}
	if len(errs) > 0 {
		return errs
	}
	return nil
}

// setObjects adds the objects of s and replaces those of the same names.
func (k Stored) setObjects(s objectsByKind) ValidationErrors {
	var errs ValidationErrors
	known := map[string]bool{}
	for _, kind := range kinds() {
		known[kind] = true
	}
	for _, kind := range sorted(s) {
		if !known[kind] {
			errs = append(errs, fmt.Sprintf("%s: no such kind; there are %s", kind, strings.Join(kinds(), ", ")))
			continue
		}
		for _, name := range sorted(s[kind]) {
			if !ValidName(name) || len(name) > 128 {
				errs = append(errs, fmt.Sprintf("%s/%s: a name has 1 to 128 characters and no '/', '+' or blank", kind, name))
				continue
			}
			k.Objects[kind+"/"+name] = s[kind][name]
			delete(k.Originals, kind+"/"+name)
		}
	}
	return errs
}
