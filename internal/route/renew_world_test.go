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

// handClock stands still until it is set.
type handClock struct{ now time.Duration }

func (c *handClock) Since() time.Duration { return c.now }
func (c *handClock) Wall() time.Time      { return time.Unix(0, 0).Add(c.now) }

// world is a keeper that is renewed by hand, and random news for it.
type world struct {
	t       *testing.T
	rnd     *rand.Rand
	clock   *handClock
	gossip  *gossip.Table
	k       *Keeper
	version uint64
	edges   int
	anew    tableMadeAnew
}

func newWorld(t *testing.T, seed uint64, ask bool) *world {
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), clock: &handClock{now: time.Hour}, gossip: gossip.NewTable(), edges: 4}
	stopped := run.NewGroup(context.Background())
	stopped.Stop()
	w.k = NewKeeper(Deps{Group: stopped, Gossip: w.gossip, Clock: w.clock, Zone: func() string { return "z1" },
		HeardFor: func() time.Duration { return 0 }, Edges: func() int { return w.edges }, Ask: ask})
	w.anew = tableMadeAnew{world: w, conf: conf.Empty()}
	return w
}

func (w *world) id() string   { return fmt.Sprint("r", w.rnd.IntN(6)) }
func (w *world) item() string { return []string{"a", "b", "c", "a/x", "b/y"}[w.rnd.IntN(5)] }

func (w *world) stamp() state.Stamp {
	w.version++
	return state.Stamp{Epoch: 1, Version: w.version}
}

// replicaStatus is a random word on a replica: those with a number below two are of a service.
func (w *world) replicaStatus(id string) []byte {
	if w.rnd.IntN(25) == 0 {
		return []byte{0xff}
	}
	n := order.Status{Listed: inventory.Listed{ID: id, Zone: "z1", Model: id >= "r2", Slots: w.rnd.IntN(4), Leaving: w.rnd.IntN(8) == 0,
		Labels: map[string]string{conf.ServiceLabel: []string{"s1", "s2"}[w.rnd.IntN(2)]}},
		Slots: w.rnd.IntN(5), ServeMs: w.rnd.IntN(50), Dark: w.rnd.IntN(8) == 0, Items: map[string]string{}, ReadyMs: map[string]int{}}
	states := []string{backend.Loaded, backend.Loaded, backend.Loading, order.Reserved, order.Leaving, backend.Unloading}
	for range w.rnd.IntN(4) {
		item := w.item()
		n.Items[item], n.ReadyMs[item] = states[w.rnd.IntN(len(states))], w.rnd.IntN(3000)
	}
	return wire.Pack(n)
}

// configuration drains replicas of one service, or none.
func (w *world) configuration() []byte {
	kept := conf.Kept{Serial: w.version, Objects: map[string][]byte{}}
	if w.rnd.IntN(2) == 0 {
		kept.Objects["drains/one"] = fmt.Appendf(nil, `{"selector":"service=s%d"}`, 1+w.rnd.IntN(2))
	}
	return kept.Pack()
}

// step makes something happen.
func (w *world) step() {
	switch w.rnd.IntN(12) {
	case 0, 1, 2, 3:
		id := w.id()
		w.gossip.Put(gossip.Entry{Key: order.Key(id), Stamp: w.stamp(), Value: w.replicaStatus(id)})
	case 4:
		w.gossip.Put(gossip.Entry{Key: order.Key(w.id()), Stamp: w.stamp(), Gone: true})
	case 5, 6:
		w.gossip.Put(gossip.Entry{Key: plan.ExpectKey(w.item()), Stamp: w.stamp(), Value: wire.Pack(plan.Expect{ReadyMs: w.rnd.IntN(9)}), Gone: w.rnd.IntN(4) == 0})
	case 7:
		inventory.Mark(w.gossip, w.id())
	case 8:
		inventory.Unmark(w.gossip, w.id())
	case 9:
		if w.rnd.IntN(4) == 0 {
			w.gossip.Put(gossip.Entry{Key: conf.Key, Stamp: w.stamp(), Value: w.configuration()})
		}
	case 10:
		w.requests()
	case 11:
		w.edges = 1 + w.rnd.IntN(9)
	}
	w.clock.now += time.Duration(w.rnd.IntN(400)) * time.Millisecond
}

// requests are sent, end, and tell something of a replica.
func (w *world) requests() {
	all := slices.Sorted(maps.Keys(w.k.Now().Replicas))
	if len(all) == 0 {
		return
	}
	r := w.k.Now().Replicas[all[w.rnd.IntN(len(all))]]
	switch w.rnd.IntN(5) {
	case 0:
		r.Live.Inflight.Store(int64(w.rnd.IntN(4)))
	case 1:
		w.k.Heard(r, w.rnd.IntN(6), w.rnd.IntN(3))
	case 2:
		w.k.Silent(r)
	case 3:
		w.k.Refused(r)
	case 4:
		if w.k.d.Ask {
			w.report(r)
		}
	}
}

// report is what a replica that is asked says of itself.
func (w *world) report(r *Replica) {
	v := backend.Report{ID: r.Listed.ID, Model: r.Listed.Model, Slots: 4, Inflight: w.rnd.IntN(5), Leaving: w.rnd.IntN(6) == 0, Items: map[conf.Item]backend.ItemStatus{}}
	for range w.rnd.IntN(3) {
		v.Items[conf.ParseItem(w.item())] = backend.ItemStatus{State: []string{backend.Loaded, backend.Loading}[w.rnd.IntN(2)]}
	}
	w.k.heard[r.Listed.ID] = report{v: v, at: w.clock.now, other: w.rnd.IntN(3), was: w.rnd.IntN(3), mine: r.Live.Inflight.Load(), known: true, luck: w.rnd.Float64()}
}
