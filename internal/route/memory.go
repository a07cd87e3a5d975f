package route

import (
	"sync"

	"drumstall.example/internal/kernel/sharedcache"
)

// prefixMemory records which prompt prefixes this proxy has sent to which replicas. Without tenants it
// keeps two generations and drops the older one when the newer one is full; with tenants it evicts
// by share.
type prefixMemory struct {
	mu          sync.Mutex
	generations [2]map[uint64]warmReplicas
	shared      *sharedcache.Cache[uint64, warmReplicas] // nil without tenants
	reads       map[string]Reads                         // by tenant
}

// Reads counts the tokens of a tenant's prompts, and how many of them were expected to be
// warm on the replica they were sent to.
type Reads struct{ Tokens, Warm uint64 }

func newPrefixMemory() *prefixMemory {
	return &prefixMemory{generations: [2]map[uint64]warmReplicas{{}, {}}}
}

// setShares divides the memory between tenants by share; an empty map switches tenants off.
func (m *prefixMemory) setShares(shares map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(shares) == 0 {
		m.shared, m.reads = nil, nil
		return
	}
	if m.shared == nil {
		// Prefixes recorded before are still looked up until generationSize newer ones have been added.
		m.shared, m.reads = sharedcache.New[uint64, warmReplicas](2*generationSize, nil), map[string]Reads{}
	}
	m.shared.SetShares(shares)
	for tenant := range m.reads {
		if shares[tenant] == 0 {
			delete(m.reads, tenant)
		}
	}
}

// replicasWarm returns the replicas where a prefix is warm. The caller holds mu.
func (m *prefixMemory) replicasWarm(digest uint64) (warmReplicas, bool) {
	if m.shared != nil {
		if s, found := m.shared.Peek(digest); found {
			return s, true
		}
	}
	if s, found := m.generations[0][digest]; found {
		return s, true
	}
	s, found := m.generations[1][digest]
	return s, found
}

// warmFractions returns the warm fraction of the prompt for each replica where any of it is warm.
func (m *prefixMemory) warmFractions(p Prompt) map[string]float64 {
	out := map[string]float64{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, d := range p.digests {
		s, found := m.replicasWarm(d)
		if !found {
			break
		}
		for _, id := range s {
			if id != "" && p.size > 0 {
				out[id] = float64(p.sizes[i]) / float64(p.size)
			}
		}
	}
	return out
}

// add records that a prompt is warm on a replica from now on.
func (m *prefixMemory) add(p Prompt, id string, owner sharedcache.Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shared != nil {
		m.addShared(p, id, owner)
		return
	}
	for _, d := range p.digests {
		// Two generations bound the memory; the older one is dropped as a whole.
		if len(m.generations[0]) >= generationSize {
			m.generations[1], m.generations[0] = m.generations[0], map[uint64]warmReplicas{}
		}
		s, found := m.generations[0][d]
		if !found {
			s = m.generations[1][d]
		}
		m.generations[0][d] = s.with(id)
	}
}

// addShared is add with tenants. The beginning of a prompt is put last, as the most
// recently used, because the parts after it are useless without it.
func (m *prefixMemory) addShared(p Prompt, id string, owner sharedcache.Owner) {
	for i := len(p.digests) - 1; i >= 0; i-- {
		s, _ := m.replicasWarm(p.digests[i])
		m.shared.Put(p.digests[i], owner, 1, s.with(id))
	}
	if m.shared.Len() >= generationSize {
		m.generations = [2]map[uint64]warmReplicas{{}, {}}
	}
}

// countRead counts a prompt that is sent to a replica where the given fraction of it is warm.
func (m *prefixMemory) countRead(tenant string, p Prompt, warm float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reads == nil {
		return
	}
	r := m.reads[tenant]
	r.Tokens += uint64(p.Tokens())
	r.Warm += uint64(warm * float64(p.Tokens()))
	m.reads[tenant] = r
}

// stats returns the cache usage and the token counts of each tenant; nil without tenants.
func (m *prefixMemory) stats() ([]sharedcache.Usage, map[string]Reads) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shared == nil {
		return nil, nil
	}
	reads := make(map[string]Reads, len(m.reads))
	for tenant, r := range m.reads {
		reads[tenant] = r
	}
	return m.shared.Usages(), reads
}
