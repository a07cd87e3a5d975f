package route

import (
	"log/slog"
	"maps"
	"math"
	"sync"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/sharedcache"
)

const (
	// cacheTurnover is how long a used prefix should stay warm on replicas that evict in LRU order only: a cache
	// that receives more new tokens than its size in that time is overcommitted.
	cacheTurnover = time.Minute
	// presenceTTL is how long a tenant counts as present after its last request.
	presenceTTL = 5 * time.Minute
	// bulkExitFraction of the threshold for bulk is the level at which a party stops being bulk (hysteresis).
	bulkExitFraction = 0.5
	// yieldFraction is the fraction of a tenant's new tokens that the yielding, least urgent ranks must reach together.
	yieldFraction = 1.0 / 3
)

// party is a tenant, or one urgency rank within a tenant.
type party = sharedcache.Owner

// bulkDetector detects which tenants, and which urgency ranks within them, send more new prompt
// tokens within cacheTurnover than their share of the replicas' caches holds. Such bulk would evict
// everything else from the caches, even if the replicas treat all requests equally.
type bulkDetector struct {
	mu          sync.Mutex
	flows       map[party]tokenFlow
	lastSeen    map[party]time.Duration // time of the last request, here or as announced by another proxy
	bulkParties map[party]bool
	shares      map[string]int
	log         *slog.Logger

	presentCache    map[string]int // shares of the tenants present, as of presentCachedAt
	presentCachedAt time.Duration
}

// tokenFlow is an exponentially decaying sum of new prompt tokens.
type tokenFlow struct {
	tokens float64
	at     time.Duration
}

func (f tokenFlow) decayed(now time.Duration) float64 {
	return f.tokens * math.Exp(-float64(now-f.at)/float64(cacheTurnover))
}

func newBulkDetector(log *slog.Logger) *bulkDetector {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &bulkDetector{flows: map[party]tokenFlow{}, lastSeen: map[party]time.Duration{}, bulkParties: map[party]bool{}, log: log}
}

// setShares replaces the shares and drops parties whose tenant no longer exists.
func (b *bulkDetector) setShares(shares map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares, b.presentCache = shares, nil
	isGone := func(p party) bool { return shares[p.Tenant] == 0 }
	maps.DeleteFunc(b.lastSeen, func(p party, _ time.Duration) bool { return isGone(p) })
	maps.DeleteFunc(b.flows, func(p party, _ tokenFlow) bool { return isGone(p) })
	maps.DeleteFunc(b.bulkParties, func(p party, _ bool) bool { return isGone(p) })
}

// reassessAll reassesses the tenants that send bulk. A tenant that has stopped sending would
// otherwise never be reassessed.
func (b *bulkDetector) reassessAll(capacity float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tenants := map[string]bool{}
	for p := range b.bulkParties {
		tenants[p.Tenant] = true
	}
	for tenant := range tenants {
		b.reassess(tenant, capacity, now)
	}
}

// markPresent records that a party has requests, here or at another proxy. It reports whether the
// last record is older than interval.
func (b *bulkDetector) markPresent(p party, now time.Duration, interval time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shares[p.Tenant] == 0 || p.Rank < 0 || p.Rank >= conf.UrgencyLevels {
		return false
	}
	at, found := b.lastSeen[p]
	if found && now-at < interval {
		return false
	}
	b.lastSeen[p], b.presentCache = now, nil
	return true
}

// addTokens counts the new tokens of a prompt. capacity is this proxy's part of all
// replicas' caches, in tokens.
func (b *bulkDetector) addTokens(p party, tokens int, capacity float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := tokenFlow{tokens: b.flows[p].decayed(now) + float64(tokens), at: now}
	b.flows[p] = f
	if capacity > 0 {
		b.reassess(p.Tenant, capacity, now)
	}
}

// reassess determines which of a tenant's parties send bulk.
func (b *bulkDetector) reassess(tenant string, capacity float64, now time.Duration) {
	allowed, total := b.allowance(tenant, capacity, now), 0.0
	var flows [conf.UrgencyLevels]float64
	first := conf.UrgencyLevels // the most urgent rank that is present
	for rank := conf.UrgencyLevels - 1; rank >= 0; rank-- {
		if p := (party{Tenant: tenant, Rank: rank}); b.isPresent(p, now) {
			flows[rank], first = b.flows[p].decayed(now), rank
			total += flows[rank]
		}
	}
	whole := wholeTenant(tenant)
	isBulk := b.exceeds(whole, total, allowed)
	b.setBulk(whole, isBulk, total, allowed)
	// Only the least urgent ranks yield, and only as many as together send yieldFraction of the new tokens. Otherwise
	// interactive requests of a middle rank that send no more than the urgent ones would share replicas with batch work.
	lessUrgent := 0.0
	for rank := conf.UrgencyLevels - 1; rank >= 0; rank-- {
		yields := isBulk && rank > first && flows[rank] > 0 && lessUrgent < yieldFraction*total
		lessUrgent += flows[rank]
		b.setBulk(party{Tenant: tenant, Rank: rank}, yields, flows[rank], allowed)
	}
}

// allowance returns how many new tokens a tenant may send: its share, or more if other tenants
// leave capacity idle.
func (b *bulkDetector) allowance(tenant string, capacity float64, now time.Duration) float64 {
	others := 0.0
	for p, f := range b.flows {
		if p.Tenant != tenant {
			others += f.decayed(now)
		}
	}
	return max(capacity-others, capacity*float64(b.shares[tenant])/float64(max(b.presentShares(now), 1)))
}

// wholeTenant is the party of all urgency ranks of a tenant.
func wholeTenant(tenant string) party { return party{Tenant: tenant, Rank: -1} }

// exceeds reports whether a token flow is above the allowance, with hysteresis for parties already marked as bulk.
func (b *bulkDetector) exceeds(p party, tokens, room float64) bool {
	if b.bulkParties[p] {
		return tokens > room*bulkExitFraction
	}
	return tokens > room
}

func (b *bulkDetector) setBulk(p party, isBulk bool, tokens, room float64) {
	if b.bulkParties[p] == isBulk {
		return
	}
	if isBulk {
		b.bulkParties[p] = true
	} else {
		delete(b.bulkParties, p)
	}
	b.log.Info("tenant bulk state changed", "tenant", p.Tenant, "urgency", p.Rank, "bulk", isBulk, "newTokens", int(tokens), "roomTokens", int(room))
}

func (b *bulkDetector) isPresent(p party, now time.Duration) bool {
	at, found := b.lastSeen[p]
	return found && now-at < presenceTTL
}

// presentCacheTTL is how long the set of present tenants is cached.
const presentCacheTTL = time.Second

// present returns the shares of the tenants that are present.
func (b *bulkDetector) present(now time.Duration) map[string]int {
	if b.presentCache != nil && now-b.presentCachedAt < presentCacheTTL {
		return b.presentCache
	}
	out := map[string]int{}
	for p := range b.lastSeen {
		if b.isPresent(p, now) {
			out[p.Tenant] = b.shares[p.Tenant]
		}
	}
	b.presentCache, b.presentCachedAt = out, now
	return out
}

func (b *bulkDetector) presentShares(now time.Duration) int {
	sum := 0
	for _, share := range b.present(now) {
		sum += share
	}
	return sum
}
