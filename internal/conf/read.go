package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"github.com/pkg/errors"
)

// sent is a configuration as operators write it: kind, name, object.
type sent map[string]map[string]json.RawMessage

// partial is a change of some objects as operators write it.
type partial struct {
	Replace sent                `json:"replace"`
	Remove  map[string][]string `json:"remove"`
}

// ReadWhole takes a whole configuration: it replaces everything before it. An
// error is Faults with everything wrong in it.
func ReadWhole(contentType string, body []byte) (Kept, error) {
	k := submitted(Whole, contentType, body)
	if isObjects(contentType) {
		return k, k.check(k.layObjects(body))
	}
	var s sent
	if err := decode(body, &s); err != nil {
		return Kept{}, Faults{err.Error()}
	}
	return k, k.check(k.lay(s))
}

// ReadPartial lays a partial configuration over what is there, which stays as it
// is. An error is Faults with everything wrong in it.
func ReadPartial(old Kept, contentType string, body []byte) (Kept, error) {
	k := submitted(Partial, contentType, body)
	maps.Copy(k.Objects, old.Objects)
	maps.Copy(k.Sent, old.Sent)
	if isObjects(contentType) {
		return k, k.check(k.layObjects(body))
	}
	var p partial
	var top map[string]json.RawMessage
	if err := decode(body, &top); err != nil {
		return Kept{}, Faults{err.Error()}
	}
	var faults Faults
	for name := range top {
		if name != "replace" && name != "remove" {
			faults = append(faults, fmt.Sprintf("%s: no such part; a partial configuration has replace and remove", name))
		}
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return Kept{}, append(faults, err.Error())
	}
	faults = append(faults, k.remove(p)...)
	return k, k.check(append(faults, k.lay(p.Replace)...))
}

// submitted is a submission without any object yet.
func submitted(manner, contentType string, body []byte) Kept {
	return Kept{Manner: manner, ContentType: contentType, Submission: body, Objects: map[string][]byte{}, Sent: map[string][]byte{}}
}

// remove takes away the objects that p names.
func (k Kept) remove(p partial) Faults {
	var faults Faults
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
			delete(k.Sent, at)
		}
	}
	return faults
}

// check tells all faults at once: those found so far and those of the whole.
func (k Kept) check(faults Faults) error {
	_, err := Effect(k)
	var more Faults
	if errors.As(err, &more) {
		faults = append(faults, more...)
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// lay puts the objects of s in place of those of the same names.
func (k Kept) lay(s sent) Faults {
	var faults Faults
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
			if !Plain(name) || len(name) > 128 {
				faults = append(faults, fmt.Sprintf("%s/%s: a name has 1 to 128 characters and no '/', '+' or blank", kind, name))
				continue
			}
			k.Objects[kind+"/"+name] = s[kind][name]
			delete(k.Sent, kind+"/"+name)
		}
	}
	return faults
}
