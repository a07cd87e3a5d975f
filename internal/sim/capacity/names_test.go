package capacity

import (
	"fmt"

	"drumstall.example/internal/state"
)

const contentType = "application/vnd.drumstall.platform+json"

func nodeName(i int) string   { return fmt.Sprintf("edge-%04d", i) }
func replicaID(i int) string  { return fmt.Sprintf("m-%04d-%04x", i, i*7919&0xffff) }
func zone(i int) string       { return fmt.Sprintf("r%d-z%d", i%3, i%7) }
func stamp(i int) state.Stamp { return state.Stamp{Epoch: 40, Serial: uint64(1000 + i)} }
func modelName(i int) string  { return fmt.Sprintf("model-%04d", i) }
func itemName(i int) string {
	if i < 1200 {
		return modelName(i)
	}
	return fmt.Sprintf("%s/a%d", modelName(i%1200), i/1200)
}
