package sharedcache

import (
	"cmp"
	"slices"
)

// Usage describes the entries of one tenant.
type Usage struct {
	Tenant  string
	Share   int
	Entries int
	Used    int
	ByRank  [Ranks]int
	Evicted uint64 // number of entries evicted so far
}

// Usages returns the usage of the tenants known to the cache, sorted by name.
func (c *Cache[K, V]) Usages() []Usage {
	out := make([]Usage, 0, len(c.tenants))
	for _, t := range c.tenants {
		u := Usage{Tenant: t.name, Share: int(t.share), Entries: t.entries, Used: int(t.used), Evicted: t.evicted}
		for part := range t.segments {
			for rank := range t.segments[part].ranks {
				u.ByRank[rank] += int(t.segments[part].ranks[rank].used)
			}
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return out
}
