// Package sharedcache implements a bounded cache that tenants share by weight.
//
// Each entry belongs to a tenant and has a rank, its urgency within the tenant. A tenant
// may use capacity that the others leave idle. When the cache is full, it evicts from the tenant that uses
// most relative to its share (weighted max-min fairness over the tenants that
// have entries). So a tenant at or below its share loses no entry while
// another is above its own.
//
// Within a tenant, entries that were used once (probationary) and entries that were used again (protected) are
// kept in separate segments. While the probationary entries make up more than a quarter of the tenant's usage,
// they are evicted, from the rank with the highest usage weighted by rank; otherwise entries of the least urgent
// rank above its floor are evicted, least recently used first. The reason is that every prompt has a unique ending:
// if urgent entries were kept regardless of reuse, those endings would displace entries that the less
// urgent classes use constantly.
//
// The router's table of warm prefixes and the stand-in replica's cache use this package.
// A cache is not safe for concurrent use; callers must synchronize. It starts
// no goroutines and reads no clock.
package sharedcache

import "container/heap"

const (
	// Ranks is the number of ranks within a tenant; rank 0 is the most urgent.
	Ranks = 12
	// floorDivisor sets the floor of a rank: 1/floorDivisor of the tenant's protected usage, which a less urgent rank keeps.
	// Without it, urgent entries that are no longer used would displace the other ranks for ever. Since Ranks is less
	// than floorDivisor, at least one rank is always above its floor.
	floorDivisor = 16
	// probationaryDivisor limits probationary entries to 1/probationaryDivisor of the tenant's usage at eviction.
	probationaryDivisor = 4
)

// The segments of a tenant's entries.
const (
	probationary uint8 = iota
	protected
	numSegments
)

// Owner identifies the tenant and rank that an entry is accounted to.
type Owner struct {
	Tenant string
	Rank   int // clamped to 0..Ranks-1
}

func (o Owner) rank() uint8 { return uint8(min(max(o.Rank, 0), Ranks-1)) }

// Cache holds values up to a total cost.
type Cache[K comparable, V any] struct {
	capacity     int64
	used         int64
	index        map[K]int32
	nodes        slab[K, V]
	tenants      map[string]*tenant
	byUsage      tenantHeap // the tenant with the highest usage relative to its share is on top
	shares       map[string]int
	activeShares int64 // sum of the shares of tenants with entries
	onEvict      func(K, Owner)
}

// tenant holds the accounting and the entry lists of one tenant.
type tenant struct {
	name      string
	share     int64
	used      int64
	entries   int
	evicted   uint64
	heapIndex int // position in Cache.byUsage
	segments  [numSegments]segment
}

// segment holds the probationary or the protected entries of a tenant, by rank.
type segment struct {
	used  int64
	ranks [Ranks]list
}

// list holds the entries of one rank, most recently used first.
type list struct {
	first, last int32
	used        int64
}

// New returns an empty cache with the given capacity. onEvict, if not nil, is called for each
// evicted entry.
func New[K comparable, V any](capacity int, onEvict func(K, Owner)) *Cache[K, V] {
	return &Cache[K, V]{capacity: int64(max(capacity, 0)), index: map[K]int32{}, tenants: map[string]*tenant{}, shares: map[string]int{}, onEvict: onEvict}
}

// SetShares sets the weights of all tenants; a tenant not listed has weight 1. It evicts
// nothing: the new shares apply from the next eviction.
func (c *Cache[K, V]) SetShares(shares map[string]int) {
	c.shares = shares
	for _, t := range c.tenants {
		c.updateShare(t)
	}
	heap.Init(&c.byUsage)
}

// SetShare sets the weight of one tenant.
func (c *Cache[K, V]) SetShare(name string, share int) {
	if c.shares[name] == share {
		return
	}
	c.shares[name] = share
	if t := c.tenants[name]; t != nil {
		c.updateShare(t)
		heap.Fix(&c.byUsage, t.heapIndex)
	}
}

// updateShare applies the configured share to a tenant. The caller restores the heap order.
func (c *Cache[K, V]) updateShare(t *tenant) {
	share := c.shareOf(t.name)
	if t.entries > 0 {
		c.activeShares += share - t.share
	}
	t.share = share
}

func (c *Cache[K, V]) shareOf(name string) int64 { return int64(max(c.shares[name], 1)) }

// Peek returns the value of a key without counting it as a use.
func (c *Cache[K, V]) Peek(key K) (V, bool) {
	at, found := c.index[key]
	if !found {
		var zero V
		return zero, false
	}
	return c.nodes.at(at).value, true
}

// Get returns the value of a key and counts as a use by the given owner.
func (c *Cache[K, V]) Get(key K, user Owner) (V, bool) {
	at, found := c.index[key]
	if !found {
		var zero V
		return zero, false
	}
	c.touch(at, user)
	return c.nodes.at(at).value, true
}

// Put stores a value with a cost. An existing entry is updated and counts
// as used. It reports whether the value is in the cache afterwards: the new entry may itself be evicted.
func (c *Cache[K, V]) Put(key K, user Owner, cost int, value V) bool {
	cost = max(cost, 1)
	if int64(cost) > c.capacity {
		c.Remove(key)
		return false
	}
	at, found := c.index[key]
	if found {
		c.updateCost(at, int64(cost))
		c.touch(at, user)
		c.nodes.at(at).value = value
	} else {
		at = c.nodes.alloc()
		n := c.nodes.at(at)
		n.key, n.value, n.cost, n.rank, n.segment, n.owner = key, value, int32(cost), user.rank(), probationary, c.tenantOf(user.Tenant)
		c.index[key] = at
		c.link(at)
	}
	for c.used > c.capacity {
		c.evict()
	}
	_, kept := c.index[key]
	return kept
}

// Remove deletes a key.
func (c *Cache[K, V]) Remove(key K) {
	if at, found := c.index[key]; found {
		c.removeEntry(at)
	}
}

// Len returns the number of entries.
func (c *Cache[K, V]) Len() int { return len(c.index) }

// Used returns the total cost of all entries.
func (c *Cache[K, V]) Used() int { return int(c.used) }

// touch moves an entry to the front of its protected list. Within a tenant an entry is accounted
// to the most urgent rank that uses it. An entry used by two tenants stays with its current owner while that
// tenant is within its share, since nothing is evicted from it; otherwise it moves to the user if that uses less for its share.
func (c *Cache[K, V]) touch(at int32, user Owner) {
	n := c.nodes.at(at)
	to, rank := n.owner, n.rank
	if n.owner.name == user.Tenant {
		rank = min(rank, user.rank())
	} else if other := c.tenants[user.Tenant]; c.isOverShare(n.owner) && usesLess(other, n.owner) {
		to, rank = c.tenantOf(user.Tenant), user.rank()
	}
	c.unlink(at)
	n.owner, n.rank, n.segment = to, rank, protected
	c.link(at)
}

// isOverShare reports whether a tenant uses more than its share of the capacity.
func (c *Cache[K, V]) isOverShare(t *tenant) bool { return t.used*c.activeShares > c.capacity*t.share }

// usesLess reports whether tenant t uses less relative to its share than another; a nil tenant uses nothing.
func usesLess(t, than *tenant) bool { return t == nil || t.used*than.share < than.used*t.share }

// tenantOf returns the tenant with a name, creating it if necessary.
func (c *Cache[K, V]) tenantOf(name string) *tenant {
	t := c.tenants[name]
	if t == nil {
		t = &tenant{name: name, share: c.shareOf(name)}
		for part := range t.segments {
			for rank := range t.segments[part].ranks {
				t.segments[part].ranks[rank] = list{first: noEntry, last: noEntry}
			}
		}
		c.tenants[name] = t
		heap.Push(&c.byUsage, t)
	}
	return t
}

// updateCost changes the cost of an entry.
func (c *Cache[K, V]) updateCost(at int32, cost int64) {
	n := c.nodes.at(at)
	delta := cost - int64(n.cost)
	if delta == 0 {
		return
	}
	n.cost = int32(cost)
	c.addUsage(n, delta)
}

// addUsage adds delta, which may be negative, to all usage counters of an entry's owner and to the total.
func (c *Cache[K, V]) addUsage(n *node[K, V], delta int64) {
	t := n.owner
	c.used += delta
	t.used += delta
	t.segments[n.segment].used += delta
	t.segments[n.segment].ranks[n.rank].used += delta
	heap.Fix(&c.byUsage, t.heapIndex)
}

// evict removes one entry of the tenant with the highest usage relative to its share.
func (c *Cache[K, V]) evict() {
	t := c.byUsage[0]
	at := t.victimList().last
	n := c.nodes.at(at)
	key, owner := n.key, Owner{Tenant: t.name, Rank: int(n.rank)}
	t.evicted++
	c.removeEntry(at)
	if c.onEvict != nil {
		c.onEvict(key, owner)
	}
}

// victimList returns the list of the tenant from which the next entry is evicted.
func (t *tenant) victimList() *list {
	if p := &t.segments[probationary]; p.used*probationaryDivisor > t.used {
		return &p.ranks[p.heaviestRank()]
	}
	p := &t.segments[protected]
	return &p.ranks[p.leastUrgentAboveFloor()]
}

// heaviestRank returns the rank with the highest usage relative to its weight.
func (p *segment) heaviestRank() int {
	most := Ranks - 1
	for rank := Ranks - 2; rank >= 0; rank-- {
		if p.ranks[rank].used*rankWeight(most) > p.ranks[most].used*rankWeight(rank) {
			most = rank
		}
	}
	return most
}

// rankWeight returns the weight of a rank; more urgent ranks weigh more.
func rankWeight(rank int) int64 { return int64(Ranks - rank) }

// leastUrgentAboveFloor returns the least urgent rank whose usage is above its floor, or rank 0.
func (p *segment) leastUrgentAboveFloor() int {
	for rank := Ranks - 1; rank > 0; rank-- {
		if p.ranks[rank].used*floorDivisor > p.used {
			return rank
		}
	}
	return 0
}

// removeEntry deletes an entry, and its tenant if that has no entries and no configured share.
func (c *Cache[K, V]) removeEntry(at int32) {
	n := c.nodes.at(at)
	t := n.owner
	delete(c.index, n.key)
	c.unlink(at)
	c.nodes.release(at)
	c.removeIfEmpty(t)
}

// removeIfEmpty deletes a tenant that has no entries and no configured share.
func (c *Cache[K, V]) removeIfEmpty(t *tenant) {
	if t.entries > 0 || c.shares[t.name] > 0 {
		return
	}
	heap.Remove(&c.byUsage, t.heapIndex)
	delete(c.tenants, t.name)
}
