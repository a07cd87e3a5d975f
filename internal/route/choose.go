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
func (r *Replica) Load() int { return r.elsewhere() + int(r.Live.Inflight.Load()) }

// elsewhere is how many requests of other edges are on it.
func (r *Replica) elsewhere() int {
	switch {
	case !r.Told:
		return r.elsewher
	case r.Dark:
		return 0
	}
	return int(r.Live.elsewhere.Load())
}

// mayHave is how many requests we may have on it.
func (r *Replica) mayHave() int {
	switch {
	case !r.Told:
		return r.room
	case r.Dark:
		return 0
	}
	return max(0, r.Slots-r.elsewhere())
}

// heardAt is when word of it came last.
func (k *Keeper) heardAt(r *Replica) time.Duration {
	if r.Told && !r.Dark {
		return time.Duration(k.renewed.Load())
	}
	return r.heard
}

// candidates are the replicas that can serve a request.
type candidates struct {
	answering []judge.Candidate // those with a free place that answer
	quiet     []judge.Candidate // those with a free place that were last heard of by their silence
	held      int               // those that hold the item, with a free place or not
	places    int               // of all those
	serve     time.Duration     // sum of the time that each takes to serve one request
}

// Choose ranks the replicas that can serve now. held says whether any holds
// the item at all, with a free place or not; serve is the mean time between two
// places that come free there.
func (k *Keeper) Choose(t Target) (best *Replica, held int, serve time.Duration) {
	if k.Deaf() {
		return nil, 0, 0
	}
	s, now := k.Now(), k.clock.Since()
	steer := k.steer(t, s, s.index.able(t, t.Item.String()), now)
	c := k.candidates(t, s, now, steer)
	if c.held == 0 {
		return nil, 0, 0
	}
	serve = c.serve / time.Duration(max(c.places, 1))
	facts := c.answering
	if len(facts) == 0 {
		facts = c.quiet
	}
	// Why: a service keeps nothing warm; a home there would send everybody to one replica, whatever its zone.
	if len(facts) > 0 && t.Route.Kind == "model" {
		facts = k.warmest(t, s, facts, now)
	}
	i := judge.BestForRequest(s.Conf.Weights, facts)
	if i < 0 {
		return nil, c.held, serve
	}
	return s.Replicas[facts[i].Name], c.held, serve
}

// candidates finds who can serve a request now.
func (k *Keeper) candidates(t Target, s *Snapshot, now time.Duration, steer steering) candidates {
	var c candidates
	item, zone := t.Item.String(), k.d.Zone()
	for _, id := range s.index.able(t, item) {
		r := s.Replicas[id]
		if !k.serves(t, item, id, r, now) {
			continue
		}
		c.held++
		if !steer.allows(id) {
			continue
		}
		c.places += r.Slots
		c.serve += r.ServeFor
		mine := int(r.Live.Inflight.Load())
		// Why: one that has just refused is fuller than its report says, and would refuse the next one too.
		if mine >= r.mayHave() || r.over(now) {
			r.Live.look.Store(true)
			continue
		}
		if steer.crowds(r) {
			continue
		}
		f := judge.Candidate{Name: id, Inflight: r.elsewhere() + mine, Slots: r.Slots, ServeTime: r.ServeFor, SameZone: r.Listed.Zone == zone, TenantShare: steer.verdict(id)}
		// Why: silence is no proof. It only ranks a replica behind all that answer, until a report that was asked for
		// later comes.
		if !r.answers(now) || id == t.Avoid {
			c.quiet = append(c.quiet, f)
			continue
		}
		c.answering = append(c.answering, f)
	}
	return c
}

// warmest adds how much of the prompt is warm at each replica and how long its
// reading would take there, and leaves out those that have enough prompts to read.
func (k *Keeper) warmest(t Target, s *Snapshot, facts []judge.Candidate, now time.Duration) []judge.Candidate {
	isTold := s.Replicas[facts[0].Name].Told
	// Why: many calls have one replica to go to; the memory of prompts is not asked for those.
	if len(facts) == 1 && !isTold {
		return facts
	}
	warm, home := k.warmth.warm(t.Prompt), binary.LittleEndian.AppendUint64(nil, t.Prompt.home())
	out := facts[:0]
	for _, f := range facts {
		f.WarmShare, f.Home = warm[f.Name], float64(share.Draw(home, f.Name)>>11)/(1<<53)
		if r := s.Replicas[f.Name]; r.Told {
			uncached := t.Prompt.uncached(f.WarmShare)
			if k.swamped(r, uncached, t.Route.GapTarget, now) {
				continue
			}
			f.PredictedWait = k.wait(r, uncached, now)
		}
		out = append(out, f)
	}
	return out
}

// Others says whether another replica that answers holds what a request needs.
func (k *Keeper) Others(t Target, not string) bool {
	s, now, item := k.Now(), k.clock.Since(), t.Item.String()
	for _, id := range s.index.able(t, item) {
		r := s.Replicas[id]
		if id != not && k.serves(t, item, id, r, now) && r.answers(now) && int(r.Live.Inflight.Load()) < r.mayHave() {
			return true
		}
	}
	return false
}

// Serves says whether a replica is still known to hold what a request needs.
func (k *Keeper) Serves(t Target, id string) bool {
	r := k.Now().Replicas[id]
	return r != nil && k.serves(t, t.Item.String(), id, r, k.clock.Since())
}

// serves says whether a replica holds the item that a request needs and may be sent to.
func (k *Keeper) serves(t Target, item, id string, r *Replica, now time.Duration) bool {
	isModel := t.Route.Kind == "model"
	switch {
	case r.Listed.Model != isModel, isModel && !r.holds(t, item):
		return false
	case r.Listed.Leaving, now-k.heardAt(r) > dark, now-time.Duration(r.Live.refused.Load()) < refusedFor:
		return false
	case !t.selects(r):
		return false
	case isModel && r.Told && r.Live.lacks(item, now):
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
