package route

import (
	"maps"
	"reflect"
	"slices"
	"testing"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
)

// checkIndex compares who is found by the index with who is found by a look at all.
func (w *fixture) checkIndex(step int) {
	s := w.router.Current()
	targets := []Target{{Route: conf.Route{Kind: "service", Service: "s1", Selector: conf.OfService("s1")}}, {Route: conf.Route{Kind: "service", Selector: conf.OfService("s2")}}}
	for _, item := range []string{"a", "b", "c", "a/x", "b/y", "nobody has it"} {
		targets = append(targets, Target{Route: conf.Route{Kind: "model"}, Item: conf.ParseItem(item)})
	}
	for _, t := range targets {
		var all, found []string
		for id, r := range s.Replicas {
			if w.router.serves(t, t.Item.String(), id, r, w.clock.now) {
				all = append(all, id)
			}
		}
		for _, id := range s.index.replicasFor(t, t.Item.String()) {
			if w.router.serves(t, t.Item.String(), id, s.Replicas[id], w.clock.now) {
				found = append(found, id)
			}
		}
		slices.Sort(all)
		if !slices.Equal(all, found) {
			w.t.Fatalf("step %d: %v can serve %s, found were %v", step, all, t.Lane(), found)
		}
		for _, id := range found {
			if inventory.Marked(w.gossip, id) {
				w.t.Fatalf("step %d: %s is leaving and is found", step, id)
			}
		}
	}
}

// The table that is kept up to date is at each moment the one that would be made of
// all news, whatever came, in whatever order.
func TestIncrementalTableEqualsRebuiltTable(t *testing.T) {
	for _, ask := range []bool{false, true} {
		for seed := range uint64(60) {
			w := newFixture(t, seed, ask)
			for step := range 250 {
				w.step()
				if w.rng.IntN(3) == 0 {
					continue // what comes together makes one table
				}
				before, was := w.router.Current(), w.actual()
				w.router.renew()
				if got, want := w.actual(), w.reference.build(); !reflect.DeepEqual(got, want) {
					t.Fatalf("ask %v seed %d step %d:\n got %+v\nwant %+v", ask, seed, step, got, want)
				}
				w.checkIndex(step)
				now := w.router.Current()
				w.checkVersion(before, now)
				w.checkUnmodified(before, was)
			}
		}
	}
}

// checkVersion sees to it that the version rises exactly when a configuration or what is told of a replica is new.
func (w *fixture) checkVersion(before, after *Snapshot) {
	differs := before.Stamp != after.Stamp || !maps.Equal(before.Acked, after.Acked)
	if differs != (after.Version > before.Version) {
		w.t.Fatalf("version %d after %d; told something new: %v", after.Version, before.Version, differs)
	}
}

// checkKept sees to it that a table that somebody still reads has not changed.
func (w *fixture) checkUnmodified(before *Snapshot, was expectedTable) {
	if !maps.Equal(before.Acked, was.Acked) || !maps.Equal(maps.Collect(before.Expect.All()), was.Predictions) || !maps.Equal(before.Coming, was.ReadyAt) || len(before.Replicas) != len(was.Rows) {
		w.t.Fatal("a table was changed after it had been given out")
	}
	for id, r := range before.Replicas {
		if joinReadyItems(r.Ready) != was.Rows[id].Ready || !reflect.DeepEqual(r.Listed, was.Rows[id].Listed) {
			w.t.Fatalf("the row of %s was changed after it had been given out", id)
		}
	}
}

func TestTableIsNotRebuiltWithoutChanges(t *testing.T) {
	w := newFixture(t, 1, false)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r3", Model: true}, Slots: 2, Items: map[string]string{"a": backend.Loaded}})})
	w.gossip.Put(gossip.Entry{Key: order.Key("r4"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r4", Model: true}, Slots: 2, Items: map[string]string{"a": backend.Loaded}})})
	w.router.renew()
	before := w.router.Current()
	for range 100 {
		w.clock.now += renewInterval
		w.router.renew()
	}
	if w.router.Current() != before {
		t.Error("the table was made anew though nothing had changed")
	}
	if _, held, _ := w.router.Choose(Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "a"}}); held != 2 {
		t.Errorf("%d replicas are found after ten seconds, want 2", held)
	}
	w.gossip.Put(gossip.Entry{Key: order.Key("r4"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r4", Model: true}, Slots: 1})})
	w.router.renew()
	if w.router.Current().Replicas["r3"] != before.Replicas["r3"] {
		t.Error("a row was made anew that nothing was told of")
	}
}

// A proxy whose own loops have stood still cannot know of what came meanwhile.
func TestNoReplicaIsChosenFromAStaleTable(t *testing.T) {
	w := newFixture(t, 1, false)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r3", Model: true}, Slots: 2, Items: map[string]string{"a": backend.Loaded}})})
	w.router.renew()
	target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "a"}}
	w.clock.now += maxReportAge + 1
	if _, held, _ := w.router.Choose(target); held != 0 {
		t.Error("a replica is found though the table is too old")
	}
	w.router.renew()
	if _, held, _ := w.router.Choose(target); held != 1 {
		t.Error("no replica is found in a table that is up to date")
	}
}

func TestLiveStateIsDroppedAfterTheLastRequest(t *testing.T) {
	w := newFixture(t, 1, false)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r3", Model: true}})})
	w.router.renew()
	live := w.router.Current().Replicas["r3"].Live
	live.Inflight.Add(1)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Gone: true})
	w.router.renew()
	if w.router.lives["r3"] != live {
		t.Error("what is kept of a replica went before its last request")
	}
	live.Inflight.Add(-1)
	w.router.renew()
	if len(w.router.lives) != 0 || len(w.router.departed) != 0 {
		t.Error("something is still kept of a replica that is gone")
	}
}
