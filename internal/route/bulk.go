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
	// turnover is how long a prefix that was used is to stay warm at replicas that evict by last use alone: caches
	// that take in more than they hold in that time are full.
	cacheTurnover = time.Minute
	// presentFor is how long a tenant counts as present after its last request.
	presenceTTL = 5 * time.Minute
	// bulkEnds is the part of what makes a tenant's prompts bulk work below which they are so no more.
	bulkExitFraction = 0.5
	// yieldPart of a tenant's new tokens is what the least urgent steps send that yield within it.
	yieldFraction = 1.0 / 3
)

// party is a tenant, or a step of urgency within it.
type party = sharedcache.Owner

// bulk knows which tenants, and which steps within them, send more new prompt
// tokens in a minute than their share of the replicas' caches holds. Whatever else is kept warm would be
// pushed out by those, however fair the replicas' own choice among equals is.
type bulkDetector struct {
	mu          sync.Mutex
	flows       map[party]tokenFlow
	lastSeen    map[party]time.Duration // when there was a request of it last, here or by word of other proxies
	bulkParties map[party]bool
	shares      map[string]int
	log         *slog.Logger

	presentCache    map[string]int // tenants present, as of presentAt
	presentCachedAt time.Duration
}

// flow is the new prompt tokens of late, older ones counting less.
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

// divide takes new shares; parties whose tenant is gone are forgotten.
func (b *bulkDetector) setShares(shares map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares, b.presentCache = shares, nil
	gone := func(p party) bool { return shares[p.Tenant] == 0 }
	maps.DeleteFunc(b.lastSeen, func(p party, _ time.Duration) bool { return gone(p) })
	maps.DeleteFunc(b.flows, func(p party, _ tokenFlow) bool { return gone(p) })
	maps.DeleteFunc(b.bulkParties, func(p party, _ bool) bool { return gone(p) })
}

// review judges those anew that sent bulk. Why: one that has stopped sends nothing that it could be judged at.
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

// told notes that a party has requests, here or at another proxy. It says whether
// that had not been known for a while.
func (b *bulkDetector) markPresent(p party, now time.Duration, while time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shares[p.Tenant] == 0 || p.Rank < 0 || p.Rank >= conf.Ranks {
		return false
	}
	at, found := b.lastSeen[p]
	if found && now-at < while {
		return false
	}
	b.lastSeen[p], b.presentCache = now, nil
	return true
}

// sent counts the new tokens of a prompt; capacity is what all replicas' caches
// hold of this proxy's prompts.
func (b *bulkDetector) addTokens(p party, tokens int, capacity float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := tokenFlow{tokens: b.flows[p].decayed(now) + float64(tokens), at: now}
	b.flows[p] = f
	if capacity > 0 {
		b.reassess(p.Tenant, capacity, now)
	}
}

// judge says anew which of a tenant's parties send bulk.
func (b *bulkDetector) reassess(tenant string, capacity float64, now time.Duration) {
	room, total := b.allowance(tenant, capacity, now), 0.0
	var flows [conf.Ranks]float64
	first := conf.Ranks // the most urgent step that is present
	for rank := conf.Ranks - 1; rank >= 0; rank-- {
		if p := (party{Tenant: tenant, Rank: rank}); b.isPresent(p, now) {
			flows[rank], first = b.flows[p].decayed(now), rank
			total += flows[rank]
		}
	}
	whole := wholeTenant(tenant)
	is := b.exceeds(whole, total, room)
	b.setBulk(whole, is, total, room)
	// Why: the least urgent steps yield, and only as many as send a good part of what is new; a counter that sends no
	// more than the officers would else be sent to where the night's work goes.
	least := 0.0
	for rank := conf.Ranks - 1; rank >= 0; rank-- {
		yields := is && rank > first && flows[rank] > 0 && least < yieldFraction*total
		least += flows[rank]
		b.setBulk(party{Tenant: tenant, Rank: rank}, yields, flows[rank], room)
	}
}

// room is how many new tokens a tenant may send: its share, or more where the others
// leave it idle.
func (b *bulkDetector) allowance(tenant string, capacity float64, now time.Duration) float64 {
	others := 0.0
	for p, f := range b.flows {
		if p.Tenant != tenant {
			others += f.decayed(now)
		}
	}
	return max(capacity-others, capacity*float64(b.shares[tenant])/float64(max(b.presentShares(now), 1)))
}

// wholeTenant is a tenant with all its steps.
func wholeTenant(tenant string) party { return party{Tenant: tenant, Rank: -1} }

// exceeds says whether a flow is more than there is room for.
func (b *bulkDetector) exceeds(p party, tokens, room float64) bool {
	if b.bulkParties[p] {
		return tokens > room*bulkExitFraction
	}
	return tokens > room
}

func (b *bulkDetector) setBulk(p party, is bool, tokens, room float64) {
	if b.bulkParties[p] == is {
		return
	}
	if is {
		b.bulkParties[p] = true
	} else {
		delete(b.bulkParties, p)
	}
	b.log.Info("bulk of a tenant", "tenant", p.Tenant, "urgency", p.Rank, "bulk", is, "newTokens", int(tokens), "roomTokens", int(room))
}

func (b *bulkDetector) isPresent(p party, now time.Duration) bool {
	at, found := b.lastSeen[p]
	return found && now-at < presenceTTL
}

// presentLasts is how long it is gone by who is present.
const presentCacheTTL = time.Second

// present are the tenants with requests of late.
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
