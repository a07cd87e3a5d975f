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

// Reservoir picks some of those it is shown, each as likely as any other, and holds no more than that.
type Reservoir[T any] struct {
	size   int
	seen   int
	picked []T
}

// NewReservoir picks up to most.
func NewReservoir[T any](most int) Reservoir[T] { return Reservoir[T]{size: most} }

// Show offers one more.
func (r *Reservoir[T]) Add(one T) {
	r.seen++
	if len(r.picked) < r.size {
		r.picked = append(r.picked, one)
		return
	}
	if at := rand.IntN(r.seen); at < r.size {
		r.picked[at] = one
	}
}

// Picked are those that were picked so far, in no order.
func (r *Reservoir[T]) Picked() []T { return r.picked }
