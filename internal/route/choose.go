package route

import (
	"encoding/binary"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/place/judge"
)

// Load is how many requests a replica has, as far as is known here.
func (r *Replica) Load() int { return r.othersInflight() + int(r.Live.Inflight.Load()) }

// elsewhere is how many requests of other edges are on it.
func (r *Replica) othersInflight() int {
	switch {
	case !r.Told:
		return r.reportedOthers
	case r.Unreachable:
		return 0
	}
	return int(r.Live.othersInflight.Load())
}

// mayHave is how many requests we may have on it.
func (r *Replica) inflightLimit() int {
	switch {
	case !r.Told:
		return r.quota
	case r.Unreachable:
		return 0
	}
	return max(0, r.Slots-r.othersInflight())
}

// heardAt is when word of it came last.
func (k *Router) lastReportAt(r *Replica) time.Duration {
	if r.Told && !r.Unreachable {
		return time.Duration(k.renewedAt.Load())
	}
	return r.reportedAt
}

// candidates are the replicas that can serve a request.
type candidates struct {
	responsive  []judge.Candidate // those with a free place that answer
	silent      []judge.Candidate // those with a free place that were last heard of by their silence
	held        int               // those that hold the item, with a free place or not
	slots       int               // of all those
	serviceTime time.Duration     // sum of the time that each takes to serve one request
}

// Choose ranks the replicas that can serve now. held says whether any holds
// the item at all, with a free place or not; serve is the mean time between two
// places that come free there.
func (k *Router) Choose(t Target) (best *Replica, held int, serve time.Duration) {
	if k.Isolated() {
		return nil, 0, 0
	}
	s, now := k.Current(), k.clock.Since()
	steer := k.steer(t, s, s.index.replicasFor(t, t.Item.String()), now)
	c := k.candidates(t, s, now, steer)
	if c.held == 0 {
		return nil, 0, 0
	}
	serve = c.serviceTime / time.Duration(max(c.slots, 1))
	facts := c.responsive
	if len(facts) == 0 {
		facts = c.silent
	}
	// Why: a service keeps nothing warm; a home there would send everybody to one replica, whatever its zone.
	if len(facts) > 0 && t.Route.Kind == "model" {
		facts = k.addPromptCosts(t, s, facts, now)
	}
	i := judge.BestForRequest(s.Conf.Weights, facts)
	if i < 0 {
		return nil, c.held, serve
	}
	return s.Replicas[facts[i].Name], c.held, serve
}

// candidates finds who can serve a request now.
func (k *Router) candidates(t Target, s *Snapshot, now time.Duration, steer steering) candidates {
	var c candidates
	item, zone := t.Item.String(), k.deps.Zone()
	for _, id := range s.index.replicasFor(t, item) {
		r := s.Replicas[id]
		if !k.serves(t, item, id, r, now) {
			continue
		}
		c.held++
		if !steer.allows(id) {
			continue
		}
		c.slots += r.Slots
		c.serviceTime += r.ServiceTime
		mine := int(r.Live.Inflight.Load())
		// Why: one that has just refused is fuller than its report says, and would refuse the next one too.
		if mine >= r.inflightLimit() || r.isOverloaded(now) {
			r.Live.wantsReport.Store(true)
			continue
		}
		if steer.needsReservedSlot(r) {
			continue
		}
		f := judge.Candidate{Name: id, Inflight: r.othersInflight() + mine, Slots: r.Slots, ServeTime: r.ServiceTime, SameZone: r.Listed.Zone == zone, TenantShare: steer.shareScore(id)}
		// Why: silence is no proof. It only ranks a replica behind all that answer, until a report that was asked for
		// later comes.
		if !r.isResponsive(now) || id == t.Avoid {
			c.silent = append(c.silent, f)
			continue
		}
		c.responsive = append(c.responsive, f)
	}
	return c
}

// warmest adds how much of the prompt is warm at each replica and how long its
// reading would take there, and leaves out those that have enough prompts to read.
func (k *Router) addPromptCosts(t Target, s *Snapshot, facts []judge.Candidate, now time.Duration) []judge.Candidate {
	isTold := s.Replicas[facts[0].Name].Told
	// Why: many calls have one replica to go to; the memory of prompts is not asked for those.
	if len(facts) == 1 && !isTold {
		return facts
	}
	warm, home := k.prefixes.warmFractions(t.Prompt), binary.LittleEndian.AppendUint64(nil, t.Prompt.homeDigest())
	out := facts[:0]
	for _, f := range facts {
		f.WarmShare, f.Home = warm[f.Name], float64(share.Draw(home, f.Name)>>11)/(1<<53)
		if r := s.Replicas[f.Name]; r.Told {
			uncached := t.Prompt.uncachedTokens(f.WarmShare)
			if k.prefillBacklogged(r, uncached, t.Route.GapTarget, now) {
				continue
			}
			f.PredictedWait = k.predictWait(r, uncached, now)
		}
		out = append(out, f)
	}
	return out
}

// Others says whether another replica that answers holds what a request needs.
func (k *Router) HasAlternative(t Target, not string) bool {
	s, now, item := k.Current(), k.clock.Since(), t.Item.String()
	for _, id := range s.index.replicasFor(t, item) {
		r := s.Replicas[id]
		if id != not && k.serves(t, item, id, r, now) && r.isResponsive(now) && int(r.Live.Inflight.Load()) < r.inflightLimit() {
			return true
		}
	}
	return false
}

// Serves says whether a replica is still known to hold what a request needs.
func (k *Router) Serves(t Target, id string) bool {
	r := k.Current().Replicas[id]
	return r != nil && k.serves(t, t.Item.String(), id, r, k.clock.Since())
}

// serves says whether a replica holds the item that a request needs and may be sent to.
func (k *Router) serves(t Target, item, id string, r *Replica, now time.Duration) bool {
	isModel := t.Route.Kind == "model"
	switch {
	case r.Listed.Model != isModel, isModel && !r.holds(t, item):
		return false
	case r.Listed.Leaving, now-k.lastReportAt(r) > maxReportAge, now-time.Duration(r.Live.refusedAt.Load()) < refusedBackoff:
		return false
	case !t.selects(r):
		return false
	case isModel && r.Told && r.Live.reportedMissing(item, now):
		return false
	}
	return !inventory.Marked(k.gossip, id)
}

// holds says whether a replica holds the model that a request needs, and its adapter.
func (r *Replica) holds(t Target, item string) bool {
	return r.Ready[item] && (t.Item.Adapter == "" || r.Ready[t.Item.Model])
}

// selects says whether a replica is of the service, or has the labels, that the route names.
func (t Target) selects(r *Replica) bool {
	if t.Route.Service != "" && r.Listed.Labels[conf.ServiceLabel] == t.Route.Service {
		return true
	}
	if t.Route.Kind == "model" && t.Route.Service == "" {
		return true
	}
	return t.Route.Selector.Matches(labels.Set(r.Listed.Labels))
}
