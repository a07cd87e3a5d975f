package sharedcache

const (
	// noEntry marks the end of a list.
	noEntry int32 = -1
	// chunkSize is the number of entries allocated at a time. A single growing slice would be copied whole in the
	// middle of a request.
	chunkSize = 1 << 10
)

// node is an entry of the cache and its links in a list of its owner.
type node[K comparable, V any] struct {
	key        K
	value      V
	owner      *tenant
	prev, next int32
	cost       int32
	rank       uint8
	segment    uint8
}

// slab allocates entries in chunks; free entries are linked by next.
type slab[K comparable, V any] struct {
	chunks    [][]node[K, V]
	allocated int32
	free      int32 // index of the first free entry plus one; 0 means none
}

func (s *slab[K, V]) at(i int32) *node[K, V] { return &s.chunks[i/chunkSize][i%chunkSize] }

// alloc returns the index of an unused entry.
func (s *slab[K, V]) alloc() int32 {
	if s.free > 0 {
		i := s.free - 1
		s.free = s.at(i).next + 1
		return i
	}
	if int(s.allocated) == len(s.chunks)*chunkSize {
		s.chunks = append(s.chunks, make([]node[K, V], chunkSize))
	}
	s.allocated++
	return s.allocated - 1
}

// release clears an entry and adds it to the free list.
func (s *slab[K, V]) release(i int32) {
	*s.at(i) = node[K, V]{next: s.free - 1}
	s.free = i + 1
}

// link inserts an entry at the front of its list and accounts for its cost.
func (c *Cache[K, V]) link(at int32) {
	n := c.nodes.at(at)
	l := &n.owner.segments[n.segment].ranks[n.rank]
	n.prev, n.next = noEntry, l.first
	if l.first != noEntry {
		c.nodes.at(l.first).prev = at
	} else {
		l.last = at
	}
	l.first = at
	if n.owner.entries++; n.owner.entries == 1 {
		c.activeShares += n.owner.share
	}
	c.addUsage(n, int64(n.cost))
}

// unlink removes an entry from its list and from the accounting.
func (c *Cache[K, V]) unlink(at int32) {
	n := c.nodes.at(at)
	l := &n.owner.segments[n.segment].ranks[n.rank]
	if n.prev != noEntry {
		c.nodes.at(n.prev).next = n.next
	} else {
		l.first = n.next
	}
	if n.next != noEntry {
		c.nodes.at(n.next).prev = n.prev
	} else {
		l.last = n.prev
	}
	if n.owner.entries--; n.owner.entries == 0 {
		c.activeShares -= n.owner.share
	}
	c.addUsage(n, -int64(n.cost))
}

// tenantHeap is a heap of tenants with the highest usage relative to share on top.
type tenantHeap []*tenant

// Len returns the number of tenants.
func (h tenantHeap) Len() int { return len(h) }

// Less reports whether tenant i is evicted from before tenant j: higher usage relative to its share, ties
// broken by name.
func (h tenantHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	x, y := a.used*b.share, b.used*a.share
	return x > y || x == y && a.name < b.name
}

// Swap implements heap.Interface.
func (h tenantHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *tenantHeap) Push(x any) {
	t := x.(*tenant)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *tenantHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
