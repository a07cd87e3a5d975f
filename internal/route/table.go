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
type told struct {
	at      time.Duration
	replica *order.Status
	loaded  []string     // items that the replica holds, by its controller
	coming  []comingItem // items on their way to it
}

// comingItem is an item that is on its way to a replica.
type comingItem struct {
	item string
	at   time.Duration // when it should be there, on our clock
}

// decode reads a replica's entry; nil when it cannot be read.
func decode(e gossip.Entry, now time.Duration) *told {
	var n order.Status
	if wire.Unpack(e.Value, &n) != nil {
		return nil
	}
	t := told{at: now, replica: &n}
	for item, state := range n.Items {
		switch state {
		case backend.Loaded:
			t.loaded = append(t.loaded, item)
		case order.Reserved, backend.Loading:
			t.coming = append(t.coming, comingItem{item, now + time.Duration(n.ReadyMs[item])*time.Millisecond})
		}
	}
	return &t
}

// row is a replica as it is known now.
func (k *Keeper) row(t *told, effective conf.Effective, now time.Duration) *Replica {
	n := t.replica
	r := &Replica{Listed: n.Listed, Live: k.liveOf(n.Listed.ID), Slots: n.Slots, heard: never, Ready: make(map[string]bool, len(t.loaded)),
		ServeFor: time.Duration(n.ServeMs) * time.Millisecond}
	// Why: a drain is in force with the configuration, not only when the controller has heard of it.
	r.Listed.Leaving = n.Listed.Leaving || effective.Drained(n.Listed.Labels, n.Listed.Zone)
	if h := k.heard[n.Listed.ID]; h.known {
		k.byReport(r, n, h, now)
	}
	if !k.d.Ask {
		r.byWord(t)
	}
	if effective.HasTenants() && n.Listed.Model {
		if s, found := effective.ServiceOf(n.Listed.Labels); found && !s.CacheByShare {
			r.cacheTokens = s.CacheTokens
		}
	}
	return r
}

// liveOf is what outlives the tables of a replica.
func (k *Keeper) liveOf(id string) *Live {
	if live := k.lives[id]; live != nil {
		return live
	}
	live := &Live{items: map[string]int{}, tenants: map[string]int{}}
	live.refused.Store(never)
	live.silent.Store(never)
	live.over.Store(never)
	// Why: its report is not waited for until the next interval; a replica just learned of is of no use without it.
	live.look.Store(true)
	k.lives[id] = live
	return live
}

// byReport fills a row from what the replica itself reported to this proxy.
func (k *Keeper) byReport(r *Replica, n *order.Status, h report, now time.Duration) {
	r.heard, r.Slots, r.ServeFor = h.at, h.v.Slots, h.v.ServeFor
	r.elsewher = h.other
	// Why: all edges see the same free places. Each takes its part of them and then looks again; if each took
	// them all, a crowd would be sent to replicas that must refuse it.
	edges := max(1, k.d.Edges())
	r.room = int(h.mine)
	// Others' places must be seen free twice: what has just ended there is replaced by them at once.
	if free := h.v.Slots - max(h.other, h.was) - int(h.mine); free > 0 {
		r.room += part(free, h.v.Slots, edges, now-k.full[h.v.Model], h.luck)
	}
	r.Listed.Leaving = r.Listed.Leaving || h.v.Leaving
	for item, l := range h.v.Items {
		// Why: the replica knows best what it holds; its controller knows what it is about to let go.
		st := n.Items[item.String()]
		if l.State == backend.Loaded && st != order.Withdrawn && st != backend.Unloading {
			r.Ready[item.String()] = true
		}
	}
}

// byWord fills a row from what the replica's controller tells. What its answers
// told of its load, and when the table was renewed last, is looked up where it is used.
func (r *Replica) byWord(t *told) {
	r.Told = true
	if r.Dark = t.replica.Stale; r.Dark {
		return
	}
	r.Slots = max(t.replica.Slots, t.replica.Listed.Slots)
	for _, item := range t.loaded {
		r.Ready[item] = true
	}
}

// part is how many of a replica's free places one edge may take until the next
// report; fullFor is how long ago any replica of the kind was seen full.
func part(free, slots, edges int, fullFor time.Duration, luck float64) int {
	if free >= edges {
		return free / edges
	}
	// Why: a few too many are worth it, for a place that waits for a lot to fall on it is a place unused.
	if edges-free <= slots/fewToo {
		return 1
	}
	// Why: while no replica is full most edges have nothing to send, and one request need not wait for a lot to
	// fall on it. Otherwise there are more edges than places, and if each took one, the replica would have to refuse most;
	// so each takes one as often as makes the free places in all.
	if fullFor > crowded || luck < float64(free)/float64(edges) {
		return 1
	}
	return 0
}
