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
			t.Errorf("%s: %v, not %v", item, got, want)
		}
	}
	if got := (Statuses{}).WithItem("a"); got != nil {
		t.Errorf("of no replicas: %v", got)
	}
}

// An index that was taken over from the list before tells the same as one that is made anew.
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
		anew := NewStatuses(next.All)
		for item := 'a'; item < 'g'; item++ {
			if got, want := next.WithItem(string(item)), anew.WithItem(string(item)); !slices.Equal(got, want) {
				t.Fatalf("round %d, %c: %v, not %v", round, item, got, want)
			}
			if got, want := s.WithItem(string(item)), before.WithItem(string(item)); !slices.Equal(got, want) {
				t.Fatalf("round %d, %c: what was handed out has changed from %v to %v", round, item, want, got)
			}
		}
		s = next
	}
}
