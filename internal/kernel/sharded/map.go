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
const numShards = 64

// seed places keys in shards, the same in every map of the process.
var hashSeed = maphash.MakeSeed()

func shardOf(key string) int { return int(maphash.String(hashSeed, key) % numShards) }

// Map is one version of a map; it never changes. The zero value is empty.
type Map[V any] struct {
	shards *[numShards]map[string]V // nil where the map is empty
}

// Get is the value of a key, and whether it has one.
func (m Map[V]) Get(key string) (V, bool) {
	if m.shards == nil {
		var none V
		return none, false
	}
	v, found := m.shards[shardOf(key)][key]
	return v, found
}

// Len is the number of keys.
func (m Map[V]) Len() int {
	n := 0
	if m.shards != nil {
		for _, part := range m.shards {
			n += len(part)
		}
	}
	return n
}

// All gives every key with its value, in no order.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if m.shards == nil {
			return
		}
		for _, part := range m.shards {
			for key, v := range part {
				if !yield(key, v) {
					return
				}
			}
		}
	}
}

// Draft is the next version of a map while it is made.
type Builder[V any] struct {
	shards     *[numShards]map[string]V
	copied     [numShards]bool // parts that belong to the draft alone
	ownsShards bool            // the list of parts does
}

// NewDraft begins the version after another.
func NewBuilder[V any](m Map[V]) Builder[V] { return Builder[V]{shards: m.shards} }

// Get is the value of a key, and whether it has one.
func (d *Builder[V]) Get(key string) (V, bool) { return Map[V]{d.shards}.Get(key) }

// Set gives a key a value.
func (d *Builder[V]) Set(key string, v V) { d.writableShard(shardOf(key))[key] = v }

// Drop takes a key out.
func (d *Builder[V]) Delete(key string) {
	if _, found := d.Get(key); found {
		delete(d.writableShard(shardOf(key)), key)
	}
}

// Changed says whether a key was set or dropped.
func (d *Builder[V]) Changed() bool { return d.ownsShards }

// Map is the version that was made. The draft must not be changed after that.
func (d *Builder[V]) Map() Map[V] { return Map[V]{d.shards} }

// part is a part that may be changed.
func (d *Builder[V]) writableShard(i int) map[string]V {
	if !d.ownsShards {
		parts := new([numShards]map[string]V)
		if d.shards != nil {
			*parts = *d.shards
		}
		d.shards, d.ownsShards = parts, true
	}
	if !d.copied[i] {
		if d.shards[i] = maps.Clone(d.shards[i]); d.shards[i] == nil {
			d.shards[i] = map[string]V{}
		}
		d.copied[i] = true
	}
	return d.shards[i]
}
