package order

import (
	"math/rand/v2"
	"slices"
	"testing"

	"drumstall.example/internal/backend"
)

func TestStatusesIndexItemsInAnyState(t *testing.T) {
	s := NewStatuses([]Status{
		{Items: map[string]string{"a": backend.Loaded}},
		{Items: map[string]string{"b": backend.Loaded}},
		{Items: map[string]string{"a": Reserved, "b": backend.Loading}},
	})
	for item, want := range map[string][]int{"a": {0, 2}, "b": {1, 2}, "c": nil} {
		if got := s.WithItem(item); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", item, got, want)
		}
	}
	if got := (Statuses{}).WithItem("a"); got != nil {
		t.Errorf("without replicas: %v", got)
	}
}

// The updated index equals an index that is built from scratch, and the previous one is unchanged.
func TestReplacedUpdatesIndex(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	status := func() Status {
		s := Status{Items: map[string]string{}}
		for range rnd.IntN(4) {
			s.Items[string(rune('a'+rnd.IntN(6)))] = backend.Loaded
		}
		return s
	}
	s := NewStatuses([]Status{status(), status(), status(), status(), status()})
	for round := range 200 {
		before := NewStatuses(slices.Clone(s.All))
		list, differ := slices.Clone(s.All), []int{rnd.IntN(3), 3 + rnd.IntN(2)}
		for _, at := range differ {
			list[at] = status()
		}
		next := s.Replaced(list, differ)
		rebuilt := NewStatuses(next.All)
		for item := 'a'; item < 'g'; item++ {
			if got, want := next.WithItem(string(item)), rebuilt.WithItem(string(item)); !slices.Equal(got, want) {
				t.Fatalf("round %d, %c: %v, want %v", round, item, got, want)
			}
			if got, want := s.WithItem(string(item)), before.WithItem(string(item)); !slices.Equal(got, want) {
				t.Fatalf("round %d, %c: the previous index changed from %v to %v", round, item, want, got)
			}
		}
		s = next
	}
}
