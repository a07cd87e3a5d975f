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
	replicaPrefix    = "replica/"
	predictionPrefix = "expect/"
	// expectLasts is how long a planner's word on an item that nobody holds counts.
	predictionTTL = 3 * time.Second
)

// draft is the next table while it is made. What does not change is shared with
// the table before.
type draft struct {
	next           Snapshot
	now            time.Duration
	replicas       copyOnWrite[*Replica]
	acked          copyOnWrite[state.Stamp]
	predictions    sharded.Draft[plan.Expectation]
	index          indexDraft
	confChanged    bool // a newer configuration is in force
	readyAtChanged bool // what is on its way is to be found anew
}

func newDraft(s *Snapshot, now time.Duration) *draft {
	return &draft{next: *s, now: now, replicas: copyOnWrite[*Replica]{entries: s.Replicas}, acked: copyOnWrite[state.Stamp]{entries: s.Acked},
		predictions: sharded.NewDraft(s.Expect),
		index:       indexDraft{holders: sharded.NewDraft(s.index.holders), services: s.index.services}}
}

// changed says whether the draft differs from the table before.
func (d *draft) changed() bool {
	return d.confChanged || d.readyAtChanged || d.replicas.owned || d.acked.owned || d.predictions.Changed()
}

// snapshot is the finished table.
func (d *draft) snapshot() *Snapshot {
	s := d.next
	s.Replicas, s.Acked, s.Expect = d.replicas.entries, d.acked.entries, d.predictions.Map()
	s.index = index{holders: d.index.holders.Map(), services: d.index.services}
	return &s
}

// renew brings the table up to what is known now: it takes what is new, and makes
// only those rows anew that this concerns.
func (k *Router) renew() {
	d := newDraft(k.Current(), k.clock.Since())
	fresh, cursor, _ := k.gossip.After(k.cursor)
	k.cursor = cursor
	if k.applyConf(d, fresh) || k.deps.PollReplicas {
		k.rebuildRows(d)
	}
	for _, e := range fresh {
		switch {
		case strings.HasPrefix(e.Key, replicaPrefix):
			k.applyReplica(d, e)
		case strings.HasPrefix(e.Key, predictionPrefix):
			k.applyPrediction(d, e)
		case strings.HasPrefix(e.Key, TenantPrefix):
			k.applyPresence(d, e)
		}
	}
	k.predictionExpiry.expire(d)
	if d.readyAtChanged {
		d.next.Coming = k.earliestReady(d)
	}
	k.refreshLive(d)
	if d.changed() {
		k.current.Store(d.snapshot())
	}
	k.forgetDeparted(d)
	if f := k.onTable.Load(); f != nil {
		(*f)()
	}
}

// takeConf brings a newer configuration into force, and says whether there was one. Of several that
// come while this keeper rests from reading one, the newest is read.
func (k *Router) applyConf(d *draft, fresh []gossip.Entry) bool {
	for _, e := range fresh {
		k.confPending = k.confPending || e.Key == conf.Key
	}
	if !k.confPending || k.confRest.Left(d.now) > 0 {
		return false
	}
	k.confPending = false
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
	k.confRest.Worked(began, ended)
	if k.deps.Log != nil {
		k.deps.Log.Info("configuration in force", "epoch", e.Stamp.Epoch, "version", e.Stamp.Version, "serial", kept.Serial, "tookMs", (ended - began).Milliseconds())
	}
	d.next.Conf, d.next.Stamp, d.next.Serial = effective, e.Stamp, kept.Serial
	d.next.Version++
	d.confChanged = true
	k.prefixes.setShares(effective.Shares())
	k.bulk.setShares(effective.Shares())
	return true
}

// remake makes each row anew. Why: all rest on the configuration, and what was asked
// of the replicas themselves counts for less as it grows old.
func (k *Router) rebuildRows(d *draft) {
	for _, t := range k.entries {
		d.put(k.newRow(t, d.next.Conf, d.now))
	}
	d.readyAtChanged = true
}

// takeReplica takes a replica's entry.
func (k *Router) applyReplica(d *draft, e gossip.Entry) {
	before := k.entries[e.Key]
	var after *entry
	if !e.Gone {
		after = decodeEntry(e, d.now)
	}
	if before == nil && after == nil {
		return
	}
	d.next.Version++
	d.readyAtChanged = d.readyAtChanged || before.isLoading() || after.isLoading()
	if after.isLoading() {
		k.loadingEntries[e.Key] = after
	} else {
		delete(k.loadingEntries, e.Key)
	}
	if before != nil && (after == nil || after.status.Listed.ID != before.status.Listed.ID) {
		delete(k.entries, e.Key)
		k.departed[before.status.Listed.ID] = struct{}{}
		d.drop(before.status.Listed.ID)
	}
	if after != nil {
		k.entries[e.Key] = after
		d.put(k.newRow(after, d.next.Conf, d.now))
		d.acked.set(after.status.Listed.ID, e.Stamp)
	}
}

// brings says that something is on its way to the replica.
func (t *entry) isLoading() bool { return t != nil && len(t.loading) > 0 }

// put gives a row its place in the table.
func (d *draft) put(r *Replica) {
	id := r.Listed.ID
	d.index.update(id, d.replicas.entries[id], r)
	d.replicas.set(id, r)
}

// drop takes a row out of the table.
func (d *draft) drop(id string) {
	d.index.update(id, d.replicas.entries[id], nil)
	d.replicas.drop(id)
	d.acked.drop(id)
}

// coming is what is on its way to any replica.
func (k *Router) earliestReady(d *draft) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, t := range k.loadingEntries {
		if t.status.Stale || d.replicas.entries[t.status.Listed.ID].Listed.Leaving {
			continue
		}
		for _, c := range t.loading {
			if old, found := out[c.item]; !found || c.readyAt < old {
				out[c.item] = c.readyAt
			}
		}
	}
	return out
}

// refresh notes what changes with the time alone, for the rows as they are.
func (k *Router) refreshLive(d *draft) {
	cacheTokens := 0
	for _, r := range d.replicas.entries {
		if r.Told {
			r.Live.othersInflight.Store(int64(r.Live.hintedOthers(d.now)))
		}
		if !r.Listed.Leaving {
			cacheTokens += r.cacheTokens
		}
	}
	// Why: each proxy sees its own part of what the caches take in.
	room := cacheTokens / max(1, k.deps.Edges())
	k.cacheCapacity.Store(int64(room))
	if cacheTokens > 0 {
		k.bulk.reassessAll(float64(room), d.now)
	}
	k.renewedAt.Store(int64(d.now))
}

// forget drops what is kept of replicas that are gone.
func (k *Router) forgetDeparted(d *draft) {
	for id := range k.departed {
		if d.replicas.entries[id] != nil {
			delete(k.departed, id)
			continue
		}
		if live := k.lives[id]; live == nil || live.Inflight.Load() == 0 {
			delete(k.lives, id)
			delete(k.reports, id)
			delete(k.departed, id)
		}
	}
}

// expects are the planners' words that count now, the oldest first.
type predictionExpiry struct {
	ordered deque.Deque[timedPrediction]
	latest  map[string]time.Duration // of each item: when the latest word on it came
}

type timedPrediction struct {
	item string
	at   time.Duration
}

// takeExpect takes a planner's word.
func (k *Router) applyPrediction(d *draft, e gossip.Entry) {
	item := e.Key[len(predictionPrefix):]
	var x plan.Expectation
	if e.Gone || wire.Unpack(e.Value, &x) != nil {
		delete(k.predictionExpiry.latest, item)
		d.predictions.Drop(item)
		return
	}
	if k.predictionExpiry.latest == nil {
		k.predictionExpiry.latest = map[string]time.Duration{}
	}
	k.predictionExpiry.latest[item] = d.now
	k.predictionExpiry.ordered.PushBack(timedPrediction{item, d.now})
	d.predictions.Set(item, x)
}

// expire drops the words that count no more. Why: a refusal is news for a while only.
func (x *predictionExpiry) expire(d *draft) {
	for x.ordered.Len() > 0 && d.now-x.ordered.Front().at >= predictionTTL {
		old := x.ordered.PopFront()
		if at, found := x.latest[old.item]; found && at == old.at {
			delete(x.latest, old.item)
			d.predictions.Drop(old.item)
		}
	}
}
