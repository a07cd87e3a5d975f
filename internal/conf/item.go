package conf

import (
	"strings"
)

// Item names a model, or an adapter of a model.
type Item struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
}

// String returns MODEL or MODEL/ADAPTER.
func (i Item) String() string {
	if i.Adapter == "" {
		return i.Model
	}
	return i.Model + "/" + i.Adapter
}

// Covers reports whether i includes o: it is the same item, or o is an adapter of the
// model i.
func (i Item) Covers(o Item) bool { return i == o || i.Adapter == "" && i.Model == o.Model }

// ValidName reports whether a name may be used in keys and items.
func ValidName(name string) bool { return name != "" && !strings.ContainsAny(name, "/+ ") }

// ParseItem parses the result of String.
func ParseItem(s string) Item {
	m, a, _ := strings.Cut(s, "/")
	return Item{Model: m, Adapter: a}
}
