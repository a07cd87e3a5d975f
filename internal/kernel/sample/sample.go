// Package sample picks some of many by chance, as gossip and probes do with peers.
// It keeps nothing, and leaves what it picks from as it is.
package sample

import (
	"math/rand/v2"
	"slices"
)

// Of picks up to n of all, in random order, none twice.
func Of[T any](all []T, n int) []T {
	out := slices.Clone(all)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}
