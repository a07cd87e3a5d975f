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
	// predictionTTL is how long a planner's prediction for an item that no replica holds is valid.
	predictionTTL = 3 * time.Second
)

// draft is the next snapshot under construction. Unchanged parts are shared with the
// previous snapshot.
type draft struct {
	next           Snapshot
	now            time.Duration
	replicas       copyOnWrite[*Replica]
	acked          copyOnWrite[state.Stamp]
	predictions    sharded.Builder[plan.Expectation]
	index          indexDraft
	confChanged    bool // a newer configuration has been applied
	readyAtChanged bool // the ready times of loading items must be recomputed
}

func newDraft(s *Snapshot, now time.Duration) *draft {
	return &draft{next: *s, now: now, replicas: copyOnWrite[*Replica]{entries: s.Replicas}, acked: copyOnWrite[state.Stamp]{entries: s.Acked},
		predictions: sharded.NewBuilder(s.Expectations),
		index:       indexDraft{holders: sharded.NewBuilder(s.index.holders), services: s.index.services}}
}

// changed reports whether the draft differs from the previous snapshot.
func (d *draft) changed() bool {
	return d.confChanged || d.readyAtChanged || d.replicas.owned || d.acked.owned || d.predictions.Changed()
}

// snapshot returns the finished snapshot.
func (d *draft) snapshot() *Snapshot {
	s := d.next
	s.Replicas, s.Acked, s.Expectations = d.replicas.entries, d.acked.entries, d.predictions.Map()
	s.index = index{holders: d.index.holders.Map(), services: d.index.services}
	return &s
}

// renew brings the table up to date: it applies the new gossip entries and rebuilds
// only the rows that they affect.
func (rt *Router) renew() {
	d := newDraft(rt.Current(), rt.clock.Since())
	newEntries, cursor, _ := rt.gossip.Since(rt.cursor)
	rt.cursor = cursor
	if rt.applyConf(d, newEntries) || rt.deps.PollReplicas {
		rt.rebuildRows(d)
	}
	for _, e := range newEntries {
		switch {
		case strings.HasPrefix(e.Key, replicaPrefix):
			rt.applyReplica(d, e)
		case strings.HasPrefix(e.Key, predictionPrefix):
			rt.applyPrediction(d, e)
		case strings.HasPrefix(e.Key, TenantPrefix):
			rt.applyPresence(d, e)
		}
	}
	rt.predictionExpiry.expire(d)
	if d.readyAtChanged {
		d.next.LoadingReadyAt = rt.earliestReady(d)
	}
	rt.refreshLive(d)
	if d.changed() {
		rt.current.Store(d.snapshot())
	}
	rt.forgetDeparted(d)
	if f := rt.onTable.Load(); f != nil {
		(*f)()
	}
}

// applyConf applies a newer configuration and reports whether there was one. Of several configurations
// that arrive during the rest after reading one, only the newest is read.
func (rt *Router) applyConf(d *draft, newEntries []gossip.Entry) bool {
	for _, e := range newEntries {
		rt.confPending = rt.confPending || e.Key == conf.Key
	}
	if !rt.confPending || rt.confRest.Remaining(d.now) > 0 {
		return false
	}
	rt.confPending = false
	e, found := rt.gossip.Get(conf.Key)
	if !found || !e.Stamp.Newer(d.next.Stamp) {
		return false
	}
	began := rt.clock.Since()
	kept, effective, err := conf.Read(e.Value)
	if err != nil {
		return false
	}
	ended := rt.clock.Since()
	rt.confRest.Record(began, ended)
	if rt.deps.Log != nil {
		rt.deps.Log.Info("configuration in force", "epoch", e.Stamp.Epoch, "version", e.Stamp.Version, "serial", kept.Serial, "tookMs", (ended - began).Milliseconds())
	}
	d.next.Conf, d.next.Stamp, d.next.Serial = effective, e.Stamp, kept.Serial
	d.next.Version++
	d.confChanged = true
	rt.prefixes.setShares(effective.Shares())
	rt.bulk.setShares(effective.Shares())
	return true
}

// rebuildRows rebuilds all rows. Each depends on the configuration, and with polled reports
// also on the age of those reports.
func (rt *Router) rebuildRows(d *draft) {
	for _, e := range rt.entries {
		d.put(rt.newRow(e, d.next.Conf, d.now))
	}
	d.readyAtChanged = true
}

// applyReplica applies the status entry of a replica.
func (rt *Router) applyReplica(d *draft, e gossip.Entry) {
	before := rt.entries[e.Key]
	var after *entry
	if !e.Deleted {
		after = decodeEntry(e, d.now)
	}
	if before == nil && after == nil {
		return
	}
	d.next.Version++
	d.readyAtChanged = d.readyAtChanged || before.isLoading() || after.isLoading()
	if after.isLoading() {
		rt.loadingEntries[e.Key] = after
	} else {
		delete(rt.loadingEntries, e.Key)
	}
	if before != nil && (after == nil || after.status.Listed.ID != before.status.Listed.ID) {
		delete(rt.entries, e.Key)
		rt.departed[before.status.Listed.ID] = struct{}{}
		d.drop(before.status.Listed.ID)
	}
	if after != nil {
		rt.entries[e.Key] = after
		d.put(rt.newRow(after, d.next.Conf, d.now))
		d.acked.set(after.status.Listed.ID, e.Stamp)
	}
}

// isLoading reports whether the replica is loading an item or is going to.
func (e *entry) isLoading() bool { return e != nil && len(e.loading) > 0 }

// put adds or replaces a row.
func (d *draft) put(r *Replica) {
	id := r.Listed.ID
	d.index.update(id, d.replicas.entries[id], r)
	d.replicas.set(id, r)
}

// drop removes a row.
func (d *draft) drop(id string) {
	d.index.update(id, d.replicas.entries[id], nil)
	d.replicas.drop(id)
	d.acked.drop(id)
}

// earliestReady returns when each loading item should be ready on its first replica.
func (rt *Router) earliestReady(d *draft) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, e := range rt.loadingEntries {
		if e.status.Stale || d.replicas.entries[e.status.Listed.ID].Listed.Leaving {
			continue
		}
		for _, c := range e.loading {
			if old, found := out[c.item]; !found || c.readyAt < old {
				out[c.item] = c.readyAt
			}
		}
	}
	return out
}

// refreshLive updates the values that change over time without any new entry.
func (rt *Router) refreshLive(d *draft) {
	cacheTokens := 0
	for _, r := range d.replicas.entries {
		if r.ViaController {
			r.Live.othersInflight.Store(int64(r.Live.hintedOthers(d.now)))
		}
		if !r.Listed.Leaving {
			cacheTokens += r.cacheTokens
		}
	}
	// Each proxy sees only its own part of the prompts that the caches receive.
	room := cacheTokens / max(1, rt.deps.Edges())
	rt.cacheCapacity.Store(int64(room))
	if cacheTokens > 0 {
		rt.bulk.reassessAll(float64(room), d.now)
	}
	rt.renewedAt.Store(int64(d.now))
}

// forgetDeparted drops the state of replicas that have left, once their last request has ended.
func (rt *Router) forgetDeparted(d *draft) {
	for id := range rt.departed {
		if d.replicas.entries[id] != nil {
			delete(rt.departed, id)
			continue
		}
		if live := rt.lives[id]; live == nil || live.Inflight.Load() == 0 {
			delete(rt.lives, id)
			delete(rt.reports, id)
			delete(rt.departed, id)
		}
	}
}

// predictionExpiry tracks when the predictions in the table expire, the oldest first.
type predictionExpiry struct {
	ordered deque.Deque[timedPrediction]
	latest  map[string]time.Duration // by item: when its latest prediction arrived
}

type timedPrediction struct {
	item string
	at   time.Duration
}

// applyPrediction applies the prediction of a planner.
func (rt *Router) applyPrediction(d *draft, e gossip.Entry) {
	item := e.Key[len(predictionPrefix):]
	var prediction plan.Expectation
	if e.Deleted || wire.Unmarshal(e.Value, &prediction) != nil {
		delete(rt.predictionExpiry.latest, item)
		d.predictions.Delete(item)
		return
	}
	if rt.predictionExpiry.latest == nil {
		rt.predictionExpiry.latest = map[string]time.Duration{}
	}
	rt.predictionExpiry.latest[item] = d.now
	rt.predictionExpiry.ordered.PushBack(timedPrediction{item, d.now})
	d.predictions.Set(item, prediction)
}

// expire drops expired predictions, because a refusal is only valid for a while.
func (p *predictionExpiry) expire(d *draft) {
	for p.ordered.Len() > 0 && d.now-p.ordered.Front().at >= predictionTTL {
		old := p.ordered.PopFront()
		if at, found := p.latest[old.item]; found && at == old.at {
			delete(p.latest, old.item)
			d.predictions.Delete(old.item)
		}
	}
}
