package conf

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// decode reads JSON strictly: no doubled keys, nothing after the end.
func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	if err := checkDuplicateKeys(d, "", 0); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one JSON value")
	}
	return json.Unmarshal(b, v)
}

// doubled refuses a value with a key given twice in one object, or nested too deep.
func checkDuplicateKeys(d *json.Decoder, at string, depth int) error {
	if depth > 8 {
		return errors.Errorf("%s: nested too deep", at)
	}
	t, err := d.Token()
	if err != nil {
		return errors.Wrap(err, "not JSON")
	}
	delim, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for d.More() {
		inner := at
		if delim == '{' {
			k, err := d.Token()
			if err != nil {
				return errors.Wrap(err, "not JSON")
			}
			name := k.(string)
			inner = at + "/" + name
			if seen[name] {
				return errors.Errorf("%s: given twice", inner)
			}
			seen[name] = true
		}
		if err := checkDuplicateKeys(d, inner, depth+1); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return errors.Wrap(err, "not JSON")
	}
	return nil
}
