package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/route"
)

// A model that nobody holds is asked for by many: how much work that is must be
// known before the first copy is there, or the next copies come one after the other.
func TestWorkOfWaitersIsCountedBeforeTheFirstCopyLoads(t *testing.T) {
	withController(t, func(g *Controller, _ *gossip.Table) {
		group := run.NewGroup(context.Background())
		defer group.Stop()
		misses := 0
		g.onMiss = func() { misses++ }
		target := route.Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "m"}, Prompt: route.PromptFromParts("m", []route.Part{{ID: "p", Tokens: 3000}})}
		const asked = 10
		// Why: until a pace has been seen, 30 tokens are taken to be read in a ms.
		want := uint64((asked * 3000 * (time.Millisecond / 30)).Milliseconds())
		for range asked {
			group.Go(func(ctx context.Context) { g.Acquire(ctx, target, "c", time.Now().Add(500*time.Millisecond)) })
		}
		synctest.Wait()
		if misses != asked || g.Waiting()["m"] == 0 {
			t.Errorf("%d misses, waiting %v", misses, g.Waiting())
		}
		if got := g.routes.PrefillWorkMs()["m"]; got != want {
			t.Errorf("work of what waits: %d ms, want %d", got, want)
		}
	})
}
