// Package share gives each name its draw for a key (rendezvous): every node
// that knows the same names ranks them alike, and a name that goes away moves
// only what it had.
package share

import "hash/fnv"

// Draw is a name's draw for a key; the highest wins. It must never change:
// versions that run side by side would each prefer another owner.
func Score(key []byte, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(key)
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	// Why: fnv mixes its last bytes badly into the high bits; without this one name wins too many keys.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
