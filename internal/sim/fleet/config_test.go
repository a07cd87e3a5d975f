package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

func TestConfigurationsRaceAndStorm(t *testing.T) {
	Seeds(t, 4, either, func(f *Fleet) {
		f.Traffic(0.3)
		time.Sleep(5 * time.Second)
		var acked, wins atomic.Int64
		for i := range 40 {
			f.Group.Go(func(context.Context) {
				if _, ok := f.patchNow(i % len(f.Cores)); ok {
					acked.Add(1)
				}
			})
			if i%10 == 9 {
				time.Sleep(time.Second)
			}
		}
		time.Sleep(5 * time.Second)
		if n := acked.Load(); n < 20 {
			f.T.Errorf("only %d of the storm's 40 changes were taken", n)
		}
		// Compare-and-set: of two that name the same serial one is refused.
		serial, ok := f.patchNow(0)
		if !ok {
			f.T.Fatal("no change after the storm")
		}
		for i := range 2 {
			f.Group.Go(func(context.Context) {
				if _, ok := f.Patch(i, []byte(fmt.Sprintf(`{"replace":{"weights":{"load":{"weight":%d}}}}`, i)), fmt.Sprintf(`"%d"`, serial)); ok {
					wins.Add(1)
				}
			})
		}
		time.Sleep(5 * time.Second)
		if n := wins.Load(); n != 1 {
			f.T.Errorf("%d of two compare-and-sets on one serial were taken", n)
		}
	})
}

func TestLastFaultOfTheDayThenReadBack(t *testing.T) {
	Seeds(t, 6, either, func(f *Fleet) {
		time.Sleep(3 * time.Second)
		for i := range 3 {
			f.patchNow(i)
		}
		f.Put(f.Rnd.IntN(len(f.Cores)), append([]byte("  \n"), f.D.Config...), "")
		n := f.Cores[f.Rnd.IntN(len(f.Cores))]
		switch f.Rnd.IntN(3) {
		case 0:
			f.KillCore(n, true)
			f.LoseDisk(n)
			f.StartCore(n)
		case 1:
			for _, n := range f.Cores {
				f.KillCore(n, true)
			}
			for _, n := range f.Cores {
				f.StartCore(n)
			}
		case 2:
			f.Freeze(n)
			time.Sleep(4 * time.Second)
			f.Thaw(n)
		}
	})
}
