package fleet

import (
	"fmt"
	"testing"
	"time"
)

func TestDisksSlowStalledFull(t *testing.T) {
	Seeds(t, 4, either, func(f *Fleet) {
		f.Traffic(0.3)
		time.Sleep(5 * time.Second)
		for _, how := range []int32{DiskSlow, DiskStalled, DiskFull} {
			n := f.Cores[f.Rnd.IntN(len(f.Cores))]
			other := 0
			if f.Cores[0] == n {
				other = 1
			}
			f.Disk(n, how)
			f.Until(15*time.Second, fmt.Sprintf("a change with a disk in state %d", how), func() bool { _, ok := f.patchNow(other); return ok })
			time.Sleep(5 * time.Second)
			f.KillCore(n, true)
			time.Sleep(time.Second)
			f.StartCore(n)
			time.Sleep(10 * time.Second)
		}
	})
}
