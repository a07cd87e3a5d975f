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
	turnover = time.Minute
	// presentFor is how long a tenant counts as present after its last request.
	presentFor = 5 * time.Minute
	// bulkEnds is the part of what makes a tenant's prompts bulk work below which they are so no more.
	bulkEnds = 0.5
	// yieldPart of a tenant's new tokens is what the least urgent steps send that yield within it.
	yieldPart = 1.0 / 3
)

// party is a tenant, or a step of urgency within it.
type party = sharedcache.Owner

// bulk knows which tenants, and which steps within them, send more new prompt
// tokens in a minute than their share of the replicas' caches holds. Whatever else is kept warm would be
// pushed out by those, however fair the replicas' own choice among equals is.
type bulk struct {
	mu     sync.Mutex
	flows  map[party]flow
	seen   map[party]time.Duration // when there was a request of it last, here or by word of other proxies
	bulky  map[party]bool
	shares map[string]int
	log    *slog.Logger

	presents  map[string]int // tenants present, as of presentAt
	presentAt time.Duration
}

// flow is the new prompt tokens of late, older ones counting less.
type flow struct {
	tokens float64
	at     time.Duration
}

func (f flow) now(now time.Duration) float64 {
	return f.tokens * math.Exp(-float64(now-f.at)/float64(turnover))
}

func newBulk(log *slog.Logger) *bulk {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &bulk{flows: map[party]flow{}, seen: map[party]time.Duration{}, bulky: map[party]bool{}, log: log}
}

// divide takes new shares; parties whose tenant is gone are forgotten.
func (b *bulk) divide(shares map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares, b.presents = shares, nil
	gone := func(p party) bool { return shares[p.Tenant] == 0 }
	maps.DeleteFunc(b.seen, func(p party, _ time.Duration) bool { return gone(p) })
	maps.DeleteFunc(b.flows, func(p party, _ flow) bool { return gone(p) })
	maps.DeleteFunc(b.bulky, func(p party, _ bool) bool { return gone(p) })
}

// review judges those anew that sent bulk. Why: one that has stopped sends nothing that it could be judged at.
func (b *bulk) review(capacity float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tenants := map[string]bool{}
	for p := range b.bulky {
		tenants[p.Tenant] = true
	}
	for tenant := range tenants {
		b.judge(tenant, capacity, now)
	}
}

// told notes that a party has requests, here or at another proxy. It says whether
// that had not been known for a while.
func (b *bulk) told(p party, now time.Duration, while time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shares[p.Tenant] == 0 || p.Rank < 0 || p.Rank >= conf.Ranks {
		return false
	}
	at, found := b.seen[p]
	if found && now-at < while {
		return false
	}
	b.seen[p], b.presents = now, nil
	return true
}

// sent counts the new tokens of a prompt; capacity is what all replicas' caches
// hold of this proxy's prompts.
func (b *bulk) sent(p party, tokens int, capacity float64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := flow{tokens: b.flows[p].now(now) + float64(tokens), at: now}
	b.flows[p] = f
	if capacity > 0 {
		b.judge(p.Tenant, capacity, now)
	}
}

// judge says anew which of a tenant's parties send bulk.
func (b *bulk) judge(tenant string, capacity float64, now time.Duration) {
	room, total := b.room(tenant, capacity, now), 0.0
	var flows [conf.Ranks]float64
	first := conf.Ranks // the most urgent step that is present
	for rank := conf.Ranks - 1; rank >= 0; rank-- {
		if p := (party{Tenant: tenant, Rank: rank}); b.isPresent(p, now) {
			flows[rank], first = b.flows[p].now(now), rank
			total += flows[rank]
		}
	}
	whole := wholeTenant(tenant)
	is := b.exceeds(whole, total, room)
	b.set(whole, is, total, room)
	// Why: the least urgent steps yield, and only as many as send a good part of what is new; a counter that sends no
	// more than the officers would else be sent to where the night's work goes.
	least := 0.0
	for rank := conf.Ranks - 1; rank >= 0; rank-- {
		yields := is && rank > first && flows[rank] > 0 && least < yieldPart*total
		least += flows[rank]
		b.set(party{Tenant: tenant, Rank: rank}, yields, flows[rank], room)
	}
}

// room is how many new tokens a tenant may send: its share, or more where the others
// leave it idle.
func (b *bulk) room(tenant string, capacity float64, now time.Duration) float64 {
	others := 0.0
	for p, f := range b.flows {
		if p.Tenant != tenant {
			others += f.now(now)
		}
	}
	return max(capacity-others, capacity*float64(b.shares[tenant])/float64(max(b.presentShares(now), 1)))
}

// wholeTenant is a tenant with all its steps.
func wholeTenant(tenant string) party { return party{Tenant: tenant, Rank: -1} }

// exceeds says whether a flow is more than there is room for.
func (b *bulk) exceeds(p party, tokens, room float64) bool {
	if b.bulky[p] {
		return tokens > room*bulkEnds
	}
	return tokens > room
}

func (b *bulk) set(p party, is bool, tokens, room float64) {
	if b.bulky[p] == is {
		return
	}
	if is {
		b.bulky[p] = true
	} else {
		delete(b.bulky, p)
	}
	b.log.Info("bulk of a tenant", "tenant", p.Tenant, "urgency", p.Rank, "bulk", is, "newTokens", int(tokens), "roomTokens", int(room))
}

func (b *bulk) isPresent(p party, now time.Duration) bool {
	at, found := b.seen[p]
	return found && now-at < presentFor
}

// presentLasts is how long it is gone by who is present.
const presentLasts = time.Second

// present are the tenants with requests of late.
func (b *bulk) present(now time.Duration) map[string]int {
	if b.presents != nil && now-b.presentAt < presentLasts {
		return b.presents
	}
	out := map[string]int{}
	for p := range b.seen {
		if b.isPresent(p, now) {
			out[p.Tenant] = b.shares[p.Tenant]
		}
	}
	b.presents, b.presentAt = out, now
	return out
}

func (b *bulk) presentShares(now time.Duration) int {
	sum := 0
	for _, share := range b.present(now) {
		sum += share
	}
	return sum
}
