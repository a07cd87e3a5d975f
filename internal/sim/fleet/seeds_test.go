package fleet

import (
	"fmt"
	"testing"
	"time"
)

func TestSeedsSwappedUntilNoneIsLeft(t *testing.T) {
	Seeds(t, 2, either, func(f *Fleet) {
		f.Traffic(0.3)
		time.Sleep(5 * time.Second)
		for i, n := range []*Node{f.Cores[0], f.Cores[1], f.Edges[0]} {
			ip := fmt.Sprintf("10.1.1.%d", i+1)
			if n.Core != nil {
				f.KillCore(n, true)
				f.MoveCore(n, ip)
				f.seeds.set(i, ip+":7000")
				f.StartCore(n)
			} else {
				f.KillEdge(n)
				f.MoveCore(n, ip)
				f.seeds.set(i, ip+":7000")
				f.StartEdge(n)
			}
			time.Sleep(12 * time.Second)
		}
		f.patchNow(0)
		// A core that starts with the new seeds only finds the fleet.
		last := f.Cores[len(f.Cores)-1]
		f.KillCore(last, true)
		f.StartCore(last)
		time.Sleep(10 * time.Second)
		f.Until(5*time.Second, "a change at the last core", func() bool { _, ok := f.patchNow(len(f.Cores) - 1); return ok })
	})
}
