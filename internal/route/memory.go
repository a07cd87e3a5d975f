package route

import (
	"sync"

	"drumstall.example/internal/kernel/sharedcache"
)

// memory knows which prefixes this proxy has sent where. Without tenants it
// forgets the older half at once when it is full; with tenants each keeps its share.
type prefixMemory struct {
	mu          sync.Mutex
	generations [2]map[uint64]warmReplicas
	shared      *sharedcache.Cache[uint64, warmReplicas] // nil without tenants
	reads       map[string]Reads                         // by tenant
}

// Reads counts the tokens of a tenant's prompts, and how many of them were to be
// warm where they were sent.
type Reads struct{ Tokens, Warm uint64 }

func newPrefixMemory() *prefixMemory {
	return &prefixMemory{generations: [2]map[uint64]warmReplicas{{}, {}}}
}

// divide shares the memory between tenants from now on; without any it is everybody's.
func (m *prefixMemory) setShares(shares map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(shares) == 0 {
		m.shared, m.reads = nil, nil
		return
	}
	if m.shared == nil {
		// Why: what was remembered before is still looked up until as much has come anew.
		m.shared, m.reads = sharedcache.New[uint64, warmReplicas](2*generationSize, nil), map[string]Reads{}
	}
	m.shared.SetShares(shares)
	for tenant := range m.reads {
		if shares[tenant] == 0 {
			delete(m.reads, tenant)
		}
	}
}

// spots are the replicas where a prefix is warm.
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

// warm is, for each replica where any of the prompt is warm, how much of it.
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

// sent remembers that a prompt is warm on a replica from now on.
func (m *prefixMemory) add(p Prompt, id string, by sharedcache.Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shared != nil {
		m.addShared(p, id, by)
		return
	}
	for _, d := range p.digests {
		// Why: two generations bound the memory and forget the oldest half at once.
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

// sentBy is sent among tenants. Why: the beginning of a prompt is put last, as
// the latest used; what comes behind it is worth nothing without it.
func (m *prefixMemory) addShared(p Prompt, id string, by sharedcache.Owner) {
	for i := len(p.digests) - 1; i >= 0; i-- {
		s, _ := m.replicasWarm(p.digests[i])
		m.shared.Put(p.digests[i], by, 1, s.with(id))
	}
	if m.shared.Len() >= generationSize {
		m.generations = [2]map[uint64]warmReplicas{{}, {}}
	}
}

// read counts a prompt that is sent where so much of it is warm.
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

// figures are what each tenant has here.
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
