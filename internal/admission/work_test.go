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

// Many requests ask for a model that no replica holds. Their work must be counted before the first copy
// is loaded, or further copies are loaded one after the other.
func TestWorkOfWaitersIsCountedBeforeTheFirstCopyLoads(t *testing.T) {
	withController(t, func(ac *Controller, _ *gossip.Table) {
		group := run.NewGroup(context.Background())
		defer group.Stop()
		misses := 0
		ac.onMiss = func() { misses++ }
		target := route.Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "m"}, Prompt: route.PromptFromParts("m", []route.Part{{ID: "p", Tokens: 3000}})}
		const asked = 10
		// Until a pace has been observed, prefill is assumed to read 30 tokens per ms.
		want := uint64((asked * 3000 * (time.Millisecond / 30)).Milliseconds())
		for range asked {
			group.Go(func(ctx context.Context) { ac.Acquire(ctx, target, "c", time.Now().Add(500*time.Millisecond)) })
		}
		synctest.Wait()
		if misses != asked || ac.Waiting()["m"] == 0 {
			t.Errorf("%d misses, waiting %v", misses, ac.Waiting())
		}
		if got := ac.routes.PrefillWorkMs()["m"]; got != want {
			t.Errorf("work of the waiters: %d ms, want %d", got, want)
		}
	})
}
