package route

import (
	"maps"
	"slices"

	"drumstall.example/internal/kernel/sharded"
)

// copyOnWrite is a map that is shared with the previous snapshot until the first change.
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

// index maps what a request needs to the replicas that may serve it. All lists are sorted.
type index struct {
	holders  sharded.Map[[]string] // by item: the model replicas that have it loaded
	services []string              // replicas that hold no models
}

// replicasFor returns the replicas that may serve a request.
func (x index) replicasFor(t Target, item string) []string {
	if t.Route.Kind == "model" {
		holders, _ := x.holders.Get(item)
		return holders
	}
	return x.services
}

// indexDraft is an index under construction; its lists are replaced, never modified in place.
type indexDraft struct {
	holders  sharded.Builder[[]string]
	services []string
}

// update updates the index for a row that replaces another; either may be nil.
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
	switch wasService, nowService := before.isService(), after.isService(); {
	case wasService && !nowService:
		x.services = withoutID(x.services, id)
	case nowService && !wasService:
		x.services = withID(x.services, id)
	}
}

// removeHolder removes a replica from the holders of an item.
func (x *indexDraft) removeHolder(id, item string) {
	if left := withoutID(x.holdersOf(item), id); len(left) > 0 {
		x.holders.Set(item, left)
	} else {
		x.holders.Delete(item)
	}
}

// holdersOf returns the replicas that have an item loaded.
func (x *indexDraft) holdersOf(item string) []string {
	holders, _ := x.holders.Get(item)
	return holders
}

// modelItems returns the items that a model replica has loaded; nil for services.
func (r *Replica) modelItems() map[string]bool {
	if r == nil || !r.Listed.Model {
		return nil
	}
	return r.Ready
}

func (r *Replica) isService() bool { return r != nil && !r.Listed.Model }

// withID returns a sorted list with id added, without modifying the argument.
func withID(sorted []string, id string) []string {
	at, found := slices.BinarySearch(sorted, id)
	if found {
		return sorted
	}
	return slices.Concat(sorted[:at], []string{id}, sorted[at:])
}

// withoutID returns a sorted list with id removed, without modifying the argument.
func withoutID(sorted []string, id string) []string {
	at, found := slices.BinarySearch(sorted, id)
	if !found {
		return sorted
	}
	return slices.Concat(sorted[:at], sorted[at+1:])
}
