package conf

import (
	"strings"
)

// Item names a model, or an adapter on its model.
type Item struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
}

// String writes MODEL or MODEL/ADAPTER.
func (i Item) String() string {
	if i.Adapter == "" {
		return i.Model
	}
	return i.Model + "/" + i.Adapter
}

// Covers says whether o goes where i goes: it is the same, or an adapter of the
// model i.
func (i Item) Covers(o Item) bool { return i == o || i.Adapter == "" && i.Model == o.Model }

// Plain says whether a name can stand in keys and items.
func ValidName(name string) bool { return name != "" && !strings.ContainsAny(name, "/+ ") }

// ParseItem reads what String wrote.
func ParseItem(s string) Item {
	m, a, _ := strings.Cut(s, "/")
	return Item{Model: m, Adapter: a}
}
