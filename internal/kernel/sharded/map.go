// Package sharded keeps maps that are read without a lock while their next version is
// made: a version never changes, and the next one copies only the shards in which it differs.
package sharded

import (
	"hash/maphash"
	"iter"
	"maps"
)

// shards is into how many parts the keys of a map fall. Why: a change copies one part and the list of all;
// with tens of thousands of keys both are small.
const shards = 64

// seed places keys in shards, the same in every map of the process.
var seed = maphash.MakeSeed()

func shardOf(key string) int { return int(maphash.String(seed, key) % shards) }

// Map is one version of a map; it never changes. The zero value is empty.
type Map[V any] struct {
	parts *[shards]map[string]V // nil where the map is empty
}

// Get is the value of a key, and whether it has one.
func (m Map[V]) Get(key string) (V, bool) {
	if m.parts == nil {
		var none V
		return none, false
	}
	v, found := m.parts[shardOf(key)][key]
	return v, found
}

// Len is the number of keys.
func (m Map[V]) Len() int {
	n := 0
	if m.parts != nil {
		for _, part := range m.parts {
			n += len(part)
		}
	}
	return n
}

// All gives every key with its value, in no order.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if m.parts == nil {
			return
		}
		for _, part := range m.parts {
			for key, v := range part {
				if !yield(key, v) {
					return
				}
			}
		}
	}
}

// Draft is the next version of a map while it is made.
type Draft[V any] struct {
	parts  *[shards]map[string]V
	copied [shards]bool // parts that belong to the draft alone
	own    bool         // the list of parts does
}

// NewDraft begins the version after another.
func NewDraft[V any](m Map[V]) Draft[V] { return Draft[V]{parts: m.parts} }

// Get is the value of a key, and whether it has one.
func (d *Draft[V]) Get(key string) (V, bool) { return Map[V]{d.parts}.Get(key) }

// Set gives a key a value.
func (d *Draft[V]) Set(key string, v V) { d.part(shardOf(key))[key] = v }

// Drop takes a key out.
func (d *Draft[V]) Drop(key string) {
	if _, found := d.Get(key); found {
		delete(d.part(shardOf(key)), key)
	}
}

// Changed says whether a key was set or dropped.
func (d *Draft[V]) Changed() bool { return d.own }

// Map is the version that was made. The draft must not be changed after that.
func (d *Draft[V]) Map() Map[V] { return Map[V]{d.parts} }

// part is a part that may be changed.
func (d *Draft[V]) part(i int) map[string]V {
	if !d.own {
		parts := new([shards]map[string]V)
		if d.parts != nil {
			*parts = *d.parts
		}
		d.parts, d.own = parts, true
	}
	if !d.copied[i] {
		if d.parts[i] = maps.Clone(d.parts[i]); d.parts[i] == nil {
			d.parts[i] = map[string]V{}
		}
		d.copied[i] = true
	}
	return d.parts[i]
}
