package route

import (
	"strconv"
	"strings"
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/sharedcache"
	"drumstall.example/internal/state"
)

// owner is whose a request is; without tenants it is nobody's.
func (k *Router) ownerOf(t Target) sharedcache.Owner {
	cfg := k.Current().Conf
	if !cfg.HasTenants() {
		return sharedcache.Owner{}
	}
	class := t.Route.Class
	return sharedcache.Owner{Tenant: cfg.TenantOf(class), Rank: cfg.Classes[class].Urgency()}
}

// countFor counts a prompt that is sent for a tenant.
func (k *Router) countPrompt(by party, p Prompt, r *Replica) {
	now := k.clock.Since()
	warm := k.prefixes.warmFractions(p)[r.Listed.ID]
	k.prefixes.countRead(by.Tenant, p, warm)
	k.bulk.addTokens(by, int(float64(p.Tokens())*(1-warm)), float64(k.cacheCapacity.Load()), now)
}

// TenantPrefix begins the keys that tell all proxies which tenants have requests.
const TenantPrefix = "tenant/"

// presenceEvery is how often the proxies together tell of a party that has requests.
const presenceInterval = presenceTTL / 5

func presenceKey(p party) string { return TenantPrefix + p.Tenant + "/" + strconv.Itoa(p.Rank) }

// tellPresence tells the other proxies that a party has requests, unless one has just done so.
func (k *Router) announcePresence(p party, now time.Duration) {
	if !k.bulk.markPresent(p, now, presenceInterval) {
		return
	}
	key := presenceKey(p)
	// Why: the number counts up from the last one seen and says nothing of any clock.
	k.gossip.Put(gossip.Entry{Key: key, Stamp: state.Stamp{Version: k.gossip.StampOf(key).Version + 1}, Value: []byte{1}})
}

// takePresence notes that a party has requests, by the word of any proxy. A word
// that is already there when this proxy begins counts as new.
func (k *Router) applyPresence(d *draft, e gossip.Entry) {
	tenant, rank, found := strings.Cut(strings.TrimPrefix(e.Key, TenantPrefix), "/")
	n, err := strconv.Atoi(rank)
	if e.Gone || !found || err != nil {
		return
	}
	k.bulk.markPresent(party{Tenant: tenant, Rank: n}, d.now, 0)
}

// TenantFigures is what one tenant has at this proxy.
type TenantStats struct {
	Share    int
	Prefixes int // prefixes remembered as warm
	Evicted  uint64
	Reads
	IsBulk bool // it sends more new prompts than its share of the replicas' caches holds
}

// Tenants are the figures of all tenants; none without tenants.
func (k *Router) StatsByTenant() map[string]TenantStats {
	usages, reads := k.prefixes.stats()
	if reads == nil {
		return nil
	}
	out := map[string]TenantStats{}
	for tenant, share := range k.Current().Conf.Shares() {
		out[tenant] = TenantStats{Share: share, Reads: reads[tenant], IsBulk: k.bulk.isBulk(tenant)}
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
