// Package capacity measures the slopes of docs/CAPACITY.md, and holds what its runs and the hollow
// fleet share: names, traffic counted by kind, and lines laid through measured points.
//
// The runs are its tests; cmd/dsscale and internal/sim/hollow use the rest. No program that serves anybody uses it.
package capacity

import "fmt"

// Models of the catalogue at the size to design for.
const Models = 1200

// NodeName is the name of the i-th node.
func NodeName(i int) string { return fmt.Sprintf("edge-%04d", i) }

// ReplicaID is the identity of the i-th replica.
func ReplicaID(i int) string { return fmt.Sprintf("m-%04d-%04x", i, i*7919&0xffff) }

// ModelName is the name of the i-th model.
func ModelName(i int) string { return fmt.Sprintf("model-%04d", i) }

// AdapterName is the name of an adapter with its model's.
func AdapterName(model string, i int) string { return fmt.Sprintf("%s/a%d", model, i) }

// ItemName is the name of the i-th item of the catalogue: models first, then their adapters.
func ItemName(i int) string {
	if i < Models {
		return ModelName(i)
	}
	return AdapterName(ModelName(i%Models), i/Models)
}
