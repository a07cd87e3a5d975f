package route

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/state"
)

// manualClock is a clock that changes only when a test sets it.
type manualClock struct{ now time.Duration }

func (c *manualClock) Since() time.Duration { return c.now }
func (c *manualClock) Wall() time.Time      { return time.Unix(0, 0).Add(c.now) }

// fixture is a router that is renewed only by explicit calls, with a source of random gossip entries.
type fixture struct {
	t         *testing.T
	rng       *rand.Rand
	clock     *manualClock
	gossip    *gossip.Table
	router    *Router
	version   uint64
	edges     int
	reference referenceTable
}

func newFixture(t *testing.T, seed uint64, ask bool) *fixture {
	w := &fixture{t: t, rng: rand.New(rand.NewPCG(seed, 1)), clock: &manualClock{now: time.Hour}, gossip: gossip.NewTable(), edges: 4}
	stopped := run.NewGroup(context.Background())
	stopped.Stop()
	w.router = NewRouter(Deps{Group: stopped, Gossip: w.gossip, Clock: w.clock, Zone: func() string { return "z1" },
		SinceContact: func() time.Duration { return 0 }, Edges: func() int { return w.edges }, PollReplicas: ask})
	w.reference = referenceTable{fixture: w, conf: conf.Empty()}
	return w
}

func (w *fixture) id() string   { return fmt.Sprint("r", w.rng.IntN(6)) }
func (w *fixture) item() string { return []string{"a", "b", "c", "a/x", "b/y"}[w.rng.IntN(5)] }

func (w *fixture) stamp() state.Stamp {
	w.version++
	return state.Stamp{Epoch: 1, Version: w.version}
}

// replicaStatus returns a random, sometimes malformed status entry. Replicas with a number below two belong to services.
func (w *fixture) replicaStatus(id string) []byte {
	if w.rng.IntN(25) == 0 {
		return []byte{0xff}
	}
	n := order.Status{Listed: inventory.Listed{ID: id, Zone: "z1", Model: id >= "r2", Slots: w.rng.IntN(4), Leaving: w.rng.IntN(8) == 0,
		Labels: map[string]string{conf.ServiceLabel: []string{"s1", "s2"}[w.rng.IntN(2)]}},
		Slots: w.rng.IntN(5), ServeMs: w.rng.IntN(50), Stale: w.rng.IntN(8) == 0, Items: map[string]string{}, ReadyMs: map[string]int{}}
	states := []string{backend.Loaded, backend.Loaded, backend.Loading, order.Reserved, order.Withdrawn, backend.Unloading}
	for range w.rng.IntN(4) {
		item := w.item()
		n.Items[item], n.ReadyMs[item] = states[w.rng.IntN(len(states))], w.rng.IntN(3000)
	}
	return wire.Marshal(n)
}

// configuration returns a configuration that drains the replicas of one service, or of none.
func (w *fixture) configuration() []byte {
	kept := conf.Stored{Serial: w.version, Objects: map[string][]byte{}}
	if w.rng.IntN(2) == 0 {
		kept.Objects["drains/one"] = fmt.Appendf(nil, `{"selector":"service=s%d"}`, 1+w.rng.IntN(2))
	}
	return kept.Pack()
}

// step makes one random change and advances the clock.
func (w *fixture) step() {
	switch w.rng.IntN(12) {
	case 0, 1, 2, 3:
		id := w.id()
		w.gossip.Put(gossip.Entry{Key: order.Key(id), Stamp: w.stamp(), Value: w.replicaStatus(id)})
	case 4:
		w.gossip.Put(gossip.Entry{Key: order.Key(w.id()), Stamp: w.stamp(), Deleted: true})
	case 5, 6:
		w.gossip.Put(gossip.Entry{Key: plan.ExpectationKey(w.item()), Stamp: w.stamp(), Value: wire.Marshal(plan.Expectation{ReadyMs: w.rng.IntN(9)}), Deleted: w.rng.IntN(4) == 0})
	case 7:
		inventory.MarkLeaving(w.gossip, w.id())
	case 8:
		inventory.UnmarkLeaving(w.gossip, w.id())
	case 9:
		if w.rng.IntN(4) == 0 {
			w.gossip.Put(gossip.Entry{Key: conf.Key, Stamp: w.stamp(), Value: w.configuration()})
		}
	case 10:
		w.requests()
	case 11:
		w.edges = 1 + w.rng.IntN(9)
	}
	w.clock.now += time.Duration(w.rng.IntN(400)) * time.Millisecond
}

// requests changes the number of in-flight requests of a replica or records an observation of it.
func (w *fixture) requests() {
	all := slices.Sorted(maps.Keys(w.router.Current().Replicas))
	if len(all) == 0 {
		return
	}
	r := w.router.Current().Replicas[all[w.rng.IntN(len(all))]]
	switch w.rng.IntN(5) {
	case 0:
		r.Live.Inflight.Store(int64(w.rng.IntN(4)))
	case 1:
		w.router.RecordLoad(r, w.rng.IntN(6), w.rng.IntN(3))
	case 2:
		w.router.RecordSilence(r)
	case 3:
		w.router.RecordConnectionRefused(r)
	case 4:
		if w.router.deps.PollReplicas {
			w.report(r)
		}
	}
}

// report stores a random report of a polled replica.
func (w *fixture) report(r *Replica) {
	v := backend.Report{ID: r.Listed.ID, Model: r.Listed.Model, Slots: 4, Inflight: w.rng.IntN(5), Leaving: w.rng.IntN(6) == 0, Items: map[conf.Item]backend.ItemStatus{}}
	for range w.rng.IntN(3) {
		v.Items[conf.ParseItem(w.item())] = backend.ItemStatus{State: []string{backend.Loaded, backend.Loading}[w.rng.IntN(2)]}
	}
	w.router.reports[r.Listed.ID] = report{status: v, requestedAt: w.clock.now, othersInflight: w.rng.IntN(3), previousOthers: w.rng.IntN(3), ownInflight: r.Live.Inflight.Load(), valid: true, draw: w.rng.Float64()}
}
