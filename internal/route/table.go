package route

import (
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
)

// never is a time long before the start, on our clock.
const never = -1 << 62

// told is a replica's entry as it was first seen here in its present form, decoded once.
type entry struct {
	receivedAt time.Duration
	status     *order.Status
	loaded     []string      // items that the replica holds, by its controller
	loading    []loadingItem // items on their way to it
}

// comingItem is an item that is on its way to a replica.
type loadingItem struct {
	item    string
	readyAt time.Duration // when it should be there, on our clock
}

// decode reads a replica's entry; nil when it cannot be read.
func decodeEntry(e gossip.Entry, now time.Duration) *entry {
	var n order.Status
	if wire.Unpack(e.Value, &n) != nil {
		return nil
	}
	t := entry{receivedAt: now, status: &n}
	for item, state := range n.Items {
		switch state {
		case backend.Loaded:
			t.loaded = append(t.loaded, item)
		case order.Reserved, backend.Loading:
			t.loading = append(t.loading, loadingItem{item, now + time.Duration(n.ReadyMs[item])*time.Millisecond})
		}
	}
	return &t
}

// row is a replica as it is known now.
func (k *Router) newRow(t *entry, effective conf.Effective, now time.Duration) *Replica {
	n := t.status
	r := &Replica{Listed: n.Listed, Live: k.liveState(n.Listed.ID), Slots: n.Slots, reportedAt: never, Ready: make(map[string]bool, len(t.loaded)),
		ServiceTime: time.Duration(n.ServeMs) * time.Millisecond}
	// Why: a drain is in force with the configuration, not only when the controller has heard of it.
	r.Listed.Leaving = n.Listed.Leaving || effective.Drained(n.Listed.Labels, n.Listed.Zone)
	if h := k.reports[n.Listed.ID]; h.valid {
		k.fillFromReport(r, n, h, now)
	}
	if !k.deps.PollReplicas {
		r.fillFromController(t)
	}
	if effective.HasTenants() && n.Listed.Model {
		if s, found := effective.ServiceOf(n.Listed.Labels); found && !s.CacheByShare {
			r.cacheTokens = s.CacheTokens
		}
	}
	return r
}

// liveOf is what outlives the tables of a replica.
func (k *Router) liveState(id string) *Live {
	if live := k.lives[id]; live != nil {
		return live
	}
	live := &Live{itemInflight: map[string]int{}, tenantInflight: map[string]int{}}
	live.refusedAt.Store(never)
	live.silentAt.Store(never)
	live.overloadedAt.Store(never)
	// Why: its report is not waited for until the next interval; a replica just learned of is of no use without it.
	live.wantsReport.Store(true)
	k.lives[id] = live
	return live
}

// byReport fills a row from what the replica itself reported to this proxy.
func (k *Router) fillFromReport(r *Replica, n *order.Status, h report, now time.Duration) {
	r.reportedAt, r.Slots, r.ServiceTime = h.requestedAt, h.status.Slots, h.status.ServeFor
	r.reportedOthers = h.othersInflight
	// Why: all edges see the same free places. Each takes its part of them and then looks again; if each took
	// them all, a crowd would be sent to replicas that must refuse it.
	edges := max(1, k.deps.Edges())
	r.quota = int(h.ownInflight)
	// Others' places must be seen free twice: what has just ended there is replaced by them at once.
	if free := h.status.Slots - max(h.othersInflight, h.previousOthers) - int(h.ownInflight); free > 0 {
		r.quota += quotaOfFree(free, h.status.Slots, edges, now-k.lastFull[h.status.Model], h.draw)
	}
	r.Listed.Leaving = r.Listed.Leaving || h.status.Leaving
	for item, l := range h.status.Items {
		// Why: the replica knows best what it holds; its controller knows what it is about to let go.
		st := n.Items[item.String()]
		if l.State == backend.Loaded && st != order.Withdrawn && st != backend.Unloading {
			r.Ready[item.String()] = true
		}
	}
}

// byWord fills a row from what the replica's controller tells. What its answers
// told of its load, and when the table was renewed last, is looked up where it is used.
func (r *Replica) fillFromController(t *entry) {
	r.Told = true
	if r.Unreachable = t.status.Stale; r.Unreachable {
		return
	}
	r.Slots = max(t.status.Slots, t.status.Listed.Slots)
	for _, item := range t.loaded {
		r.Ready[item] = true
	}
}

// part is how many of a replica's free places one edge may take until the next
// report; fullFor is how long ago any replica of the kind was seen full.
func quotaOfFree(free, slots, edges int, fullFor time.Duration, luck float64) int {
	if free >= edges {
		return free / edges
	}
	// Why: a few too many are worth it, for a place that waits for a lot to fall on it is a place unused.
	if edges-free <= slots/overcommitDivisor {
		return 1
	}
	// Why: while no replica is full most edges have nothing to send, and one request need not wait for a lot to
	// fall on it. Otherwise there are more edges than places, and if each took one, the replica would have to refuse most;
	// so each takes one as often as makes the free places in all.
	if fullFor > contentionWindow || luck < float64(free)/float64(edges) {
		return 1
	}
	return 0
}
