// Package sharedcache is a bounded cache that tenants share by weight.
//
// Each entry belongs to a tenant and to a step of urgency within it. Any tenant
// may use what the others leave idle. When the cache is full, the tenant that uses
// most for its share gives way (weighted max-min fairness over the tenants that
// have something there). So a tenant at or under its share loses nothing while
// another is above its own.
//
// Within a tenant, what was used once and what was used again are kept apart. Once
// more than a quarter was used but once, that gives way, of the step that has most of it for its
// urgency; else the least urgent step, in it what was used longest ago. Why: every prompt ends
// in something of its own. Were urgent entries kept whatever their use, those ends would push out what the less
// urgent classes use all the time.
//
// The router's memory of warm prefixes and the stand-in replica's cache are made of
// it. A cache is not safe for concurrent use; its owner guards it. It starts
// nothing and reads no clock.
package sharedcache

import "container/heap"

const (
	// Ranks is how many steps of urgency there are within a tenant; 0 is the most urgent.
	Ranks = 12
	// floorPart of what a tenant uses again stays with a less urgent step that wants it.
	// Why: urgent entries that nobody uses any more would otherwise leave the others nothing for ever. With
	// fewer steps than parts one step is always above its floor.
	floorDivisor = 16
	// oncePart of what a tenant keeps may have been used only once.
	probationaryDivisor = 4
)

// The segments of what a tenant keeps.
const (
	probationary uint8 = iota
	protected
	numSegments
)

// Owner is whose an entry is.
type Owner struct {
	Tenant string
	Rank   int // step of urgency; out of bounds is the nearest
}

func (o Owner) rank() uint8 { return uint8(min(max(o.Rank, 0), Ranks-1)) }

// Cache keeps values up to a total cost.
type Cache[K comparable, V any] struct {
	capacity     int64
	used         int64
	index        map[K]int32
	nodes        slab[K, V]
	tenants      map[string]*tenant
	byUsage      tenantHeap // the one that uses most for its share is on top
	shares       map[string]int
	activeShares int64 // sum of the shares of those that keep something
	onEvict      func(K, Owner)
}

// tenant is what one tenant keeps.
type tenant struct {
	name      string
	share     int64
	used      int64
	entries   int
	evicted   uint64
	heapIndex int // in the heap
	segments  [numSegments]segment
}

// segment is what was used once, or again.
type segment struct {
	used  int64
	ranks [Ranks]list
}

// list is the entries of one step of urgency, the latest used first.
type list struct {
	first, last int32
	used        int64
}

// New is an empty cache of a capacity. onEvict is told of each entry that has to
// give way; nil is nobody.
func New[K comparable, V any](capacity int, onEvict func(K, Owner)) *Cache[K, V] {
	return &Cache[K, V]{capacity: int64(max(capacity, 0)), index: map[K]int32{}, tenants: map[string]*tenant{}, shares: map[string]int{}, onEvict: onEvict}
}

// SetShares gives tenants their weights; any other has weight 1. Nothing is
// evicted for it: what is shared otherwise now shows when room is wanted.
func (c *Cache[K, V]) SetShares(shares map[string]int) {
	c.shares = shares
	for _, t := range c.tenants {
		c.updateShare(t)
	}
	heap.Init(&c.byUsage)
}

// SetShare gives one tenant its weight.
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

// reshare gives a tenant the share that is set now.
func (c *Cache[K, V]) updateShare(t *tenant) {
	share := c.shareOf(t.name)
	if t.entries > 0 {
		c.activeShares += share - t.share
	}
	t.share = share
}

func (c *Cache[K, V]) shareOf(name string) int64 { return int64(max(c.shares[name], 1)) }

// Peek is the value of a key; that counts as no use.
func (c *Cache[K, V]) Peek(key K) (V, bool) {
	at, found := c.index[key]
	if !found {
		var none V
		return none, false
	}
	return c.nodes.at(at).value, true
}

// Use is the value of a key that a tenant has a use for now.
func (c *Cache[K, V]) Get(key K, by Owner) (V, bool) {
	at, found := c.index[key]
	if !found {
		var none V
		return none, false
	}
	c.touch(at, by)
	return c.nodes.at(at).value, true
}

// Put keeps a value of a cost. What is there already gets the new value and counts
// as used. It says whether the value is kept: it may be the one to give way itself.
func (c *Cache[K, V]) Put(key K, by Owner, cost int, value V) bool {
	cost = max(cost, 1)
	if int64(cost) > c.capacity {
		c.Remove(key)
		return false
	}
	at, found := c.index[key]
	if found {
		c.updateCost(at, int64(cost))
		c.touch(at, by)
		c.nodes.at(at).value = value
	} else {
		at = c.nodes.alloc()
		n := c.nodes.at(at)
		n.key, n.value, n.cost, n.rank, n.segment, n.owner = key, value, int32(cost), by.rank(), probationary, c.tenantOf(by.Tenant)
		c.index[key] = at
		c.link(at)
	}
	for c.used > c.capacity {
		c.evict()
	}
	_, kept := c.index[key]
	return kept
}

// Remove lets go of a key.
func (c *Cache[K, V]) Remove(key K) {
	if at, found := c.index[key]; found {
		c.removeEntry(at)
	}
}

// Len is how many entries there are.
func (c *Cache[K, V]) Len() int { return len(c.index) }

// Used is what all entries cost.
func (c *Cache[K, V]) Used() int { return int(c.used) }

// touch makes an entry the latest used of its list. Within a tenant it is counted
// with the most urgent step that uses it. One that two tenants use stays where it is counted while that
// tenant is within its share, where nothing is taken from; else it goes to the user that keeps less.
func (c *Cache[K, V]) touch(at int32, by Owner) {
	n := c.nodes.at(at)
	to, rank := n.owner, n.rank
	if n.owner.name == by.Tenant {
		rank = min(rank, by.rank())
	} else if other := c.tenants[by.Tenant]; c.isOverShare(n.owner) && usesLess(other, n.owner) {
		to, rank = c.tenantOf(by.Tenant), by.rank()
	}
	c.unlink(at)
	n.owner, n.rank, n.segment = to, rank, protected
	c.link(at)
}

// isAbove says whether a tenant keeps more than its share of the capacity.
func (c *Cache[K, V]) isOverShare(t *tenant) bool { return t.used*c.activeShares > c.capacity*t.share }

// keepsLess says whether a tenant, or nobody yet, keeps less for its share than another.
func usesLess(t, than *tenant) bool { return t == nil || t.used*than.share < than.used*t.share }

// tenantOf is the tenant of a name, made where there is none.
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

// recharge changes the cost of an entry.
func (c *Cache[K, V]) updateCost(at int32, cost int64) {
	n := c.nodes.at(at)
	by := cost - int64(n.cost)
	if by == 0 {
		return
	}
	n.cost = int32(cost)
	c.addUsage(n, by)
}

// charge adds to what an entry's owner keeps.
func (c *Cache[K, V]) addUsage(n *node[K, V], by int64) {
	t := n.owner
	c.used += by
	t.used += by
	t.segments[n.segment].used += by
	t.segments[n.segment].ranks[n.rank].used += by
	heap.Fix(&c.byUsage, t.heapIndex)
}

// evict lets one entry go.
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

// victims is the list of a tenant that gives way.
func (t *tenant) victimList() *list {
	if p := &t.segments[probationary]; p.used*probationaryDivisor > t.used {
		return &p.ranks[p.heaviestRank()]
	}
	p := &t.segments[protected]
	return &p.ranks[p.leastUrgentAboveFloor()]
}

// mostForItsUrgency is the step that has most, a more urgent one being worth more.
func (p *segment) heaviestRank() int {
	most := Ranks - 1
	for rank := Ranks - 2; rank >= 0; rank-- {
		if p.ranks[rank].used*rankWeight(most) > p.ranks[most].used*rankWeight(rank) {
			most = rank
		}
	}
	return most
}

func rankWeight(rank int) int64 { return int64(Ranks - rank) }

// leastUrgent is the least urgent step that has more than its floor.
func (p *segment) leastUrgentAboveFloor() int {
	for rank := Ranks - 1; rank > 0; rank-- {
		if p.ranks[rank].used*floorDivisor > p.used {
			return rank
		}
	}
	return 0
}

// drop takes an entry out; a tenant that keeps nothing more is forgotten.
func (c *Cache[K, V]) removeEntry(at int32) {
	n := c.nodes.at(at)
	t := n.owner
	delete(c.index, n.key)
	c.unlink(at)
	c.nodes.release(at)
	c.removeIfEmpty(t)
}

func (c *Cache[K, V]) removeIfEmpty(t *tenant) {
	if t.entries > 0 || c.shares[t.name] > 0 {
		return
	}
	heap.Remove(&c.byUsage, t.heapIndex)
	delete(c.tenants, t.name)
}
