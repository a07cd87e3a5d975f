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

// checkIndex compares the replicas found by the index with those found by a scan of all replicas.
func (w *fixture) checkIndex(step int) {
	s := w.router.Current()
	targets := []Target{{Route: conf.Route{Kind: "service", Service: "s1", Selector: conf.ServiceSelector("s1")}}, {Route: conf.Route{Kind: "service", Selector: conf.ServiceSelector("s2")}}}
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
			w.t.Fatalf("step %d: %v can serve %s, the index finds %v", step, all, t.Lane(), found)
		}
		for _, id := range found {
			if inventory.MarkedLeaving(w.gossip, id) {
				w.t.Fatalf("step %d: %s is leaving, and the index finds it", step, id)
			}
		}
	}
}

// The incrementally renewed table equals the table rebuilt from all gossip entries, whatever
// entries arrive in whatever order.
func TestIncrementalTableEqualsRebuiltTable(t *testing.T) {
	for _, ask := range []bool{false, true} {
		for seed := range uint64(60) {
			w := newFixture(t, seed, ask)
			for step := range 250 {
				w.step()
				if w.rng.IntN(3) == 0 {
					continue // entries that arrive together lead to one renewal
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

// checkVersion checks that the version rises exactly when the configuration or the status of a replica changes.
func (w *fixture) checkVersion(before, after *Snapshot) {
	differs := before.Stamp != after.Stamp || !maps.Equal(before.Acked, after.Acked)
	if differs != (after.Version > before.Version) {
		w.t.Fatalf("version %d after %d; configuration or status changed: %v", after.Version, before.Version, differs)
	}
}

// checkUnmodified checks that a published snapshot has not been modified.
func (w *fixture) checkUnmodified(before *Snapshot, was expectedTable) {
	if !maps.Equal(before.Acked, was.Acked) || !maps.Equal(maps.Collect(before.Expectations.All()), was.Predictions) || !maps.Equal(before.LoadingReadyAt, was.ReadyAt) || len(before.Replicas) != len(was.Rows) {
		w.t.Fatal("a snapshot was modified after it was published")
	}
	for id, r := range before.Replicas {
		if joinReadyItems(r.Ready) != was.Rows[id].Ready || !reflect.DeepEqual(r.Listed, was.Rows[id].Listed) {
			w.t.Fatalf("the row of %s was modified after it was published", id)
		}
	}
}

func TestTableIsNotRebuiltWithoutChanges(t *testing.T) {
	w := newFixture(t, 1, false)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Value: wire.Marshal(order.Status{Listed: inventory.Listed{ID: "r3", Model: true}, Slots: 2, Items: map[string]string{"a": backend.Loaded}})})
	w.gossip.Put(gossip.Entry{Key: order.Key("r4"), Stamp: w.stamp(), Value: wire.Marshal(order.Status{Listed: inventory.Listed{ID: "r4", Model: true}, Slots: 2, Items: map[string]string{"a": backend.Loaded}})})
	w.router.renew()
	before := w.router.Current()
	for range 100 {
		w.clock.now += renewInterval
		w.router.renew()
	}
	if w.router.Current() != before {
		t.Error("a new snapshot was published though nothing had changed")
	}
	if _, held, _ := w.router.Choose(Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "a"}}); held != 2 {
		t.Errorf("%d replicas hold the item after ten seconds, want 2", held)
	}
	w.gossip.Put(gossip.Entry{Key: order.Key("r4"), Stamp: w.stamp(), Value: wire.Marshal(order.Status{Listed: inventory.Listed{ID: "r4", Model: true}, Slots: 1})})
	w.router.renew()
	if w.router.Current().Replicas["r3"] != before.Replicas["r3"] {
		t.Error("a row was rebuilt though its status had not changed")
	}
}

// A proxy whose own loops were frozen does not know what changed in the meantime.
func TestNoReplicaIsChosenFromAStaleTable(t *testing.T) {
	w := newFixture(t, 1, false)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Value: wire.Marshal(order.Status{Listed: inventory.Listed{ID: "r3", Model: true}, Slots: 2, Items: map[string]string{"a": backend.Loaded}})})
	w.router.renew()
	target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "a"}}
	w.clock.now += maxReportAge + 1
	if _, held, _ := w.router.Choose(target); held != 0 {
		t.Error("a replica is found though the table is stale")
	}
	w.router.renew()
	if _, held, _ := w.router.Choose(target); held != 1 {
		t.Error("no replica is found in a table that is up to date")
	}
}

func TestLiveStateIsDroppedAfterTheLastRequest(t *testing.T) {
	w := newFixture(t, 1, false)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Value: wire.Marshal(order.Status{Listed: inventory.Listed{ID: "r3", Model: true}})})
	w.router.renew()
	live := w.router.Current().Replicas["r3"].Live
	live.Inflight.Add(1)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Deleted: true})
	w.router.renew()
	if w.router.lives["r3"] != live {
		t.Error("the live state of a replica was dropped before its last request ended")
	}
	live.Inflight.Add(-1)
	w.router.renew()
	if len(w.router.lives) != 0 || len(w.router.departed) != 0 {
		t.Error("live state is kept for a replica that has left")
	}
}
