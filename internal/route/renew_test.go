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
func (w *world) checkIndex(step int) {
	s := w.k.Now()
	targets := []Target{{Route: conf.Route{Kind: "service", Service: "s1", Selector: conf.OfService("s1")}}, {Route: conf.Route{Kind: "service", Selector: conf.OfService("s2")}}}
	for _, item := range []string{"a", "b", "c", "a/x", "b/y", "nobody has it"} {
		targets = append(targets, Target{Route: conf.Route{Kind: "model"}, Item: conf.ParseItem(item)})
	}
	for _, t := range targets {
		var all, found []string
		for id, r := range s.Replicas {
			if w.k.serves(t, t.Item.String(), id, r, w.clock.now) {
				all = append(all, id)
			}
		}
		for _, id := range s.index.able(t, t.Item.String()) {
			if w.k.serves(t, t.Item.String(), id, s.Replicas[id], w.clock.now) {
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
func TestATableKeptUpToDateIsTheOneMadeAnew(t *testing.T) {
	for _, ask := range []bool{false, true} {
		for seed := range uint64(60) {
			w := newWorld(t, seed, ask)
			for step := range 250 {
				w.step()
				if w.rnd.IntN(3) == 0 {
					continue // what comes together makes one table
				}
				before, was := w.k.Now(), w.plain()
				w.k.renew()
				if got, want := w.plain(), w.anew.make(); !reflect.DeepEqual(got, want) {
					t.Fatalf("ask %v seed %d step %d:\n got %+v\nwant %+v", ask, seed, step, got, want)
				}
				w.checkIndex(step)
				now := w.k.Now()
				w.checkVersion(before, now)
				w.checkKept(before, was)
			}
		}
	}
}

// checkVersion sees to it that the version rises exactly when a configuration or what is told of a replica is new.
func (w *world) checkVersion(before, after *Snapshot) {
	differs := before.Stamp != after.Stamp || !maps.Equal(before.Acked, after.Acked)
	if differs != (after.Version > before.Version) {
		w.t.Fatalf("version %d after %d; told something new: %v", after.Version, before.Version, differs)
	}
}

// checkKept sees to it that a table that somebody still reads has not changed.
func (w *world) checkKept(before *Snapshot, was plainTable) {
	if !maps.Equal(before.Acked, was.Acked) || !maps.Equal(maps.Collect(before.Expect.All()), was.Expect) || !maps.Equal(before.Coming, was.Coming) || len(before.Replicas) != len(was.Rows) {
		w.t.Fatal("a table was changed after it had been given out")
	}
	for id, r := range before.Replicas {
		if readyItems(r.Ready) != was.Rows[id].Ready || !reflect.DeepEqual(r.Listed, was.Rows[id].Listed) {
			w.t.Fatalf("the row of %s was changed after it had been given out", id)
		}
	}
}

func TestNothingIsMadeWhileNothingChanges(t *testing.T) {
	w := newWorld(t, 1, false)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r3", Model: true}, Slots: 2, Items: map[string]string{"a": backend.Loaded}})})
	w.gossip.Put(gossip.Entry{Key: order.Key("r4"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r4", Model: true}, Slots: 2, Items: map[string]string{"a": backend.Loaded}})})
	w.k.renew()
	before := w.k.Now()
	for range 100 {
		w.clock.now += interval
		w.k.renew()
	}
	if w.k.Now() != before {
		t.Error("the table was made anew though nothing had changed")
	}
	if _, held, _ := w.k.Choose(Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "a"}}); held != 2 {
		t.Errorf("%d replicas are found after ten seconds, want 2", held)
	}
	w.gossip.Put(gossip.Entry{Key: order.Key("r4"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r4", Model: true}, Slots: 1})})
	w.k.renew()
	if w.k.Now().Replicas["r3"] != before.Replicas["r3"] {
		t.Error("a row was made anew that nothing was told of")
	}
}

// A proxy whose own loops have stood still cannot know of what came meanwhile.
func TestNothingIsFoundWhileTheTableIsNotRenewed(t *testing.T) {
	w := newWorld(t, 1, false)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r3", Model: true}, Slots: 2, Items: map[string]string{"a": backend.Loaded}})})
	w.k.renew()
	target := Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: "a"}}
	w.clock.now += dark + 1
	if _, held, _ := w.k.Choose(target); held != 0 {
		t.Error("a replica is found though the table is too old")
	}
	w.k.renew()
	if _, held, _ := w.k.Choose(target); held != 1 {
		t.Error("no replica is found in a table that is up to date")
	}
}

func TestWhatIsKeptOfAReplicaGoesWithItsLastRequest(t *testing.T) {
	w := newWorld(t, 1, false)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Value: wire.Pack(order.Status{Listed: inventory.Listed{ID: "r3", Model: true}})})
	w.k.renew()
	live := w.k.Now().Replicas["r3"].Live
	live.Inflight.Add(1)
	w.gossip.Put(gossip.Entry{Key: order.Key("r3"), Stamp: w.stamp(), Gone: true})
	w.k.renew()
	if w.k.lives["r3"] != live {
		t.Error("what is kept of a replica went before its last request")
	}
	live.Inflight.Add(-1)
	w.k.renew()
	if len(w.k.lives) != 0 || len(w.k.gone) != 0 {
		t.Error("something is still kept of a replica that is gone")
	}
}
