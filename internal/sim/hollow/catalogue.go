package hollow

import (
	"encoding/json"
	"fmt"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/sim/capacity"
)

// Catalogue is how much the configuration holds.
type Catalogue struct {
	Models   int
	Adapters int // of all models together
	Routes   int
}

// Sizes of the fleet's models and replicas.
const (
	modelMib     = 140_000
	replicaMib   = 600_000
	loadMs       = 42_500
	adapterSeats = 32
	replicaSlots = 128
	// heldModels and heldAdapters are what a replica brings along; heldShare is the part of the models that any brings.
	heldModels   = 2
	heldAdapters = 8
	heldShare    = 0.75
	paceLoads    = 4 // loads that may start in any 5 s
)

// Document is the configuration, in the design's own form.
func (c Catalogue) Document() ([]byte, error) {
	models, routes := map[string]any{}, map[string]any{}
	for i := range c.Models {
		var adapters []string
		for a := range c.adaptersOf() {
			adapters = append(adapters, fmt.Sprintf("a%d", a))
		}
		models[capacity.ModelName(i)] = map[string]any{"sizeMib": modelMib, "loadMs": loadMs, "serveMs": 20_000, "adapters": adapters}
	}
	for i := range c.Routes {
		routes[fmt.Sprintf("route-%04d", i)] = map[string]any{"kind": "model", "class": "desk", "deadlineMs": 30_000}
	}
	return json.Marshal(map[string]any{
		"models":  models,
		"routes":  routes,
		"classes": map[string]any{"desk": map[string]any{"weight": 1}},
		"groups":  map[string]any{"fleet": map[string]any{"selector": "pool=main"}},
		"limits":  map[string]any{"default": map[string]any{"paceLoads": paceLoads, "retryAllowance": 410}},
	})
}

// Change is a small change of the configuration, another for each n.
func Change(n int) []byte {
	return fmt.Appendf(nil, `{"replace":{"routes":{"route-0000":{"kind":"model","class":"desk","deadlineMs":%d}}}}`, 30_001+n)
}

func (c Catalogue) adaptersOf() int { return c.Adapters / max(c.Models, 1) }

// brings is what the i-th replica holds at the start, of all that there is.
func (c Catalogue) brings(i int) []conf.Item {
	var out []conf.Item
	wanted := max(int(heldShare*float64(c.Models)), heldModels)
	for j := range min(heldModels, c.Models) {
		model := capacity.ModelName((i*heldModels + j) % min(wanted, c.Models))
		out = append(out, conf.Item{Model: model})
		for a := range min(heldAdapters/heldModels, c.adaptersOf()) {
			out = append(out, conf.ParseItem(capacity.AdapterName(model, a)))
		}
	}
	return out
}
