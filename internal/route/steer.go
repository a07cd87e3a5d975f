package route

import (
	"maps"
	"math"
	"slices"
	"time"

	"drumstall.example/internal/kernel/share"
)

const (
	// warmEnough is the part of a prompt that is warm at a replica from which on it pushes out little there.
	minWarmFraction = 0.5
	// nightPart of a tenant's replicas is where its less urgent bulk goes.
	bulkReplicaDivisor = 2
	// placesPart of a replica's places, times the others' part of the shares, is what a tenant leaves free there
	// that has its own share of them.
	reservedSlotDivisor = 4
)

// steering says where a request may push out what others keep warm. The zero
// value leaves every replica open.
type steering struct {
	enabled bool
	allowed map[string]bool // replicas that its new prompts may go to; nil is any
	avoid   map[string]bool // replicas that others' bulk goes to

	tenant         string
	othersFraction float64 // part of the shares that is other tenants' who are present; 0 is nobody
	edges          int
}

// crowds says whether a request would take a place that is kept free for other
// tenants. Why: a tenant that waits for places everywhere would find one somewhere, and hardly ever where
// its prompts are warm.
func (s steering) needsReservedSlot(r *Replica) bool {
	if s.othersFraction == 0 {
		return false
	}
	kept := int(math.Ceil(float64(r.Slots/reservedSlotDivisor) * s.othersFraction))
	if kept == 0 || r.Load() < r.Slots-kept {
		return false
	}
	return float64(r.Live.inflightOfTenant(s.tenant)*s.edges) >= float64(r.Slots)*(1-s.othersFraction)
}

func (s steering) allows(id string) bool { return s.allowed == nil || s.allowed[id] }

// verdict is what the judge "share" goes by.
func (s steering) shareScore(id string) float64 {
	if !s.enabled || s.avoid[id] {
		return 0
	}
	return 1
}

// steer says where a request may go among the replicas that hold what it needs. It
// is off without tenants.
func (k *Router) steer(t Target, s *Snapshot, able []string, now time.Duration) steering {
	if !s.Conf.HasTenants() {
		return steering{}
	}
	by := k.ownerOf(t)
	b := k.bulk
	b.mu.Lock()
	defer b.mu.Unlock()
	out := k.steerBulk(t, s, able, by, now)
	out.tenant, out.edges = by.Tenant, max(1, k.deps.Edges())
	present := b.present(now)
	if sum := b.presentShares(now); sum > 0 && present[by.Tenant] < sum {
		out.othersFraction = 1 - float64(b.shares[by.Tenant])/float64(sum+b.shares[by.Tenant]-present[by.Tenant])
	}
	return out
}

// steerBulk says where a prompt may push out what others keep warm. It is off where no
// replica's cache is known or all divide theirs, and while nobody sends bulk.
func (k *Router) steerBulk(t Target, s *Snapshot, able []string, by party, now time.Duration) steering {
	b := k.bulk
	if len(b.bulkParties) == 0 || t.Route.Kind != "model" || len(able) < 2 {
		return steering{}
	}
	steered := make([]string, 0, len(able))
	for _, id := range able {
		if r := s.Replicas[id]; r.cacheTokens > 0 && !r.Listed.Leaving {
			steered = append(steered, id)
		}
	}
	if len(steered) < 2 {
		return steering{}
	}
	out := b.divideReplicas(by, steered, now)
	// Why: a request that has failed on a replica must not find the next one closed to it.
	if t.Avoid != "" {
		out.allowed = nil
	}
	if out.allowed == nil {
		return out
	}
	for _, id := range able {
		if r := s.Replicas[id]; r.cacheTokens == 0 {
			out.allowed[id] = true
		}
	}
	for id, warm := range k.prefixes.warmFractions(t.Prompt) {
		if warm >= minWarmFraction {
			out.allowed[id] = true
		}
	}
	return out
}

// among divides replicas between the tenants that are present and, within the
// tenant, between what is urgent and its own bulk.
func (b *bulkDetector) divideReplicas(by party, ids []string, now time.Duration) steering {
	out := steering{enabled: true, avoid: map[string]bool{}}
	present := b.present(now)
	if len(present) > 1 {
		for tenant, home := range assignReplicas(present, ids) {
			switch {
			case !b.bulkParties[wholeTenant(tenant)]:
				continue
			case tenant == by.Tenant:
				out.allowed = setOf(home)
				continue
			}
			for _, id := range home {
				out.avoid[id] = true
			}
		}
	}
	mine := b.openReplicas(by.Tenant, ids, out)
	if len(mine) < 2 {
		return out
	}
	night := mine[clampCount(len(mine)-len(mine)/bulkReplicaDivisor, len(mine)):]
	switch {
	case b.bulkParties[by]:
		out.allowed = setOf(night)
	case b.hasLessUrgentBulk(by):
		for _, id := range night {
			out.avoid[id] = true
		}
	}
	return out
}

// open are the replicas that a tenant's new prompts go to, in the tenant's own order.
func (b *bulkDetector) openReplicas(tenant string, ids []string, s steering) []string {
	var out []string
	for _, id := range rankedFor(tenant, ids) {
		if s.allows(id) && (s.allowed != nil || !s.avoid[id]) {
			out = append(out, id)
		}
	}
	return out
}

// isAnyBulky says whether a less urgent step of the same tenant sends bulk.
func (b *bulkDetector) hasLessUrgentBulk(by party) bool {
	for p := range b.bulkParties {
		if p.Tenant == by.Tenant && p.Rank > by.Rank {
			return true
		}
	}
	return false
}

// homes gives each tenant as many replicas as its share is, at least one, and no
// replica to two tenants while there are enough. Why: that is settled by who is present, not by who sends bulk,
// since all proxies see that alike.
func assignReplicas(present map[string]int, ids []string) map[string][]string {
	sum := 0
	for _, share := range present {
		sum += share
	}
	out, left := map[string][]string{}, ids
	for _, tenant := range slices.Sorted(maps.Keys(present)) {
		n := clampCount(len(ids)*present[tenant]/sum, len(ids))
		if len(left) < n {
			out[tenant] = rankedFor(tenant, ids)[:n]
			continue
		}
		mine := rankedFor(tenant, left)
		out[tenant], left = mine[:n], mine[n:]
	}
	return out
}

// inOrderOf are replicas in the order in which a tenant's bulk takes them, alike at every proxy.
func rankedFor(tenant string, ids []string) []string {
	return share.Ranked([]byte(tenant), ids)
}

// part1 is a part of n things that leaves at least one on either side.
func clampCount(part, n int) int { return max(1, min(part, n-1)) }

func setOf(ids []string) map[string]bool {
	out := make(map[string]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}
