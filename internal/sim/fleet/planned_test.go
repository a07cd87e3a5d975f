package fleet

import (
	"context"
	"testing"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/state"
)

func TestPlannedWorkDropsNothing(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		f.Traffic(2)
		time.Sleep(8 * time.Second)
		for _, n := range f.Edges {
			f.Down(n)
			f.Rec.Put(check.Event{Kind: check.Planned, Node: n.Name})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			if err := n.Proxy.Stop(ctx); err != nil {
				f.T.Errorf("%s did not stop by itself: %v", n.Name, err)
			}
			_ = n.Agent.Stop(ctx)
			n.Proxy, n.Agent = nil, nil
			f.Rec.Put(check.Event{Kind: check.PlanEnd, Node: n.Name})
			f.StartEdge(n)
			cancel()
			time.Sleep(3 * time.Second)
		}
		for _, n := range f.Cores {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			_ = n.Core.Stop(ctx)
			cancel()
			n.Core = nil
			took := f.Until(10*time.Second, "a change after a core was stopped", func() bool {
				for i, o := range f.Cores {
					if o.Core != nil {
						_, ok := f.patchNow(i)
						return ok
					}
				}
				return false
			})
			f.T.Logf("a change is taken %v after %s was stopped", took, n.Name)
			// Why: a lease that is not handed over runs out by itself after most of its 3 s.
			if took > state.LeaseDuration-state.LeaseMargin-500*time.Millisecond {
				f.T.Errorf("a change was taken only %v after %s was stopped as planned", took, n.Name)
			}
			f.StartCore(n)
			time.Sleep(8 * time.Second)
		}
	})
}
