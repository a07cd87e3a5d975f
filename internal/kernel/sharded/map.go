// Package sharded implements immutable maps that can be read without a lock while the next version is
// built: the next version copies only the shards in which it differs.
package sharded

import (
	"hash/maphash"
	"iter"
	"maps"
)

// numShards is the number of shards of a map. A change copies one shard and the array of shards; with tens of
// thousands of keys both are small.
const numShards = 64

// hashSeed is the seed of the hash that assigns keys to shards, common to all maps of the process.
var hashSeed = maphash.MakeSeed()

func shardOf(key string) int { return int(maphash.String(hashSeed, key) % numShards) }

// Map is one version of a map; it never changes. The zero value is empty.
type Map[V any] struct {
	shards *[numShards]map[string]V // nil if the map is empty
}

// Get returns the value of a key and whether the key is present.
func (m Map[V]) Get(key string) (V, bool) {
	if m.shards == nil {
		var zero V
		return zero, false
	}
	v, found := m.shards[shardOf(key)][key]
	return v, found
}

// Len returns the number of keys.
func (m Map[V]) Len() int {
	n := 0
	if m.shards != nil {
		for _, shard := range m.shards {
			n += len(shard)
		}
	}
	return n
}

// All iterates over all keys and values in no particular order.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if m.shards == nil {
			return
		}
		for _, shard := range m.shards {
			for key, v := range shard {
				if !yield(key, v) {
					return
				}
			}
		}
	}
}

// Builder builds the next version of a map.
type Builder[V any] struct {
	shards     *[numShards]map[string]V
	copied     [numShards]bool // shards that were copied and may be modified
	ownsShards bool            // whether the array of shards was copied and may be modified
}

// NewBuilder returns a builder that starts with the contents of m.
func NewBuilder[V any](m Map[V]) Builder[V] { return Builder[V]{shards: m.shards} }

// Get returns the value of a key and whether the key is present.
func (b *Builder[V]) Get(key string) (V, bool) { return Map[V]{b.shards}.Get(key) }

// Set sets the value of a key.
func (b *Builder[V]) Set(key string, v V) { b.writableShard(shardOf(key))[key] = v }

// Delete deletes a key if it is present.
func (b *Builder[V]) Delete(key string) {
	if _, found := b.Get(key); found {
		delete(b.writableShard(shardOf(key)), key)
	}
}

// Changed reports whether a key was set or deleted.
func (b *Builder[V]) Changed() bool { return b.ownsShards }

// Map returns the new version. The builder must not be modified afterwards.
func (b *Builder[V]) Map() Map[V] { return Map[V]{b.shards} }

// writableShard returns a shard that may be modified, copying it on first use.
func (b *Builder[V]) writableShard(i int) map[string]V {
	if !b.ownsShards {
		shards := new([numShards]map[string]V)
		if b.shards != nil {
			*shards = *b.shards
		}
		b.shards, b.ownsShards = shards, true
	}
	if !b.copied[i] {
		if b.shards[i] = maps.Clone(b.shards[i]); b.shards[i] == nil {
			b.shards[i] = map[string]V{}
		}
		b.copied[i] = true
	}
	return b.shards[i]
}
