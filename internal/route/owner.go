package route

import (
	"strconv"
	"strings"
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/sharedcache"
	"drumstall.example/internal/state"
)

// ownerOf returns the tenant and urgency rank that a request belongs to; the zero Owner without tenants.
func (rt *Router) ownerOf(t Target) sharedcache.Owner {
	cfg := rt.Current().Conf
	if !cfg.HasTenants() {
		return sharedcache.Owner{}
	}
	class := t.Route.Class
	return sharedcache.Owner{Tenant: cfg.TenantOf(class), Rank: cfg.Classes[class].Urgency()}
}

// countPrompt counts the tokens of a prompt that is sent for a tenant, and how many of them are warm.
func (rt *Router) countPrompt(owner party, p Prompt, r *Replica) {
	now := rt.clock.Since()
	warm := rt.prefixes.warmFractions(p)[r.Listed.ID]
	rt.prefixes.countRead(owner.Tenant, p, warm)
	rt.bulk.addTokens(owner, int(float64(p.Tokens())*(1-warm)), float64(rt.cacheCapacity.Load()), now)
}

// TenantPrefix is the prefix of the gossip keys that announce which tenants have requests.
const TenantPrefix = "tenant/"

// presenceInterval is how often the proxies together announce that a party has requests.
const presenceInterval = presenceTTL / 5

func presenceKey(p party) string { return TenantPrefix + p.Tenant + "/" + strconv.Itoa(p.Rank) }

// announcePresence announces to the other proxies that a party has requests, unless one of them has just done so.
func (rt *Router) announcePresence(p party, now time.Duration) {
	if !rt.bulk.markPresent(p, now, presenceInterval) {
		return
	}
	key := presenceKey(p)
	// The version counts up from the last one seen and does not depend on any clock.
	rt.gossip.Put(gossip.Entry{Key: key, Stamp: state.Stamp{Version: rt.gossip.StampOf(key).Version + 1}, Value: []byte{1}})
}

// applyPresence records that any proxy announced requests of a party. An entry
// that already exists when this proxy starts counts as new.
func (rt *Router) applyPresence(d *draft, e gossip.Entry) {
	tenant, rank, found := strings.Cut(strings.TrimPrefix(e.Key, TenantPrefix), "/")
	n, err := strconv.Atoi(rank)
	if e.Deleted || !found || err != nil {
		return
	}
	rt.bulk.markPresent(party{Tenant: tenant, Rank: n}, d.now, 0)
}

// TenantStats holds the statistics of one tenant at this proxy.
type TenantStats struct {
	Share    int
	Prefixes int // prefixes known to be warm
	Evicted  uint64
	Reads
	IsBulk bool // it sends more new prompts than its share of the replicas' caches holds
}

// StatsByTenant returns the statistics of all tenants; nil without tenants.
func (rt *Router) StatsByTenant() map[string]TenantStats {
	usages, reads := rt.prefixes.stats()
	if reads == nil {
		return nil
	}
	out := map[string]TenantStats{}
	for tenant, share := range rt.Current().Conf.Shares() {
		out[tenant] = TenantStats{Share: share, Reads: reads[tenant], IsBulk: rt.bulk.isBulk(tenant)}
	}
	for _, u := range usages {
		if f, found := out[u.Tenant]; found {
			f.Prefixes, f.Evicted = u.Entries, u.Evicted
			out[u.Tenant] = f
		}
	}
	return out
}

func (b *bulkDetector) isBulk(tenant string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bulkParties[wholeTenant(tenant)]
}
