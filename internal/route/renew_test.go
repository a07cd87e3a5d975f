package route

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
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
	t      *testing.T
	rnd    *rand.Rand
	clock  *handClock
	gossip *gossip.Table
	k      *Keeper
	serial uint64
	edges  int
	anew   tableMadeAnew
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
	w.serial++
	return state.Stamp{Epoch: 1, Serial: w.serial}
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
	kept := conf.Kept{Serial: w.serial, Objects: map[string][]byte{}}
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
	v := backend.Report{ID: r.Listed.ID, Model: r.Listed.Model, Slots: 4, Inflight: w.rnd.IntN(5), Leaving: w.rnd.IntN(6) == 0, Items: map[conf.Item]backend.Line{}}
	for range w.rnd.IntN(3) {
		v.Items[conf.ParseItem(w.item())] = backend.Line{State: []string{backend.Loaded, backend.Loading}[w.rnd.IntN(2)]}
	}
	w.k.heard[r.Listed.ID] = report{v: v, at: w.clock.now, other: w.rnd.IntN(3), was: w.rnd.IntN(3), mine: r.Live.Inflight.Load(), known: true, luck: w.rnd.Float64()}
}

// tableMadeAnew is the reference: it looks at all news and makes every row each time.
type tableMadeAnew struct {
	world *world
	conf  conf.Effective
	at    state.Stamp
	first map[string]seenEntry
}

// seenEntry is when an entry was first seen in its present form.
type seenEntry struct {
	stamp state.Stamp
	at    time.Duration
}

// plainRow is a row with all that requests go by written out.
type plainRow struct {
	Listed          inventory.Listed
	Slots           int
	Elsewhere, Room int
	ServeFor        time.Duration
	Ready           string
	Heard           time.Duration
	Told            bool
}

type plainTable struct {
	Rows   map[string]plainRow
	Expect map[string]plan.Expect
	Coming map[string]time.Duration
	Acked  map[string]state.Stamp
	Stamp  state.Stamp
}

func emptyTable() plainTable {
	return plainTable{Rows: map[string]plainRow{}, Expect: map[string]plan.Expect{}, Coming: map[string]time.Duration{}, Acked: map[string]state.Stamp{}}
}

func readyItems(ready map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(ready)), " ")
}

func (m *tableMadeAnew) make() plainTable {
	w, out, now := m.world, emptyTable(), m.world.clock.now
	if e, found := w.gossip.Get(conf.Key); found && e.Stamp.Newer(m.at) {
		kept, err := conf.Unpack(e.Value)
		if err != nil {
			w.t.Fatal(err)
		}
		if m.conf, err = conf.Effect(kept); err != nil {
			w.t.Fatal(err)
		}
		m.at = e.Stamp
	}
	out.Stamp = m.at
	before := m.first
	m.first = map[string]seenEntry{}
	seen := func(e gossip.Entry) time.Duration {
		s, found := before[e.Key]
		if !found || s.stamp != e.Stamp {
			s = seenEntry{e.Stamp, now}
		}
		m.first[e.Key] = s
		return s.at
	}
	for _, e := range w.gossip.List(replicaPrefix) {
		at := seen(e)
		var n order.Status
		if wire.Unpack(e.Value, &n) == nil {
			row := m.row(n, now)
			out.Rows[row.Listed.ID], out.Acked[row.Listed.ID] = row, e.Stamp
			addComing(out.Coming, n, row.Listed.Leaving, at)
		}
	}
	for _, e := range w.gossip.List(expectPrefix) {
		var x plan.Expect
		if at := seen(e); now-at < expectLasts && wire.Unpack(e.Value, &x) == nil {
			out.Expect[e.Key[len(expectPrefix):]] = x
		}
	}
	return out
}

func addComing(coming map[string]time.Duration, n order.Status, leaving bool, at time.Duration) {
	if n.Dark || leaving {
		return
	}
	for item, st := range n.Items {
		if st != order.Reserved && st != backend.Loading {
			continue
		}
		ready := at + time.Duration(n.ReadyMs[item])*time.Millisecond
		if old, found := coming[item]; !found || ready < old {
			coming[item] = ready
		}
	}
}

func (m *tableMadeAnew) row(n order.Status, now time.Duration) plainRow {
	k := m.world.k
	r := plainRow{Listed: n.Listed, Slots: n.Slots, Heard: never, ServeFor: time.Duration(n.ServeMs) * time.Millisecond}
	r.Listed.Leaving = n.Listed.Leaving || m.conf.Drained(n.Listed.Labels, n.Listed.Zone)
	ready := map[string]bool{}
	if h := k.heard[n.Listed.ID]; h.known {
		r.Heard, r.Slots, r.ServeFor, r.Elsewhere, r.Room = h.at, h.v.Slots, h.v.ServeFor, h.other, int(h.mine)
		if free := h.v.Slots - max(h.other, h.was) - int(h.mine); free > 0 {
			r.Room += part(free, h.v.Slots, max(1, m.world.edges), now-k.full[h.v.Model], h.luck)
		}
		r.Listed.Leaving = r.Listed.Leaving || h.v.Leaving
		for item, l := range h.v.Items {
			if st := n.Items[item.String()]; l.State == backend.Loaded && st != order.Leaving && st != backend.Unloading {
				ready[item.String()] = true
			}
		}
	}
	if !k.d.Ask {
		r.Told = true
		if !n.Dark {
			r.Heard, r.Slots = now, max(n.Slots, n.Listed.Slots)
			if live := k.lives[n.Listed.ID]; live != nil {
				r.Elsewhere = live.others(now)
			}
			r.Room = max(0, r.Slots-r.Elsewhere)
			for item, st := range n.Items {
				if st == backend.Loaded {
					ready[item] = true
				}
			}
		}
	}
	r.Ready = readyItems(ready)
	return r
}

// plain is the keeper's table in the same form.
func (w *world) plain() plainTable {
	s, out := w.k.Now(), emptyTable()
	for id, r := range s.Replicas {
		out.Rows[id] = plainRow{Listed: r.Listed, Slots: r.Slots, Elsewhere: r.elsewhere(), Room: r.mayHave(), ServeFor: r.ServeFor, Ready: readyItems(r.Ready),
			Heard: w.k.heardAt(r), Told: r.Told}
	}
	maps.Copy(out.Expect, s.Expect)
	maps.Copy(out.Coming, s.Coming)
	maps.Copy(out.Acked, s.Acked)
	out.Stamp = s.Stamp
	return out
}

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
	if !maps.Equal(before.Acked, was.Acked) || !maps.Equal(before.Expect, was.Expect) || !maps.Equal(before.Coming, was.Coming) || len(before.Replicas) != len(was.Rows) {
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
