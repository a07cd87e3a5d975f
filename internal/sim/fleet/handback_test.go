package fleet

import (
	"testing"
	"time"
)

// A slot that goes to the core that should have it is without an owner for a
// moment, not for a whole lease.
func TestASlotGoesBackInAMoment(t *testing.T) {
	longest := time.Duration(0)
	Seeds(t, 4, either, func(f *Fleet) {
		var hole [16]time.Duration
		for range 250 {
			time.Sleep(50 * time.Millisecond)
			held := map[int]bool{}
			for _, n := range f.Cores {
				for slot := range n.Core.Held() {
					held[slot] = true
				}
			}
			for slot := range hole {
				hole[slot] += 50 * time.Millisecond
				if held[slot] {
					hole[slot] = 0
				}
				longest = max(longest, hole[slot])
				if hole[slot] == 1500*time.Millisecond {
					f.T.Errorf("slot %d has been without an owner for %v though no core failed", slot, hole[slot])
				}
			}
		}
	})
	t.Log("longest", longest)
}
