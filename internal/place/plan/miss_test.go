package plan

import (
	"testing"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/place/order"
)

// A copy that is on its way counts as one, so that a further one has to pass the test.
func TestCountCopiesIncludesLoadingCopies(t *testing.T) {
	it := conf.Item{Model: "m"}
	view := func(id string, state string, dark, leaving bool) order.Status {
		return order.Status{Listed: inventory.Listed{ID: id, Leaving: leaving}, Stale: dark, Items: map[string]string{"m": state}}
	}
	for name, c := range map[string]struct {
		views  []order.Status
		copies int
		coming bool
	}{
		"nobody":          {nil, 0, false},
		"on its way":      {[]order.Status{view("a", order.Reserved, false, false)}, 1, true},
		"loading":         {[]order.Status{view("a", backend.Loading, false, false)}, 1, true},
		"held":            {[]order.Status{view("a", backend.Loaded, false, false)}, 1, false},
		"held and coming": {[]order.Status{view("a", backend.Loaded, false, false), view("b", backend.Loading, false, false)}, 2, true},
		"dark or leaving": {[]order.Status{view("a", backend.Loaded, true, false), view("b", backend.Loading, false, true)}, 0, false},
		"being unloaded":  {[]order.Status{view("a", backend.Unloading, false, false)}, 0, false},
	} {
		if copies, coming := countCopies(it, order.NewStatuses(c.views)); copies != c.copies || coming != c.coming {
			t.Errorf("%s: %d, %v", name, copies, coming)
		}
	}
}
