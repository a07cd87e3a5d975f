// Package sample selects random elements, for instance the peers of gossip and probes.
// It does not modify the slices that it samples.
package sample

import (
	"math/rand/v2"
	"slices"
)

// Of returns up to n elements of all in random order, without repetition.
func Of[T any](all []T, n int) []T {
	out := slices.Clone(all)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// Reservoir selects a uniform random sample of a stream of elements by reservoir sampling, and holds only the sample.
type Reservoir[T any] struct {
	size   int
	seen   int
	picked []T
}

// NewReservoir returns a reservoir for a sample of up to size elements.
func NewReservoir[T any](size int) Reservoir[T] { return Reservoir[T]{size: size} }

// Add adds an element of the stream.
func (r *Reservoir[T]) Add(element T) {
	r.seen++
	if len(r.picked) < r.size {
		r.picked = append(r.picked, element)
		return
	}
	if i := rand.IntN(r.seen); i < r.size {
		r.picked[i] = element
	}
}

// Picked returns the current sample in no particular order.
func (r *Reservoir[T]) Picked() []T { return r.picked }
