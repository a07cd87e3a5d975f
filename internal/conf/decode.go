package conf

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// decodeStrict decodes JSON and refuses duplicate keys and data after the value.
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

// checkDuplicateKeys returns an error if an object has a duplicate key or the value is nested too deep.
func checkDuplicateKeys(d *json.Decoder, path string, depth int) error {
	if depth > 8 {
		return errors.Errorf("%s: nested too deep", path)
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
		inner := path
		if delim == '{' {
			k, err := d.Token()
			if err != nil {
				return errors.Wrap(err, "not JSON")
			}
			name := k.(string)
			inner = path + "/" + name
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
