package route

import (
	"strings"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/news"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/state"
)

const (
	replicaPrefix = "replica/"
	expectPrefix  = "expect/"
	// expectLasts is how long a planner's word on an item that nobody holds counts.
	expectLasts = 3 * time.Second
	// never is a time long before the start, on our clock.
	never = -1 << 62
)

// told is an entry as it was first seen here in its present form, decoded once.
type told struct {
	stamp   state.Stamp
	at      time.Duration
	replica *order.News  // of an entry of a replica; nil when it cannot be read
	loaded  []string     // items that the replica holds, by its controller
	expect  *plan.Expect // of an entry of what is expected; nil when it cannot be read
}

// rebuild makes a new table of all that is known now.
func (k *Keeper) rebuild() {
	now := k.clock.Since()
	k.takeConf()
	s := &Snapshot{Conf: k.conf, Serial: k.serial, Stamp: k.confAt, Replicas: map[string]*Replica{}, Expect: map[string]plan.Expect{},
		Coming: map[string]time.Duration{}, Acked: map[string]state.Stamp{}}
	before := k.told
	k.told = make(map[string]told, len(before))
	for _, e := range k.news.List(replicaPrefix) {
		t := k.toldAt(before, e, now)
		if t.replica == nil {
			continue
		}
		r := k.row(t, now)
		s.Replicas[r.Listed.ID] = r
		s.Acked[r.Listed.ID] = e.Stamp
		s.addComing(t)
	}
	if len(s.Replicas) != len(k.Now().Replicas) {
		k.version++
	}
	s.Version = k.version
	k.forget(s)
	for _, e := range k.news.List(expectPrefix) {
		// Why: a refusal is news for a while only.
		if t := k.toldAt(before, e, now); t.expect != nil && now-t.at < expectLasts {
			s.Expect[e.Key[len(expectPrefix):]] = *t.expect
		}
	}
	k.snap.Store(s)
	if f := k.onNew.Load(); f != nil {
		(*f)()
	}
}

// takeConf brings a newer configuration into force.
func (k *Keeper) takeConf() {
	e, found := k.news.Get(conf.Key)
	if !found || !e.Stamp.Newer(k.confAt) {
		return
	}
	kept, err := conf.Unpack(e.Value)
	if err != nil {
		return
	}
	if effective, err := conf.Effect(kept); err == nil {
		k.conf, k.confAt, k.serial = effective, e.Stamp, kept.Serial
		k.version++
	}
}

// toldAt is an entry decoded, with when its present form was first seen here;
// what is news no more is forgotten.
func (k *Keeper) toldAt(before map[string]told, e news.Entry, now time.Duration) told {
	t, found := before[e.Key]
	if !found || t.stamp != e.Stamp {
		t = decode(e, now)
		if t.replica != nil {
			k.version++
		}
	}
	k.told[e.Key] = t
	return t
}

func decode(e news.Entry, now time.Duration) told {
	t := told{stamp: e.Stamp, at: now}
	if strings.HasPrefix(e.Key, expectPrefix) {
		var x plan.Expect
		if wire.Unpack(e.Value, &x) == nil {
			t.expect = &x
		}
		return t
	}
	var n order.News
	if wire.Unpack(e.Value, &n) != nil {
		return t
	}
	t.replica = &n
	for item, state := range n.Items {
		if state == backend.Loaded {
			t.loaded = append(t.loaded, item)
		}
	}
	return t
}

// row is a replica as it is known now.
func (k *Keeper) row(t told, now time.Duration) *Replica {
	n := t.replica
	r := &Replica{Listed: n.Listed, Live: k.liveOf(n.Listed.ID), Slots: n.Slots, Heard: never, Ready: make(map[string]bool, len(t.loaded)),
		ServeFor: time.Duration(n.ServeMs) * time.Millisecond}
	// Why: a drain is in force with the configuration, not only when the controller has heard of it.
	r.Listed.Leaving = n.Listed.Leaving || k.conf.Drained(n.Listed.Labels, n.Listed.Zone)
	if h := k.heard[n.Listed.ID]; h.known {
		k.byReport(r, n, h, now)
	}
	if !k.d.Ask {
		r.byWord(t, now)
	}
	return r
}

// liveOf is what outlives the tables of a replica.
func (k *Keeper) liveOf(id string) *Live {
	if live := k.lives[id]; live != nil {
		return live
	}
	live := &Live{items: map[string]int{}}
	live.refused.Store(never)
	live.silent.Store(never)
	live.over.Store(never)
	// Why: its report is not waited for until the next beat; a replica just learned of is of no use without it.
	live.look.Store(true)
	k.lives[id] = live
	return live
}

// byReport fills a row from what the replica itself reported to this proxy.
func (k *Keeper) byReport(r *Replica, n *order.News, h report, now time.Duration) {
	r.Heard, r.Slots, r.ServeFor = h.at, h.v.Slots, h.v.ServeFor
	r.Elsewher = h.other
	// Why: all edges see the same free places. Each takes its part of them and then looks again; if each took
	// them all, a crowd would be sent to replicas that must refuse it.
	edges := max(1, k.d.Edges())
	r.Room = int(h.mine)
	// Others' places must be seen free twice: what has just ended there is replaced by them at once.
	if free := h.v.Slots - max(h.other, h.was) - int(h.mine); free > 0 {
		r.Room += part(free, h.v.Slots, edges, now-k.full[h.v.Model], h.luck)
	}
	r.Listed.Leaving = r.Listed.Leaving || h.v.Leaving
	for item, l := range h.v.Items {
		// Why: the replica knows best what it holds; its controller knows what it is about to let go.
		st := n.Items[item.String()]
		if l.State == backend.Loaded && st != order.Leaving && st != backend.Unloading {
			r.Ready[item.String()] = true
		}
	}
}

// byWord fills a row from what the replica's controller tells.
func (r *Replica) byWord(t told, now time.Duration) {
	r.Told = true
	if t.replica.Dark {
		return
	}
	r.Heard = now
	r.Slots = max(t.replica.Slots, t.replica.Listed.Slots)
	r.Elsewher = r.Live.others(now)
	r.Room = max(0, r.Slots-r.Elsewher)
	for _, item := range t.loaded {
		r.Ready[item] = true
	}
}

// addComing notes what is on its way to a replica.
func (s *Snapshot) addComing(t told) {
	n := t.replica
	if n.Dark || s.Replicas[n.Listed.ID].Listed.Leaving {
		return
	}
	for item, st := range n.Items {
		if st != order.Reserved && st != backend.Loading {
			continue
		}
		at := t.at + time.Duration(n.ReadyMs[item])*time.Millisecond
		if old, found := s.Coming[item]; !found || at < old {
			s.Coming[item] = at
		}
	}
}

// forget drops what is kept of replicas that are gone.
func (k *Keeper) forget(s *Snapshot) {
	for id, live := range k.lives {
		if s.Replicas[id] == nil && live.Inflight.Load() == 0 {
			delete(k.lives, id)
			delete(k.heard, id)
		}
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
