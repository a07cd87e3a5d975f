package route

import (
	"maps"
	"slices"
	"strings"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/state"
)

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
	Expect map[string]plan.Expectation
	Coming map[string]time.Duration
	Acked  map[string]state.Stamp
	Stamp  state.Stamp
}

func emptyTable() plainTable {
	return plainTable{Rows: map[string]plainRow{}, Expect: map[string]plan.Expectation{}, Coming: map[string]time.Duration{}, Acked: map[string]state.Stamp{}}
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
		var x plan.Expectation
		if at := seen(e); now-at < expectLasts && wire.Unpack(e.Value, &x) == nil {
			out.Expect[e.Key[len(expectPrefix):]] = x
		}
	}
	return out
}

func addComing(coming map[string]time.Duration, n order.Status, leaving bool, at time.Duration) {
	if n.Stale || leaving {
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
			if st := n.Items[item.String()]; l.State == backend.Loaded && st != order.Withdrawn && st != backend.Unloading {
				ready[item.String()] = true
			}
		}
	}
	if !k.d.Ask {
		r.Told = true
		if !n.Stale {
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
	maps.Insert(out.Expect, s.Expect.All())
	maps.Copy(out.Coming, s.Coming)
	maps.Copy(out.Acked, s.Acked)
	out.Stamp = s.Stamp
	return out
}
