package route

import (
	"encoding/binary"
	"math"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/place/judge"
)

// Load returns the number of requests on a replica, as far as this proxy knows.
func (r *Replica) Load() int { return r.othersInflight() + int(r.Live.Inflight.Load()) }

// othersInflight returns the number of requests of other edges on the replica.
func (r *Replica) othersInflight() int {
	switch {
	case !r.ViaController:
		return r.reportedOthers
	case r.Unreachable:
		return 0
	}
	return int(r.Live.othersInflight.Load())
}

// inflightLimit returns how many requests this proxy may have in flight on the replica.
func (r *Replica) inflightLimit() int {
	switch {
	case !r.ViaController:
		return r.quota
	case r.Unreachable:
		return 0
	}
	return max(0, r.Slots-r.othersInflight())
}

// lastReportAt returns the time of the last report on a replica; for a reachable replica that is not
// polled, this is the last renewal of the table.
func (rt *Router) lastReportAt(r *Replica) time.Duration {
	if r.ViaController && !r.Unreachable {
		return time.Duration(rt.renewedAt.Load())
	}
	return r.reportedAt
}

// candidates holds the replicas that can serve a request.
type candidates struct {
	responsive  []judge.Candidate // those with a free slot that are responsive
	silent      []judge.Candidate // those with a free slot that were silent last or too slow, and the replica to avoid
	held        int               // number of those that hold the item, with a free slot or not
	slots       int               // total of the slots on those that steering allows
	serviceTime time.Duration     // sum of the service times of those
}

// Choose returns the best replica for a request, or nil if none can take it now. held is the number of
// replicas that hold the item, with a free slot or not; serve is the mean time between two
// slots becoming free on them.
func (rt *Router) Choose(t Target) (best *Replica, held int, serve time.Duration) {
	return rt.ChooseWithin(t, math.MaxInt64)
}

// ChooseWithin is Choose for a request whose answer must begin within a given time. A replica that is too slow for that is
// chosen only if no other can be.
func (rt *Router) ChooseWithin(t Target, left time.Duration) (best *Replica, held int, serve time.Duration) {
	if rt.Isolated() {
		return nil, 0, 0
	}
	s, now := rt.Current(), rt.clock.Since()
	steer := rt.steer(t, s, s.index.replicasFor(t, t.Item.String()), now)
	c := rt.candidates(t, s, now, steer, left)
	if c.held == 0 {
		return nil, 0, 0
	}
	serve = c.serviceTime / time.Duration(max(c.slots, 1))
	ranked := c.responsive
	if len(ranked) == 0 {
		ranked = c.silent
	}
	// Services have no prefix cache. Rendezvous hashing by prompt digest would send all requests to one replica,
	// whatever its zone.
	if len(ranked) > 0 && t.Route.Kind == "model" {
		ranked = rt.addPromptCosts(t, s, ranked, now)
	}
	i := judge.BestForRequest(s.Conf.Weights, ranked)
	if i < 0 {
		return nil, c.held, serve
	}
	return s.Replicas[ranked[i].Name], c.held, serve
}

// candidates returns the replicas that can serve a request now, whose answer must begin within a given time.
func (rt *Router) candidates(t Target, s *Snapshot, now time.Duration, steer steering, left time.Duration) candidates {
	var c candidates
	item, zone := t.Item.String(), rt.deps.Zone()
	for _, id := range s.index.replicasFor(t, item) {
		r := s.Replicas[id]
		if !rt.serves(t, item, id, r, now) {
			continue
		}
		c.held++
		if !steer.allows(id) {
			continue
		}
		c.slots += r.Slots
		c.serviceTime += r.ServiceTime
		mine := int(r.Live.Inflight.Load())
		// A replica that has just refused a request is fuller than its report says, and would refuse the next one too.
		if mine >= r.inflightLimit() || r.isOverloaded(now) {
			r.Live.wantsReport.Store(true)
			continue
		}
		if steer.needsReservedSlot(r) {
			continue
		}
		f := judge.Candidate{Name: id, Inflight: r.othersInflight() + mine, Slots: r.Slots, ServeTime: r.ServiceTime, SameZone: r.Listed.Zone == zone, TenantShare: steer.shareScore(id)}
		// Silence does not prove a failure. It only ranks a replica behind all responsive ones, until a report that
		// was requested later arrives.
		if !r.isResponsive(now) || id == t.Avoid || r.Live.TooSlowFor(left) {
			c.silent = append(c.silent, f)
			continue
		}
		c.responsive = append(c.responsive, f)
	}
	return c
}

// addPromptCosts adds the warm fraction of the prompt and the predicted wait to each candidate,
// and drops candidates whose prefill backlog is full.
func (rt *Router) addPromptCosts(t Target, s *Snapshot, ranked []judge.Candidate, now time.Duration) []judge.Candidate {
	viaController := s.Replicas[ranked[0].Name].ViaController
	// Many requests have a single candidate; the prefix lookup is skipped for those.
	if len(ranked) == 1 && !viaController {
		return ranked
	}
	warm, home := rt.prefixes.warmFractions(t.Prompt), binary.LittleEndian.AppendUint64(nil, t.Prompt.homeDigest())
	out := ranked[:0]
	for _, f := range ranked {
		f.WarmShare, f.RendezvousShare = warm[f.Name], float64(share.Score(home, f.Name)>>11)/(1<<53)
		if r := s.Replicas[f.Name]; r.ViaController {
			uncached := t.Prompt.uncachedTokens(f.WarmShare)
			if rt.prefillBacklogged(r, uncached, t.Route.GapTarget, now) {
				continue
			}
			f.PredictedWait = rt.predictWait(r, uncached, now)
		}
		out = append(out, f)
	}
	return out
}

// HasAlternative reports whether another responsive replica with a free slot holds what a request needs.
func (rt *Router) HasAlternative(t Target, except string) bool {
	s, now, item := rt.Current(), rt.clock.Since(), t.Item.String()
	for _, id := range s.index.replicasFor(t, item) {
		r := s.Replicas[id]
		if id != except && rt.serves(t, item, id, r, now) && r.isResponsive(now) && int(r.Live.Inflight.Load()) < r.inflightLimit() {
			return true
		}
	}
	return false
}

// Serves reports whether a replica is still known to hold what a request needs.
func (rt *Router) Serves(t Target, id string) bool {
	r := rt.Current().Replicas[id]
	return r != nil && rt.serves(t, t.Item.String(), id, r, rt.clock.Since())
}

// serves reports whether a replica holds the item that a request needs and may be used.
func (rt *Router) serves(t Target, item, id string, r *Replica, now time.Duration) bool {
	isModel := t.Route.Kind == "model"
	switch {
	case r.Listed.Model != isModel, isModel && !r.holds(t, item):
		return false
	case r.Listed.Leaving, now-rt.lastReportAt(r) > maxReportAge, now-time.Duration(r.Live.refusedAt.Load()) < refusedBackoff:
		return false
	case !t.selects(r):
		return false
	case isModel && r.ViaController && r.Live.reportedMissing(item, now):
		return false
	}
	return !inventory.MarkedLeaving(rt.gossip, id)
}

// holds reports whether a replica holds the model that a request needs, and its adapter.
func (r *Replica) holds(t Target, item string) bool {
	return r.Ready[item] && (t.Item.Adapter == "" || r.Ready[t.Item.Model])
}

// selects reports whether a replica belongs to the service or has the labels that the route names.
func (t Target) selects(r *Replica) bool {
	if t.Route.Service != "" && r.Listed.Labels[conf.ServiceLabel] == t.Route.Service {
		return true
	}
	if t.Route.Kind == "model" && t.Route.Service == "" {
		return true
	}
	return t.Route.Selector.Matches(labels.Set(r.Listed.Labels))
}
