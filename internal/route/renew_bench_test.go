package route

import (
	"fmt"
	"testing"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
)

// benchStatus returns the status entry of a replica that holds ten items.
func benchStatus(number, version int) []byte {
	n := order.Status{Listed: inventory.Listed{ID: fmt.Sprint("r", number), Model: true, Zone: "z1"}, Slots: 8, FreeMib: version, Items: map[string]string{}}
	for i := range 10 {
		n.Items[fmt.Sprint("model-", number%60*10+i)] = backend.Loaded
	}
	return wire.Marshal(n)
}

func newBenchFixture(replicas int) *fixture {
	w := newFixture(nil, 1, false)
	for i := range replicas {
		w.gossip.Put(gossip.Entry{Key: order.Key(fmt.Sprint("r", i)), Stamp: w.stamp(), Value: benchStatus(i, 0)})
	}
	w.router.renew()
	return w
}

func BenchmarkRenew(b *testing.B) {
	for _, replicas := range []int{150, 600} {
		b.Run(fmt.Sprintf("status change at one of %d", replicas), func(b *testing.B) {
			w := newBenchFixture(replicas)
			for i := 0; b.Loop(); i++ {
				w.gossip.Put(gossip.Entry{Key: order.Key("r1"), Stamp: w.stamp(), Value: benchStatus(1, i)})
				w.router.renew()
			}
		})
		b.Run(fmt.Sprintf("a load at one of %d", replicas), func(b *testing.B) {
			w := newBenchFixture(replicas)
			states := []string{backend.Loading, backend.Loaded}
			for i := 0; b.Loop(); i++ {
				n := order.Status{Listed: inventory.Listed{ID: "r1", Model: true, Zone: "z1"}, Slots: 8, Items: map[string]string{"model-1": states[i%2]}}
				w.gossip.Put(gossip.Entry{Key: order.Key("r1"), Stamp: w.stamp(), Value: wire.Marshal(n)})
				w.router.renew()
			}
		})
		b.Run(fmt.Sprintf("an interval at %d", replicas), func(b *testing.B) {
			w := newBenchFixture(replicas)
			for b.Loop() {
				w.router.renew()
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{150, 600} {
		b.Run(fmt.Sprintf("of %d", replicas), func(b *testing.B) {
			w := newBenchFixture(replicas)
			target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "model-1"}}
			for b.Loop() {
				w.router.Choose(target)
			}
		})
	}
}
