// Package share assigns keys to names by rendezvous hashing: every node
// that knows the same names ranks them identically, and the removal of a name moves
// only the keys assigned to it.
package share

import "hash/fnv"

// Score returns the rendezvous score of a name for a key; the name with the highest score is preferred. The function
// must never change: versions that run side by side would otherwise prefer different owners.
func Score(key []byte, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(key)
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	// FNV mixes its last bytes badly into the high bits; without this step one name gets too many keys.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
