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

// withController runs f with admission in simulated time, with one class and no replica.
func withController(t *testing.T, f func(ac *Controller, table *gossip.Table)) {
	synctest.Test(t, func(*testing.T) {
		group := run.NewGroup(context.Background())
		defer group.Stop()
		table := gossip.NewTable()
		router := route.NewRouter(route.Deps{Group: group, Gossip: table, Clock: simhost.NewClock(), Zone: func() string { return "z" },
			SinceContact: func() time.Duration { return 0 }, Edges: func() int { return 1 }})
		ac := New(group, router, time.Second, func() {})
		table.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: 1}, Value: conf.Stored{Serial: 1, Objects: map[string][]byte{"classes/c": []byte(`{}`)}}.Pack()})
		synctest.Wait()
		f(ac, table)
	})
}

func target() route.Target {
	return route.Target{Route: conf.Route{Kind: "model", Class: "c"}, Item: conf.Item{Model: "m"}}
}

func holderEntry(version uint64) gossip.Entry {
	return gossip.Entry{Key: order.Key("r"), Stamp: state.Stamp{Epoch: 1, Version: version},
		Value: wire.Marshal(order.Status{Listed: inventory.Listed{ID: "r", Model: true}, Slots: 1, Items: map[string]string{"m": backend.Loaded}})}
}

func TestItemWithoutHolderIsRejectedAfterTimeout(t *testing.T) {
	withController(t, func(ac *Controller, _ *gossip.Table) {
		began := time.Now()
		a := ac.Acquire(context.Background(), target(), "c", time.Now().Add(time.Minute))
		if took := time.Since(began); a.Replica != nil || a.Explanation != "nobody has it and no controller answers" || took < time.Second || took > time.Second+2*recheckInterval {
			t.Errorf("got %+v after %v", a, took)
		}
	})
}

// Admission is idle while there are no waiters; later waiters must still be served and removed.
func TestIdleControllerServesLaterWaiters(t *testing.T) {
	withController(t, func(ac *Controller, table *gossip.Table) {
		for round := range 3 {
			time.Sleep(10 * time.Second)
			table.Put(holderEntry(uint64(2*round + 1)))
			synctest.Wait()
			first := ac.Acquire(context.Background(), target(), "c", time.Now().Add(time.Minute))
			if first.Replica == nil {
				t.Fatalf("round %d: %+v", round, first)
			}
			var second queue.Answer
			group := run.NewGroup(context.Background())
			group.Go(func(ctx context.Context) { second = ac.Acquire(ctx, target(), "c", time.Now().Add(time.Minute)) })
			time.Sleep(5 * time.Second)
			if n := ac.Waiting()["m"]; n != 1 {
				t.Errorf("round %d: %d requests wait, want 1", round, n)
			}
			first.Done()
			synctest.Wait()
			group.Stop()
			if second.Replica == nil {
				t.Fatalf("round %d, second request: %+v", round, second)
			}
			second.Done()
			time.Sleep(2 * sweepInterval)
			synctest.Wait()
			if n := len(ac.Waiting()); n != 0 {
				t.Errorf("round %d: %d items have waiters, want none", round, n)
			}
		}
	})
}

// A replica that is left out after a refused connection is used again as soon as the back-off is over,
// without any new gossip entry.
func TestWaiterIsServedAfterConnectionBackOff(t *testing.T) {
	withController(t, func(ac *Controller, table *gossip.Table) {
		table.Put(holderEntry(1))
		synctest.Wait()
		a := ac.Acquire(context.Background(), target(), "c", time.Now().Add(time.Minute))
		a.Done()
		ac.routes.RecordConnectionRefused(a.Replica)
		began := time.Now()
		if a = ac.Acquire(context.Background(), target(), "c", time.Now().Add(time.Minute)); a.Replica == nil {
			t.Fatalf("got %+v", a)
		}
		if took := time.Since(began); took < time.Second/2 || took > time.Second+2*recheckInterval {
			t.Errorf("served after %v", took)
		}
	})
}

func TestWithdrawnWaitersAreRemoved(t *testing.T) {
	withController(t, func(ac *Controller, _ *gossip.Table) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		if a := ac.Acquire(ctx, target(), "c", time.Now().Add(time.Minute)); a.Replica != nil {
			t.Errorf("got %+v", a)
		}
		time.Sleep(2 * sweepInterval)
		synctest.Wait()
		if ac.queue.HasClasses() || len(ac.Waiting()) != 0 {
			t.Error("a withdrawn waiter is still held")
		}
	})
}

// holderOf is the gossip entry of a replica with some slots that holds the item.
func holderOf(id string, slots int) gossip.Entry {
	return gossip.Entry{Key: order.Key(id), Stamp: state.Stamp{Epoch: 1, Version: 1},
		Value: wire.Marshal(order.Status{Listed: inventory.Listed{ID: id, Model: true}, Slots: slots, Items: map[string]string{"m": backend.Loaded}})}
}

// observe records first chunks after the given times.
func observe(r *route.Replica, took ...time.Duration) {
	for _, d := range took {
		r.Live.ObserveFirstChunk(d)
	}
}

// Answers that came late once, for instance since this process stood still, must not have all later requests refused: only
// an answer to a request renews the estimate by which they are.
func TestAnEstimateThatRefusesRequestsIsRenewed(t *testing.T) {
	withController(t, func(ac *Controller, table *gossip.Table) {
		table.Put(holderOf("r", 4))
		synctest.Wait()
		acquire := func() queue.Answer {
			return ac.Acquire(context.Background(), target(), "c", time.Now().Add(2500*time.Millisecond))
		}
		a := acquire()
		observe(a.Replica, 30*time.Millisecond, 30*time.Millisecond, 5*time.Second)
		if b := acquire(); b.Replica != nil || !b.Late {
			t.Errorf("beside a request in flight: %+v", b)
		}
		a.Done()
		for n := range 10 {
			b := acquire()
			if b.Replica == nil {
				t.Errorf("request %d: %+v", n, b)
				return
			}
			observe(b.Replica, 30*time.Millisecond)
			b.Done()
		}
		first, second := acquire(), acquire()
		if first.Replica == nil || second.Replica == nil {
			t.Errorf("after ten quick answers: %+v, %+v", first, second)
		}
	})
}

// A long stream that has begun does not keep other requests away from its replica, whatever its own beginning took.
func TestAStreamThatHasBegunDoesNotRefuseOtherRequests(t *testing.T) {
	withController(t, func(ac *Controller, table *gossip.Table) {
		table.Put(holderOf("r", 4))
		synctest.Wait()
		acquire := func() queue.Answer {
			return ac.Acquire(context.Background(), target(), "c", time.Now().Add(2500*time.Millisecond))
		}
		stream := acquire()
		observe(stream.Replica, 5*time.Second)
		stream.OnFirstChunk()
		if a := acquire(); a.Replica == nil {
			t.Errorf("beside the stream: %+v", a)
		}
	})
}

// A replica that is expected to answer too late is not chosen while another can answer in time.
func TestARequestGoesToAReplicaThatAnswersInTime(t *testing.T) {
	withController(t, func(ac *Controller, table *gossip.Table) {
		table.Put(holderOf("r1", 16))
		table.Put(holderOf("r2", 16))
		synctest.Wait()
		acquire := func() queue.Answer {
			return ac.Acquire(context.Background(), target(), "c", time.Now().Add(2500*time.Millisecond))
		}
		// The replica that is chosen first is preferred while both have one request in flight.
		preferred := acquire()
		var other queue.Answer
		for other.Replica == nil {
			if a := acquire(); a.Replica != preferred.Replica {
				other = a
			} else {
				defer a.Done()
			}
		}
		observe(preferred.Replica, 30*time.Millisecond, 5*time.Second)
		observe(other.Replica, 30*time.Millisecond)
		for range 3 {
			a := acquire()
			if a.Replica != other.Replica {
				t.Errorf("got %+v", a)
				continue
			}
			a.Done()
		}
	})
}
