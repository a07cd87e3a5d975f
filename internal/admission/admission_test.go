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
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/state"
)

// opened is admission in simulated time, with a class and no replica.
func withController(t *testing.T, f func(g *Controller, n *gossip.Table)) {
	synctest.Test(t, func(*testing.T) {
		group := run.NewGroup(context.Background())
		defer group.Stop()
		n := gossip.NewTable()
		k := route.NewRouter(route.Deps{Group: group, Gossip: n, Clock: simhost.NewClock(), Zone: func() string { return "z" },
			SinceContact: func() time.Duration { return 0 }, Edges: func() int { return 1 }})
		g := New(group, k, time.Second, func() {})
		n.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: 1}, Value: conf.Kept{Serial: 1, Objects: map[string][]byte{"classes/c": []byte(`{}`)}}.Pack()})
		synctest.Wait()
		f(g, n)
	})
}

func target() route.Target {
	return route.Target{Route: conf.Route{Kind: "model", Class: "c"}, Item: conf.Item{Model: "m"}}
}

func holderEntry(version uint64) gossip.Entry {
	return gossip.Entry{Key: order.Key("r"), Stamp: state.Stamp{Epoch: 1, Version: version},
		Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r", Model: true}, Slots: 1, Items: map[string]string{"m": backend.Loaded}})}
}

func TestItemWithoutHolderIsRejectedAfterTimeout(t *testing.T) {
	withController(t, func(g *Controller, _ *gossip.Table) {
		began := time.Now()
		a := g.Acquire(context.Background(), target(), "c", time.Now().Add(time.Minute))
		if took := time.Since(began); a.Replica != nil || a.Explanation != "nobody has it and no controller answers" || took < time.Second || took > time.Second+2*recheckInterval {
			t.Errorf("got %+v after %v", a, took)
		}
	})
}

// Admission stands still while nobody waits; whoever comes later is looked after all the same.
func TestIdleControllerServesLaterWaiters(t *testing.T) {
	withController(t, func(g *Controller, n *gossip.Table) {
		for round := range 3 {
			time.Sleep(10 * time.Second)
			n.Put(holderEntry(uint64(2*round + 1)))
			synctest.Wait()
			first := g.Acquire(context.Background(), target(), "c", time.Now().Add(time.Minute))
			if first.Replica == nil {
				t.Fatalf("round %d: %+v", round, first)
			}
			var second queue.Answer
			group := run.NewGroup(context.Background())
			group.Go(func(ctx context.Context) { second = g.Acquire(ctx, target(), "c", time.Now().Add(time.Minute)) })
			time.Sleep(5 * time.Second)
			if n := g.Waiting()["m"]; n != 1 {
				t.Errorf("round %d: %d wait, want 1", round, n)
			}
			first.Done()
			synctest.Wait()
			group.Stop()
			if second.Replica == nil {
				t.Fatalf("round %d, who waited: %+v", round, second)
			}
			second.Done()
			time.Sleep(2 * sweepInterval)
			synctest.Wait()
			if n := len(g.Waiting()); n != 0 {
				t.Errorf("round %d: %d items are waited for when nobody waits", round, n)
			}
		}
	})
}

// A replica that is left out for a while is used as soon as that is over, with no
// news that says so.
func TestWaiterIsServedAfterConnectionBackOff(t *testing.T) {
	withController(t, func(g *Controller, n *gossip.Table) {
		n.Put(holderEntry(1))
		synctest.Wait()
		a := g.Acquire(context.Background(), target(), "c", time.Now().Add(time.Minute))
		a.Done()
		g.routes.RecordConnectionRefused(a.Replica)
		began := time.Now()
		if a = g.Acquire(context.Background(), target(), "c", time.Now().Add(time.Minute)); a.Replica == nil {
			t.Fatalf("got %+v", a)
		}
		if took := time.Since(began); took < time.Second/2 || took > time.Second+2*recheckInterval {
			t.Errorf("served after %v", took)
		}
	})
}

func TestWithdrawnWaitersAreRemoved(t *testing.T) {
	withController(t, func(g *Controller, _ *gossip.Table) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		if a := g.Acquire(ctx, target(), "c", time.Now().Add(time.Minute)); a.Replica != nil {
			t.Errorf("got %+v", a)
		}
		time.Sleep(2 * sweepInterval)
		synctest.Wait()
		if g.queue.HasClasses() || len(g.Waiting()) != 0 {
			t.Error("a withdrawn waiter is still held")
		}
	})
}
