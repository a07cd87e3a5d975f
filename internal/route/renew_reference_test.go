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

// referenceTable is the reference implementation: it reads all gossip entries and rebuilds every row each time.
type referenceTable struct {
	fixture   *fixture
	conf      conf.Effective
	confStamp state.Stamp
	entries   map[string]firstSeen
}

// firstSeen is the stamp of an entry and when it was first seen with this stamp.
type firstSeen struct {
	stamp state.Stamp
	at    time.Duration
}

// expectedRow is a row with all values that the choice of a replica depends on.
type expectedRow struct {
	Listed                        inventory.Listed
	Slots                         int
	OthersInflight, InflightLimit int
	ServiceTime                   time.Duration
	Ready                         string
	ReportedAt                    time.Duration
	ViaController                 bool
}

type expectedTable struct {
	Rows        map[string]expectedRow
	Predictions map[string]plan.Expectation
	ReadyAt     map[string]time.Duration
	Acked       map[string]state.Stamp
	Stamp       state.Stamp
}

func emptyTable() expectedTable {
	return expectedTable{Rows: map[string]expectedRow{}, Predictions: map[string]plan.Expectation{}, ReadyAt: map[string]time.Duration{}, Acked: map[string]state.Stamp{}}
}

func joinReadyItems(ready map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(ready)), " ")
}

func (ref *referenceTable) build() expectedTable {
	w, out, now := ref.fixture, emptyTable(), ref.fixture.clock.now
	if e, found := w.gossip.Get(conf.Key); found && e.Stamp.Newer(ref.confStamp) {
		kept, err := conf.Unpack(e.Value)
		if err != nil {
			w.t.Fatal(err)
		}
		if ref.conf, err = conf.Compile(kept); err != nil {
			w.t.Fatal(err)
		}
		ref.confStamp = e.Stamp
	}
	out.Stamp = ref.confStamp
	before := ref.entries
	ref.entries = map[string]firstSeen{}
	seen := func(e gossip.Entry) time.Duration {
		s, found := before[e.Key]
		if !found || s.stamp != e.Stamp {
			s = firstSeen{e.Stamp, now}
		}
		ref.entries[e.Key] = s
		return s.at
	}
	for _, e := range w.gossip.List(replicaPrefix) {
		at := seen(e)
		var n order.Status
		if wire.Unmarshal(e.Value, &n) == nil {
			row := ref.row(n, now)
			out.Rows[row.Listed.ID], out.Acked[row.Listed.ID] = row, e.Stamp
			addReadyAt(out.ReadyAt, n, row.Listed.Leaving, at)
		}
	}
	for _, e := range w.gossip.List(predictionPrefix) {
		var x plan.Expectation
		if at := seen(e); now-at < predictionTTL && wire.Unmarshal(e.Value, &x) == nil {
			out.Predictions[e.Key[len(predictionPrefix):]] = x
		}
	}
	return out
}

func addReadyAt(coming map[string]time.Duration, n order.Status, leaving bool, at time.Duration) {
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

func (ref *referenceTable) row(n order.Status, now time.Duration) expectedRow {
	router := ref.fixture.router
	r := expectedRow{Listed: n.Listed, Slots: n.Slots, ReportedAt: never, ServiceTime: time.Duration(n.ServeMs) * time.Millisecond}
	r.Listed.Leaving = n.Listed.Leaving || ref.conf.Drained(n.Listed.Labels, n.Listed.Zone)
	ready := map[string]bool{}
	if h := router.reports[n.Listed.ID]; h.valid {
		r.ReportedAt, r.Slots, r.ServiceTime, r.OthersInflight, r.InflightLimit = h.requestedAt, h.status.Slots, h.status.ServeFor, h.othersInflight, int(h.ownInflight)
		if free := h.status.Slots - max(h.othersInflight, h.previousOthers) - int(h.ownInflight); free > 0 {
			r.InflightLimit += quotaOfFree(free, h.status.Slots, max(1, ref.fixture.edges), now-router.lastFull[h.status.Model], h.draw)
		}
		r.Listed.Leaving = r.Listed.Leaving || h.status.Leaving
		for item, l := range h.status.Items {
			if st := n.Items[item.String()]; l.State == backend.Loaded && st != order.Withdrawn && st != backend.Unloading {
				ready[item.String()] = true
			}
		}
	}
	if !router.deps.PollReplicas {
		r.ViaController = true
		if !n.Stale {
			r.ReportedAt, r.Slots = now, max(n.Slots, n.Listed.Slots)
			if live := router.lives[n.Listed.ID]; live != nil {
				r.OthersInflight = live.hintedOthers(now)
			}
			r.InflightLimit = max(0, r.Slots-r.OthersInflight)
			for item, st := range n.Items {
				if st == backend.Loaded {
					ready[item] = true
				}
			}
		}
	}
	r.Ready = joinReadyItems(ready)
	return r
}

// actual returns the router's table in the same form.
func (w *fixture) actual() expectedTable {
	s, out := w.router.Current(), emptyTable()
	for id, r := range s.Replicas {
		out.Rows[id] = expectedRow{Listed: r.Listed, Slots: r.Slots, OthersInflight: r.othersInflight(), InflightLimit: r.inflightLimit(), ServiceTime: r.ServiceTime, Ready: joinReadyItems(r.Ready),
			ReportedAt: w.router.lastReportAt(r), ViaController: r.ViaController}
	}
	maps.Insert(out.Predictions, s.Expectations.All())
	maps.Copy(out.ReadyAt, s.LoadingReadyAt)
	maps.Copy(out.Acked, s.Acked)
	out.Stamp = s.Stamp
	return out
}
