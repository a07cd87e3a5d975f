package route

import (
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
)

// never is a time long before the start, on this proxy's clock.
const never = -1 << 62

// entry is the decoded status entry of a replica, with the time at which this version of it arrived.
type entry struct {
	receivedAt time.Duration
	status     *order.Status
	loaded     []string      // items that the replica holds, according to its controller
	loading    []loadingItem // items that it is loading or has reserved room for
}

// loadingItem is an item that a replica is loading or is going to load.
type loadingItem struct {
	item    string
	readyAt time.Duration // when it should be ready, on this proxy's clock
}

// decodeEntry decodes the status entry of a replica; it returns nil if the entry is malformed.
func decodeEntry(e gossip.Entry, now time.Duration) *entry {
	var st order.Status
	if wire.Unmarshal(e.Value, &st) != nil {
		return nil
	}
	decoded := entry{receivedAt: now, status: &st}
	for item, state := range st.Items {
		switch state {
		case backend.Loaded:
			decoded.loaded = append(decoded.loaded, item)
		case order.Reserved, backend.Loading:
			decoded.loading = append(decoded.loading, loadingItem{item, now + time.Duration(st.ReadyMs[item])*time.Millisecond})
		}
	}
	return &decoded
}

// newRow builds the table row of a replica from everything known about it.
func (rt *Router) newRow(e *entry, effective conf.Effective, now time.Duration) *Replica {
	st := e.status
	r := &Replica{Listed: st.Listed, Live: rt.liveState(st.Listed.ID), Slots: st.Slots, reportedAt: never, Ready: make(map[string]bool, len(e.loaded)),
		ServiceTime: time.Duration(st.ServeMs) * time.Millisecond}
	// A drain takes effect with the configuration, even before the controller has received it.
	r.Listed.Leaving = st.Listed.Leaving || effective.Drained(st.Listed.Labels, st.Listed.Zone)
	if rep := rt.reports[st.Listed.ID]; rep.valid {
		rt.fillFromReport(r, st, rep, now)
	}
	if !rt.deps.PollReplicas {
		r.fillFromController(e)
	}
	if effective.HasTenants() && st.Listed.Model {
		if s, found := effective.ServiceOf(st.Listed.Labels); found && !s.CacheByShare {
			r.cacheTokens = s.CacheTokens
		}
	}
	return r
}

// liveState returns the state of a replica that outlives the snapshots, and creates it if needed.
func (rt *Router) liveState(id string) *Live {
	if live := rt.lives[id]; live != nil {
		return live
	}
	live := &Live{itemInflight: map[string]int{}, tenantInflight: map[string]int{}}
	live.refusedAt.Store(never)
	live.silentAt.Store(never)
	live.overloadedAt.Store(never)
	// A newly listed replica is not usable before its first report, so the report is requested at once.
	live.wantsReport.Store(true)
	rt.lives[id] = live
	return live
}

// fillFromReport fills a row from the replica's own report to this proxy.
func (rt *Router) fillFromReport(r *Replica, st *order.Status, rep report, now time.Duration) {
	r.reportedAt, r.Slots, r.ServiceTime = rep.requestedAt, rep.status.Slots, rep.status.ServeFor
	r.reportedOthers = rep.othersInflight
	// All edges see the same free slots. Each uses its part of them and then requests a new report; if each used
	// all of them, the replicas would be overrun and would have to refuse requests.
	edges := max(1, rt.deps.Edges())
	r.quota = int(rep.ownInflight)
	// Slots used by other edges must be seen free in two consecutive reports, because those edges replace a request that
	// has just ended at once.
	if free := rep.status.Slots - max(rep.othersInflight, rep.previousOthers) - int(rep.ownInflight); free > 0 {
		r.quota += quotaOfFree(free, rep.status.Slots, edges, now-rt.lastFull[rep.status.Model], rep.draw)
	}
	r.Listed.Leaving = r.Listed.Leaving || rep.status.Leaving
	for item, line := range rep.status.Items {
		// The replica is authoritative for what it holds, its controller for what is about to be unloaded.
		controllerState := st.Items[item.String()]
		if line.State == backend.Loaded && controllerState != order.Withdrawn && controllerState != backend.Unloading {
			r.Ready[item.String()] = true
		}
	}
}

// fillFromController fills a row from the status that the replica's controller publishes. The load
// hints of its answers and the time of the last renewal are read where they are used.
func (r *Replica) fillFromController(e *entry) {
	r.ViaController = true
	if r.Unreachable = e.status.Stale; r.Unreachable {
		return
	}
	r.Slots = max(e.status.Slots, e.status.Listed.Slots)
	for _, item := range e.loaded {
		r.Ready[item] = true
	}
}

// quotaOfFree returns how many of a replica's free slots one edge may use until the next
// report. sinceFull is the time since any replica of the same kind was seen full; draw is uniform in [0, 1).
func quotaOfFree(free, slots, edges int, sinceFull time.Duration, draw float64) int {
	if free >= edges {
		return free / edges
	}
	// A slight overcommitment is accepted, because a slot that no edge draws stays unused.
	if edges-free <= slots/overcommitDivisor {
		return 1
	}
	// While no replica is full, most edges have nothing to send, and a request need not wait for a successful draw.
	// Otherwise there are more edges than free slots, and the replica would have to refuse most requests if each edge
	// used one; so each edge uses one with a probability that adds up to the free slots over all edges.
	if sinceFull > contentionWindow || draw < float64(free)/float64(edges) {
		return 1
	}
	return 0
}
