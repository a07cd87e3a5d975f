package route

import (
	"maps"
	"slices"

	"drumstall.example/internal/kernel/sharded"
)

// copyOnWrite is a map that belongs to the table before, too, until it is changed.
type copyOnWrite[V any] struct {
	entries map[string]V
	owned   bool
}

func (s *copyOnWrite[V]) set(key string, v V) {
	s.ensureOwned()
	s.entries[key] = v
}

func (s *copyOnWrite[V]) drop(key string) {
	if _, found := s.entries[key]; found {
		s.ensureOwned()
		delete(s.entries, key)
	}
}

func (s *copyOnWrite[V]) ensureOwned() {
	if s.owned {
		return
	}
	if s.entries, s.owned = maps.Clone(s.entries), true; s.entries == nil {
		s.entries = map[string]V{}
	}
}

// index finds the replicas that may hold what a request needs.
type index struct {
	holders  sharded.Map[[]string] // of each item: the replicas of models that are ready for it
	services []string              // replicas that hold no models
}

// able are the replicas that are worth a look for a request.
func (x index) replicasFor(t Target, item string) []string {
	if t.Route.Kind == "model" {
		holders, _ := x.holders.Get(item)
		return holders
	}
	return x.services
}

// indexing is an index while it is changed; no list is changed in its place.
type indexDraft struct {
	holders  sharded.Draft[[]string]
	services []string
}

// moved brings the index up to date with a row that takes the place of another;
// either may be nil.
func (x *indexDraft) update(id string, before, after *Replica) {
	for item := range before.modelItems() {
		if !after.modelItems()[item] {
			x.removeHolder(id, item)
		}
	}
	for item := range after.modelItems() {
		if !before.modelItems()[item] {
			x.holders.Set(item, withID(x.holdersOf(item), id))
		}
	}
	switch was, is := before.isService(), after.isService(); {
	case was && !is:
		x.services = withoutID(x.services, id)
	case is && !was:
		x.services = withID(x.services, id)
	}
}

// letGo notes that a replica holds an item no more.
func (x *indexDraft) removeHolder(id, item string) {
	if left := withoutID(x.holdersOf(item), id); len(left) > 0 {
		x.holders.Set(item, left)
	} else {
		x.holders.Drop(item)
	}
}

// of is the replicas that are ready for an item.
func (x *indexDraft) holdersOf(item string) []string {
	holders, _ := x.holders.Get(item)
	return holders
}

// models are the items that a replica of models is ready for.
func (r *Replica) modelItems() map[string]bool {
	if r == nil || !r.Listed.Model {
		return nil
	}
	return r.Ready
}

func (r *Replica) isService() bool { return r != nil && !r.Listed.Model }

// with is a new sorted list that has id, too.
func withID(sorted []string, id string) []string {
	at, found := slices.BinarySearch(sorted, id)
	if found {
		return sorted
	}
	return slices.Concat(sorted[:at], []string{id}, sorted[at:])
}

// without is a new sorted list that lacks id.
func withoutID(sorted []string, id string) []string {
	at, found := slices.BinarySearch(sorted, id)
	if !found {
		return sorted
	}
	return slices.Concat(sorted[:at], sorted[at+1:])
}
