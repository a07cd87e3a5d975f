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
	"drumstall.example/internal/state"
)

// bubble is the clock of a test's bubble.
type bubble struct{ from time.Time }

func (b bubble) Since() time.Duration { return time.Since(b.from) }
func (b bubble) Wall() time.Time      { return time.Now() }

// A model that nobody holds is asked for by many: how much work that is must be
// known before the first copy is there, or the next copies come one after the other.
func TestWorkOfWhatWaitsIsKnownBeforeTheFirstCopyIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := run.NewGroup(context.Background())
		defer group.Stop()
		told := gossip.NewTable()
		zero := func() time.Duration { return 0 }
		routes := route.NewKeeper(route.Deps{Group: group, Gossip: told, Clock: bubble{time.Now()}, Zone: func() string { return "" }, HeardFor: zero, Edges: func() int { return 1 }})
		kept := conf.Kept{Serial: 1, Objects: map[string][]byte{"classes/plain": []byte(`{}`)}}
		told.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Serial: 1}, Value: kept.Pack()})
		synctest.Wait()
		misses := 0
		g := New(group, routes, time.Second, func() { misses++ })
		target := route.Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "m"}, Prompt: route.PromptOf("m", []route.Part{{ID: "p", Tokens: 3000}})}
		const asked = 10
		// Why: until a pace has been seen, 30 tokens are taken to be read in a ms.
		want := uint64((asked * 3000 * (time.Millisecond / 30)).Milliseconds())
		for range asked {
			group.Go(func(ctx context.Context) { g.Enter(ctx, target, "plain", time.Now().Add(500*time.Millisecond)) })
		}
		synctest.Wait()
		if misses != asked || g.Waiting()["m"] == 0 {
			t.Errorf("%d misses, waiting %v", misses, g.Waiting())
		}
		if got := routes.Work()["m"]; got != want {
			t.Errorf("work of what waits: %d ms, want %d", got, want)
		}
	})
}
