package route

import (
	"strings"
	"time"

	"github.com/gammazero/deque"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/sharded"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/state"
)

const (
	replicaPrefix = "replica/"
	expectPrefix  = "expect/"
	// expectLasts is how long a planner's word on an item that nobody holds counts.
	expectLasts = 3 * time.Second
)

// draft is the next table while it is made. What does not change is shared with
// the table before.
type draft struct {
	next     Snapshot
	now      time.Duration
	replicas copyOnWrite[*Replica]
	acked    copyOnWrite[state.Stamp]
	expect   sharded.Draft[plan.Expectation]
	index    indexing
	isNew    bool // a newer configuration is in force
	coming   bool // what is on its way is to be found anew
}

func newDraft(s *Snapshot, now time.Duration) *draft {
	return &draft{next: *s, now: now, replicas: copyOnWrite[*Replica]{entries: s.Replicas}, acked: copyOnWrite[state.Stamp]{entries: s.Acked},
		expect: sharded.NewDraft(s.Expect),
		index:  indexing{holders: sharded.NewDraft(s.index.holders), services: s.index.services}}
}

// changed says whether the draft differs from the table before.
func (d *draft) changed() bool {
	return d.isNew || d.coming || d.replicas.own || d.acked.own || d.expect.Changed()
}

// snapshot is the finished table.
func (d *draft) snapshot() *Snapshot {
	s := d.next
	s.Replicas, s.Acked, s.Expect = d.replicas.entries, d.acked.entries, d.expect.Map()
	s.index = index{holders: d.index.holders.Map(), services: d.index.services}
	return &s
}

// renew brings the table up to what is known now: it takes what is new, and makes
// only those rows anew that this concerns.
func (k *Keeper) renew() {
	d := newDraft(k.Now(), k.clock.Since())
	fresh, cursor, _ := k.gossip.After(k.cursor)
	k.cursor = cursor
	if k.takeConf(d, fresh) || k.d.Ask {
		k.remake(d)
	}
	for _, e := range fresh {
		switch {
		case strings.HasPrefix(e.Key, replicaPrefix):
			k.takeReplica(d, e)
		case strings.HasPrefix(e.Key, expectPrefix):
			k.takeExpect(d, e)
		case strings.HasPrefix(e.Key, TenantPrefix):
			k.takePresence(d, e)
		}
	}
	k.expects.expire(d)
	if d.coming {
		d.next.Coming = k.coming(d)
	}
	k.refresh(d)
	if d.changed() {
		k.snap.Store(d.snapshot())
	}
	k.forget(d)
	if f := k.onNew.Load(); f != nil {
		(*f)()
	}
}

// takeConf brings a newer configuration into force, and says whether there was one. Of several that
// come while this keeper rests from reading one, the newest is read.
func (k *Keeper) takeConf(d *draft, fresh []gossip.Entry) bool {
	for _, e := range fresh {
		k.confNews = k.confNews || e.Key == conf.Key
	}
	if !k.confNews || k.reading.Left(d.now) > 0 {
		return false
	}
	k.confNews = false
	e, found := k.gossip.Get(conf.Key)
	if !found || !e.Stamp.Newer(d.next.Stamp) {
		return false
	}
	began := k.clock.Since()
	kept, effective, err := conf.Read(e.Value)
	if err != nil {
		return false
	}
	ended := k.clock.Since()
	k.reading.Worked(began, ended)
	if k.d.Log != nil {
		k.d.Log.Info("configuration in force", "epoch", e.Stamp.Epoch, "version", e.Stamp.Version, "serial", kept.Serial, "tookMs", (ended - began).Milliseconds())
	}
	d.next.Conf, d.next.Stamp, d.next.Serial = effective, e.Stamp, kept.Serial
	d.next.Version++
	d.isNew = true
	k.warmth.divide(effective.Shares())
	k.bulk.divide(effective.Shares())
	return true
}

// remake makes each row anew. Why: all rest on the configuration, and what was asked
// of the replicas themselves counts for less as it grows old.
func (k *Keeper) remake(d *draft) {
	for _, t := range k.told {
		d.put(k.row(t, d.next.Conf, d.now))
	}
	d.coming = true
}

// takeReplica takes a replica's entry.
func (k *Keeper) takeReplica(d *draft, e gossip.Entry) {
	before := k.told[e.Key]
	var after *told
	if !e.Gone {
		after = decode(e, d.now)
	}
	if before == nil && after == nil {
		return
	}
	d.next.Version++
	d.coming = d.coming || before.brings() || after.brings()
	if after.brings() {
		k.bringing[e.Key] = after
	} else {
		delete(k.bringing, e.Key)
	}
	if before != nil && (after == nil || after.replica.Listed.ID != before.replica.Listed.ID) {
		delete(k.told, e.Key)
		k.gone[before.replica.Listed.ID] = struct{}{}
		d.drop(before.replica.Listed.ID)
	}
	if after != nil {
		k.told[e.Key] = after
		d.put(k.row(after, d.next.Conf, d.now))
		d.acked.set(after.replica.Listed.ID, e.Stamp)
	}
}

// brings says that something is on its way to the replica.
func (t *told) brings() bool { return t != nil && len(t.coming) > 0 }

// put gives a row its place in the table.
func (d *draft) put(r *Replica) {
	id := r.Listed.ID
	d.index.moved(id, d.replicas.entries[id], r)
	d.replicas.set(id, r)
}

// drop takes a row out of the table.
func (d *draft) drop(id string) {
	d.index.moved(id, d.replicas.entries[id], nil)
	d.replicas.drop(id)
	d.acked.drop(id)
}

// coming is what is on its way to any replica.
func (k *Keeper) coming(d *draft) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, t := range k.bringing {
		if t.replica.Stale || d.replicas.entries[t.replica.Listed.ID].Listed.Leaving {
			continue
		}
		for _, c := range t.coming {
			if old, found := out[c.item]; !found || c.at < old {
				out[c.item] = c.at
			}
		}
	}
	return out
}

// refresh notes what changes with the time alone, for the rows as they are.
func (k *Keeper) refresh(d *draft) {
	cacheTokens := 0
	for _, r := range d.replicas.entries {
		if r.Told {
			r.Live.elsewhere.Store(int64(r.Live.others(d.now)))
		}
		if !r.Listed.Leaving {
			cacheTokens += r.cacheTokens
		}
	}
	// Why: each proxy sees its own part of what the caches take in.
	room := cacheTokens / max(1, k.d.Edges())
	k.cacheRoom.Store(int64(room))
	if cacheTokens > 0 {
		k.bulk.review(float64(room), d.now)
	}
	k.renewed.Store(int64(d.now))
}

// forget drops what is kept of replicas that are gone.
func (k *Keeper) forget(d *draft) {
	for id := range k.gone {
		if d.replicas.entries[id] != nil {
			delete(k.gone, id)
			continue
		}
		if live := k.lives[id]; live == nil || live.Inflight.Load() == 0 {
			delete(k.lives, id)
			delete(k.heard, id)
			delete(k.gone, id)
		}
	}
}

// expects are the planners' words that count now, the oldest first.
type expects struct {
	ordered deque.Deque[expected]
	latest  map[string]time.Duration // of each item: when the latest word on it came
}

type expected struct {
	item string
	at   time.Duration
}

// takeExpect takes a planner's word.
func (k *Keeper) takeExpect(d *draft, e gossip.Entry) {
	item := e.Key[len(expectPrefix):]
	var x plan.Expectation
	if e.Gone || wire.Unpack(e.Value, &x) != nil {
		delete(k.expects.latest, item)
		d.expect.Drop(item)
		return
	}
	if k.expects.latest == nil {
		k.expects.latest = map[string]time.Duration{}
	}
	k.expects.latest[item] = d.now
	k.expects.ordered.PushBack(expected{item, d.now})
	d.expect.Set(item, x)
}

// expire drops the words that count no more. Why: a refusal is news for a while only.
func (x *expects) expire(d *draft) {
	for x.ordered.Len() > 0 && d.now-x.ordered.Front().at >= expectLasts {
		old := x.ordered.PopFront()
		if at, found := x.latest[old.item]; found && at == old.at {
			delete(x.latest, old.item)
			d.expect.Drop(old.item)
		}
	}
}
