package order

import (
	"iter"
	"maps"
	"slices"
	"sync"

	"drumstall.example/internal/backend"
)

// Statuses is all replicas' newest status, by name. Nobody changes it.
type Statuses struct {
	All   []Status
	index *itemIndex
}

// itemIndex is which replicas have each item in any state, by their places; it is made when it is first asked for.
type itemIndex struct {
	once     sync.Once
	replicas map[string][]int
}

// NewStatuses is for a list that nobody changes from now on.
func NewStatuses(all []Status) Statuses { return Statuses{All: all, index: &itemIndex{}} }

// Having is the places in All of the replicas that have an item, in any state. Why: a decision asks so for the
// item, and for each that might go; going through all replicas each time took a sixth of a core's time in a large fleet.
func (s Statuses) WithItem(item string) []int {
	if s.index == nil {
		return nil
	}
	return s.index.get(s.All)[item]
}

// of is the index of a list.
func (x *itemIndex) get(all []Status) map[string][]int {
	x.once.Do(func() {
		x.replicas = make(map[string][]int, len(all))
		for at := range all {
			for item := range all[at].Items {
				x.replicas[item] = append(x.replicas[item], at)
			}
		}
	})
	return x.replicas
}

// Replaced is the statuses of a list of the same replicas, which differs at some places. The index is taken over but for
// what the replicas at these places have or had.
func (s Statuses) Replaced(all []Status, differ []int) Statuses {
	having := maps.Clone(s.index.get(s.All))
	for _, at := range differ {
		was, now := s.All[at].Items, all[at].Items
		for item := range was {
			if _, still := now[item]; still {
				continue
			}
			if having[item] = removeIndex(having[item], at); len(having[item]) == 0 {
				delete(having, item)
			}
		}
		for item := range now {
			if _, had := was[item]; !had {
				having[item] = insertIndex(having[item], at)
			}
		}
	}
	x := &itemIndex{replicas: having}
	x.once.Do(func() {})
	return Statuses{All: all, index: x}
}

// holders are the replicas but one that hold an item, answer, and stay.
func (s Statuses) holders(item, not string) iter.Seq[*Status] {
	return func(yield func(*Status) bool) {
		for _, at := range s.WithItem(item) {
			one := &s.All[at]
			if one.Listed.ID == not || one.Stale || one.Listed.Leaving || one.Items[item] != backend.Loaded {
				continue
			}
			if !yield(one) {
				return
			}
		}
	}
}

// without is a list of places without one of them; the list itself is not changed.
func removeIndex(places []int, at int) []int {
	out := make([]int, 0, len(places))
	for _, p := range places {
		if p != at {
			out = append(out, p)
		}
	}
	return out
}

// with is a sorted list of places with one more; the list itself is not changed.
func insertIndex(places []int, at int) []int {
	i, _ := slices.BinarySearch(places, at)
	return slices.Insert(slices.Clone(places), i, at)
}
