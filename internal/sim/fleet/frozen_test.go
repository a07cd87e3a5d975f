package fleet

import (
	"testing"
	"time"
)

func TestFrozenCoreWakes(t *testing.T) {
	Seeds(t, 4, either, func(f *Fleet) {
		f.Traffic(1)
		time.Sleep(10 * time.Second)
		for range 3 {
			n := f.Cores[f.Rnd.IntN(len(f.Cores))]
			f.Freeze(n)
			time.Sleep(time.Duration(1000+f.Rnd.IntN(9000)) * time.Millisecond)
			f.Thaw(n)
			time.Sleep(time.Duration(2+f.Rnd.IntN(6)) * time.Second)
		}
	})
}

func TestFrozenEdgeWakes(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		f.Traffic(1)
		time.Sleep(8 * time.Second)
		n := f.Edges[f.Rnd.IntN(len(f.Edges))]
		f.Freeze(n)
		f.patchNow(0)
		f.Platform.Mark("m-01", true)
		time.Sleep(10 * time.Second)
		f.Thaw(n)
		time.Sleep(10 * time.Second)
		f.Platform.Mark("m-01", false)
	})
}
