package order

import (
	"slices"
	"testing"

	"drumstall.example/internal/backend"
)

func TestStatusesTellWhoHasAnItemInAnyState(t *testing.T) {
	s := NewStatuses([]Status{
		{Items: map[string]string{"a": backend.Loaded}},
		{Items: map[string]string{"b": backend.Loaded}},
		{Items: map[string]string{"a": Reserved, "b": backend.Loading}},
	})
	for item, want := range map[string][]int{"a": {0, 2}, "b": {1, 2}, "c": nil} {
		if got := s.Having(item); !slices.Equal(got, want) {
			t.Errorf("%s: %v, not %v", item, got, want)
		}
	}
	if got := (Statuses{}).Having("a"); got != nil {
		t.Errorf("of no replicas: %v", got)
	}
}
