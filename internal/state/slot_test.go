package state

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
)

// slotOfParts is the slot by the library's hash: the slots on disks were given by it.
func referenceSlotOf(key string) int {
	parts := strings.SplitN(key, "/", 3)
	h := fnv.New32a()
	for _, p := range parts[:min(2, len(parts))] {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return int(h.Sum32() % SlotCount)
}

func TestSlotOfMatchesStoredSlotAssignment(t *testing.T) {
	keys := []string{"", "/", "//", "a", "a/", "/a", "a/b", "a/b/", "a/b/c", "a//c", "config/main", "pace/store", "coreset", "demand/ü/3/x"}
	for i := range 1000 {
		keys = append(keys, fmt.Sprintf("demand/model-%d/%d/a%d", i, i%7, i%3), fmt.Sprintf("replica/i-%x", i*7919))
	}
	for _, key := range keys {
		if got, want := SlotOf(key), referenceSlotOf(key); got != want {
			t.Errorf("%q: %d, not %d", key, got, want)
		}
	}
}

func TestSlotOfDoesNotAllocate(t *testing.T) {
	if n := testing.AllocsPerRun(100, func() { SlotOf("demand/model-1/3/a1") }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
