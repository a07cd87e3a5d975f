package route

import (
	"maps"
	"math"
	"slices"
	"time"

	"drumstall.example/internal/kernel/share"
)

const (
	// minWarmFraction of a prompt must be warm at a replica for the prompt to evict little there.
	minWarmFraction = 0.5
	// bulkReplicaDivisor: 1/bulkReplicaDivisor of a tenant's replicas take its less urgent bulk.
	bulkReplicaDivisor = 2
	// reservedSlotDivisor: Slots/reservedSlotDivisor times the other tenants' fraction of the shares is the number of
	// slots that a tenant which already has its own share must leave free on a replica.
	reservedSlotDivisor = 4
)

// steering restricts the replicas where a request may evict the warm prefixes of others. The zero
// value allows every replica.
type steering struct {
	enabled bool
	allowed map[string]bool // replicas that its new prompts may go to; nil allows any
	avoid   map[string]bool // replicas that take the bulk of other parties

	tenant         string
	othersFraction float64 // fraction of the shares held by other present tenants; 0 if there are none
	edges          int
}

// needsReservedSlot reports whether a request would use a slot that is reserved for other
// tenants. Without reserved slots, a tenant that has to wait for a free slot anywhere would rarely get one
// where its prompts are warm.
func (s steering) needsReservedSlot(r *Replica) bool {
	if s.othersFraction == 0 {
		return false
	}
	reserved := int(math.Ceil(float64(r.Slots/reservedSlotDivisor) * s.othersFraction))
	if reserved == 0 || r.Load() < r.Slots-reserved {
		return false
	}
	return float64(r.Live.inflightOfTenant(s.tenant)*s.edges) >= float64(r.Slots)*(1-s.othersFraction)
}

func (s steering) allows(id string) bool { return s.allowed == nil || s.allowed[id] }

// shareScore is the value that package judge weighs under the name "share".
func (s steering) shareScore(id string) float64 {
	if !s.enabled || s.avoid[id] {
		return 0
	}
	return 1
}

// steer determines which of the replicas that hold what a request needs it may go to. It
// restricts nothing without tenants.
func (rt *Router) steer(t Target, s *Snapshot, holders []string, now time.Duration) steering {
	if !s.Conf.HasTenants() {
		return steering{}
	}
	owner := rt.ownerOf(t)
	b := rt.bulk
	b.mu.Lock()
	defer b.mu.Unlock()
	out := rt.steerBulk(t, s, holders, owner, now)
	out.tenant, out.edges = owner.Tenant, max(1, rt.deps.Edges())
	present := b.present(now)
	if sum := b.presentShares(now); sum > 0 && present[owner.Tenant] < sum {
		out.othersFraction = 1 - float64(b.shares[owner.Tenant])/float64(sum+b.shares[owner.Tenant]-present[owner.Tenant])
	}
	return out
}

// steerBulk determines on which replicas a prompt may evict the warm prefixes of others. It restricts
// nothing while no party sends bulk, or if fewer than two replicas have a cache of known size that
// evicts in LRU order only.
func (rt *Router) steerBulk(t Target, s *Snapshot, holders []string, owner party, now time.Duration) steering {
	b := rt.bulk
	if len(b.bulkParties) == 0 || t.Route.Kind != "model" || len(holders) < 2 {
		return steering{}
	}
	steered := make([]string, 0, len(holders))
	for _, id := range holders {
		if r := s.Replicas[id]; r.cacheTokens > 0 && !r.Listed.Leaving {
			steered = append(steered, id)
		}
	}
	if len(steered) < 2 {
		return steering{}
	}
	out := b.divideReplicas(owner, steered, now)
	// A retry after a failure on one replica must be allowed on every other one.
	if t.Avoid != "" {
		out.allowed = nil
	}
	if out.allowed == nil {
		return out
	}
	for _, id := range holders {
		if r := s.Replicas[id]; r.cacheTokens == 0 {
			out.allowed[id] = true
		}
	}
	for id, warm := range rt.prefixes.warmFractions(t.Prompt) {
		if warm >= minWarmFraction {
			out.allowed[id] = true
		}
	}
	return out
}

// divideReplicas divides replicas between the present tenants and, within the
// tenant, between urgent requests and its own bulk.
func (b *bulkDetector) divideReplicas(owner party, ids []string, now time.Duration) steering {
	out := steering{enabled: true, avoid: map[string]bool{}}
	present := b.present(now)
	if len(present) > 1 {
		for tenant, assigned := range assignReplicas(present, ids) {
			switch {
			case !b.bulkParties[wholeTenant(tenant)]:
				continue
			case tenant == owner.Tenant:
				out.allowed = setOf(assigned)
				continue
			}
			for _, id := range assigned {
				out.avoid[id] = true
			}
		}
	}
	own := b.openReplicas(owner.Tenant, ids, out)
	if len(own) < 2 {
		return out
	}
	bulkReplicas := own[clampCount(len(own)-len(own)/bulkReplicaDivisor, len(own)):]
	switch {
	case b.bulkParties[owner]:
		out.allowed = setOf(bulkReplicas)
	case b.hasLessUrgentBulk(owner):
		for _, id := range bulkReplicas {
			out.avoid[id] = true
		}
	}
	return out
}

// openReplicas returns the replicas that a tenant's new prompts may go to, in the tenant's ranking.
func (b *bulkDetector) openReplicas(tenant string, ids []string, s steering) []string {
	var out []string
	for _, id := range rankedFor(tenant, ids) {
		if s.allows(id) && (s.allowed != nil || !s.avoid[id]) {
			out = append(out, id)
		}
	}
	return out
}

// hasLessUrgentBulk reports whether a less urgent rank of the same tenant sends bulk.
func (b *bulkDetector) hasLessUrgentBulk(owner party) bool {
	for p := range b.bulkParties {
		if p.Tenant == owner.Tenant && p.Rank > owner.Rank {
			return true
		}
	}
	return false
}

// assignReplicas assigns replicas to each tenant in proportion to its share, at least one, and no
// replica to two tenants while there are enough. The assignment depends on which tenants are present, not on
// which send bulk, because all proxies agree on the former.
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
		ranked := rankedFor(tenant, left)
		out[tenant], left = ranked[:n], ranked[n:]
	}
	return out
}

// rankedFor returns replicas in the order in which a tenant's bulk uses them; it is the same at every proxy.
func rankedFor(tenant string, ids []string) []string {
	return share.RankNames([]byte(tenant), ids)
}

// clampCount limits part of n to leave at least one on either side.
func clampCount(part, n int) int { return max(1, min(part, n-1)) }

func setOf(ids []string) map[string]bool {
	out := make(map[string]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}
