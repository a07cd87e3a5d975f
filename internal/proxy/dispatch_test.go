package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/attempt"
	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/route"
	"drumstall.example/internal/state"
)

// A silent replica is the only one that could respond until another that holds
// the model becomes known, or until its controller reports it as unreachable.
func TestOnlyReplicaCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := run.NewGroup(t.Context())
		defer g.Stop()
		table := gossip.NewTable()
		routes := route.NewRouter(route.Deps{Group: g, Gossip: table, Clock: tick.MachineClock(), Zone: func() string { return "a" },
			SinceContact: func() time.Duration { return 0 }, Edges: func() int { return 64 }})
		version := uint64(0)
		announce := func(id string, dark bool) {
			version++
			n := order.Status{Listed: inventory.Listed{ID: id, Model: true, Slots: 12}, Slots: 12, Stale: dark, Items: map[string]string{"m": backend.Loaded}}
			table.Put(gossip.Entry{Key: order.Key(id), Stamp: state.Stamp{Epoch: 1, Version: version}, Value: wire.Marshal(n)})
			time.Sleep(time.Second)
		}
		p := &Proxy{routes: routes, budget: attempt.NewBudget(1)}
		target := route.Target{Route: conf.Route{Kind: "model", Repeatable: true, Attempts: 2}, Item: conf.Item{Model: "m"}}
		announce("r1", false)
		now := time.Now()
		d := &dispatch{proxy: p, attempts: 1, call: Call{Target: target, FirstByteDeadline: now.Add(2 * time.Second)}}
		q := d.attemptRequest(routes.Current().Replicas["r1"], now.Add(time.Second))
		expectOnly := func(when string, want bool) {
			if q.OnlyReplica() != want {
				t.Errorf("%s: only replica: %v", when, !want)
			}
		}
		expectOnly("alone", true)
		announce("r2", false)
		expectOnly("no retry in the budget", true)
		p.budget.RecordFirst("models", 5)
		expectOnly("two hold it", false)
		announce("r2", true)
		d.releaseReservedRetry()
		expectOnly("the other is unreachable", true)
		announce("r1", true)
		expectOnly("it is unreachable itself", false)
		if q := d.attemptRequest(routes.Current().Replicas["r1"], d.call.FirstByteDeadline); q.OnlyReplica != nil {
			t.Error("Only is set although the attempt has the whole time until the deadline")
		}
	})
}
