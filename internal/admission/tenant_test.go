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

// A tenant whose requests are all urgent fills a proxy up to the other tenants' part of the urgent
// reserve, so that a request of another tenant is still admitted at once.
func TestAllUrgentTenantLeavesReservedAttemptsToOthers(t *testing.T) {
	const limit = 16
	for _, c := range []struct {
		name, doc string
		theirs    int // attempts of the other tenant in flight
		plates    bool
	}{
		{"with tenants", `{"share":1}`, limit - limit/urgentReserveDivisor/2, true},
		{"without", "", limit, false},
	} {
		withController(t, func(ac *Controller, table *gossip.Table) {
			objects := map[string][]byte{"limits/default": []byte(`{"shots":16}`), "classes/plates": []byte(`{"urgent":true}`), "classes/bulk": []byte(`{"urgent":true}`)}
			if c.doc != "" {
				objects["tenants/ours"], objects["tenants/other"] = []byte(c.doc), []byte(c.doc)
				objects["classes/plates"], objects["classes/bulk"] = []byte(`{"urgent":true,"tenant":"ours"}`), []byte(`{"urgent":true,"tenant":"other"}`)
			}
			table.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: 2}, Value: conf.Stored{Serial: 2, Objects: objects}.Pack()})
			table.Put(gossip.Entry{Key: order.Key("r"), Stamp: state.Stamp{Epoch: 1, Version: 1},
				Value: wire.Marshal(order.Status{Listed: inventory.Listed{ID: "r", Model: true}, Slots: 1000, Items: map[string]string{"m": backend.Loaded}})})
			synctest.Wait()
			group := run.NewGroup(context.Background())
			defer group.Stop()
			enter := func(class string, done func(queue.Answer)) {
				group.Go(func(ctx context.Context) {
					target := route.Target{Route: conf.Route{Kind: "model", Class: class}, Item: conf.Item{Model: "m"}}
					done(ac.Acquire(ctx, target, class, time.Now().Add(5*time.Second)))
				})
			}
			for range 2 * limit {
				enter("bulk", func(queue.Answer) {})
			}
			synctest.Wait()
			if got := int(ac.Attempts()); got != c.theirs {
				t.Errorf("%s: %d attempts of the other tenant are in flight, want %d", c.name, got, c.theirs)
			}
			var got queue.Answer
			enter("plates", func(a queue.Answer) { got = a })
			synctest.Wait()
			if (got.Replica != nil) != c.plates {
				t.Errorf("%s: the request of class plates got %+v", c.name, got)
			}
		})
	}
}
