package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/queue"
	"drumstall.example/internal/route"
	"drumstall.example/internal/state"
)

// A tenant that calls all its requests urgent fills a proxy but for the others'
// part of what is kept for urgent ones, and what it has waiting takes turns with ours.
func TestAllUrgentTenantLeavesReservedAttemptsToOthers(t *testing.T) {
	const limit = 16
	for _, c := range []struct {
		name, doc string
		theirs    int // requests of the other that are out
		plates    bool
	}{
		{"with tenants", `{"share":1}`, limit - limit/urgentReserveDivisor/2, true},
		{"without", "", limit, false},
	} {
		withController(t, func(g *Controller, n *gossip.Table) {
			objects := map[string][]byte{"limits/default": []byte(`{"shots":16}`), "classes/plates": []byte(`{"urgent":true}`), "classes/bulk": []byte(`{"urgent":true}`)}
			if c.doc != "" {
				objects["tenants/ours"], objects["tenants/other"] = []byte(c.doc), []byte(c.doc)
				objects["classes/plates"], objects["classes/bulk"] = []byte(`{"urgent":true,"tenant":"ours"}`), []byte(`{"urgent":true,"tenant":"other"}`)
			}
			n.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: 2}, Value: conf.Kept{Serial: 2, Objects: objects}.Pack()})
			n.Put(gossip.Entry{Key: order.Key("r"), Stamp: state.Stamp{Epoch: 1, Version: 1},
				Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r", Model: true}, Slots: 1000, Items: map[string]string{"m": backend.Loaded}})})
			synctest.Wait()
			group := run.NewGroup(context.Background())
			defer group.Stop()
			enter := func(class string, done func(queue.Answer)) {
				group.Go(func(ctx context.Context) {
					target := route.Target{Route: conf.Route{Kind: "model", Class: class}, Item: conf.Item{Model: "m"}}
					done(g.Acquire(ctx, target, class, time.Now().Add(5*time.Second)))
				})
			}
			for range 2 * limit {
				enter("bulk", func(queue.Answer) {})
			}
			synctest.Wait()
			if got := int(g.Attempts()); got != c.theirs {
				t.Errorf("%s: %d of the other's are out, want %d", c.name, got, c.theirs)
			}
			var got queue.Answer
			enter("plates", func(a queue.Answer) { got = a })
			synctest.Wait()
			if (got.Replica != nil) != c.plates {
				t.Errorf("%s: the plate check got %+v", c.name, got)
			}
		})
	}
}
