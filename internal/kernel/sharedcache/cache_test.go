package sharedcache

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// oracle is a reference implementation of the cache by linear search.
type oracleEntry struct {
	key    int
	tenant string
	rank   int
	cost   int
	usedAt int
	reused bool
}

type oracle struct {
	capacity int
	shares   map[string]int
	entries  map[int]*oracleEntry
	now      int
}

func (o *oracle) share(tenant string) int { return max(o.shares[tenant], 1) }

func (o *oracle) used(tenant string) (used int) {
	for _, e := range o.entries {
		if e.tenant == tenant {
			used += e.cost
		}
	}
	return used
}

func (o *oracle) total() (used int) {
	for _, e := range o.entries {
		used += e.cost
	}
	return used
}

func (o *oracle) get(key int, by Owner) bool {
	o.now++
	e := o.entries[key]
	if e == nil {
		return false
	}
	e.usedAt, e.reused = o.now, true
	if e.tenant == by.Tenant {
		e.rank = min(e.rank, by.Rank)
	} else if o.isOverShare(e.tenant) && o.used(by.Tenant)*o.share(e.tenant) < o.used(e.tenant)*o.share(by.Tenant) {
		e.tenant, e.rank = by.Tenant, by.Rank
	}
	return true
}

func (o *oracle) isOverShare(tenant string) bool {
	shares, seen := 0, map[string]bool{}
	for _, e := range o.entries {
		if !seen[e.tenant] {
			seen[e.tenant] = true
			shares += o.share(e.tenant)
		}
	}
	return o.used(tenant)*shares > o.capacity*o.share(tenant)
}

func (o *oracle) put(t *testing.T, key int, by Owner, cost int) {
	if cost > o.capacity {
		delete(o.entries, key)
		return
	}
	if e := o.entries[key]; e != nil {
		e.cost = cost
		o.get(key, by)
	} else {
		o.now++
		o.entries[key] = &oracleEntry{key: key, tenant: by.Tenant, rank: by.Rank, cost: cost, usedAt: o.now}
	}
	for o.total() > o.capacity {
		o.evict(t)
	}
}

func (o *oracle) evict(t *testing.T) {
	present := map[string]int{}
	for _, e := range o.entries {
		present[e.tenant] += e.cost
	}
	tenant, shares := "", 0
	for name, used := range present {
		shares += o.share(name)
		x, y := 0, 0
		if tenant != "" {
			x, y = used*o.share(tenant), present[tenant]*o.share(name)
		}
		if tenant == "" || x > y || x == y && name < tenant {
			tenant = name
		}
	}
	// Independent of the algorithm, entries are only evicted from a tenant above its share.
	if present[tenant]*shares <= o.capacity*o.share(tenant) {
		t.Fatalf("eviction from %s, which uses %d of %d and has a share of %d of %d", tenant, present[tenant], o.capacity, o.share(tenant), shares)
	}
	byRank, sum := map[bool]map[int]int{false: {}, true: {}}, map[bool]int{}
	for _, e := range o.entries {
		if e.tenant == tenant {
			byRank[e.reused][e.rank] += e.cost
			sum[e.reused] += e.cost
		}
	}
	again, rank := sum[false]*probationaryDivisor <= present[tenant], Ranks-1
	if again {
		for rank > 0 && byRank[true][rank]*floorDivisor <= sum[true] {
			rank--
		}
	} else {
		for other := Ranks - 2; other >= 0; other-- {
			if byRank[false][other]*(Ranks-rank) > byRank[false][rank]*(Ranks-other) {
				rank = other
			}
		}
	}
	var victim *oracleEntry
	for _, e := range o.entries {
		if e.tenant == tenant && e.rank == rank && e.reused == again && (victim == nil || e.usedAt < victim.usedAt) {
			victim = e
		}
	}
	delete(o.entries, victim.key)
}

// compareWithOracle applies the same random operations to a cache and the oracle and compares them after each.
func compareWithOracle(t *testing.T, seed uint64, steps int) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	capacity := 1 + rnd.IntN(60)
	o := &oracle{capacity: capacity, shares: map[string]int{}, entries: map[int]*oracleEntry{}}
	gone := map[int]bool{}
	c := New[int, int](capacity, func(key int, _ Owner) { gone[key] = true })
	tenants, keys := 1+rnd.IntN(5), 1+rnd.IntN(200)
	for step := range steps {
		by := Owner{Tenant: fmt.Sprint("t", rnd.IntN(tenants)), Rank: rnd.IntN(Ranks)}
		key := rnd.IntN(keys)
		switch what := rnd.IntN(100); {
		case what < 2:
			o.shares = map[string]int{}
			for i := range rnd.IntN(tenants + 1) {
				o.shares[fmt.Sprint("t", i)] = 1 + rnd.IntN(9)
			}
			given := map[string]int{}
			for name, share := range o.shares {
				given[name] = share
			}
			c.SetShares(given)
		case what < 4:
			o.shares[by.Tenant] = 1 + rnd.IntN(9)
			c.SetShare(by.Tenant, o.shares[by.Tenant])
		case what < 8:
			delete(o.entries, key)
			c.Remove(key)
		case what < 30:
			want := o.get(key, by)
			if got, found := c.Get(key, by); found != want || found && got != key {
				t.Fatalf("seed %d step %d: get of %d: %d %v, want %v", seed, step, key, got, found, want)
			}
		default:
			cost := 1 + rnd.IntN(1+capacity/4)
			if rnd.IntN(40) == 0 {
				cost = capacity + 1
			}
			o.put(t, key, by, cost)
			_, kept := o.entries[key]
			if got := c.Put(key, by, cost, key); got != kept {
				t.Fatalf("seed %d step %d: put of %d: in cache %v, want %v", seed, step, key, got, kept)
			}
		}
		compareState(t, c, o, fmt.Sprintf("seed %d step %d", seed, step))
	}
}

func compareState(t *testing.T, c *Cache[int, int], o *oracle, when string) {
	if c.Len() != len(o.entries) || c.Used() != o.total() || c.Used() > o.capacity {
		t.Fatalf("%s: %d entries of %d, want %d of %d, at most %d", when, c.Len(), c.Used(), len(o.entries), o.total(), o.capacity)
	}
	for key := range o.entries {
		if _, found := c.Peek(key); !found {
			t.Fatalf("%s: %d is not in the cache", when, key)
		}
	}
	for _, u := range c.Usages() {
		if u.Used != o.used(u.Tenant) || u.Share != o.share(u.Tenant) {
			t.Fatalf("%s: %+v, want %d with share %d", when, u, o.used(u.Tenant), o.share(u.Tenant))
		}
		sum := 0
		for _, used := range u.ByRank {
			sum += used
		}
		if sum != u.Used || u.Entries == 0 && u.Used != 0 {
			t.Fatalf("%s: %+v does not add up", when, u)
		}
	}
}

func TestCacheMatchesOracle(t *testing.T) {
	for seed := range uint64(200) {
		compareWithOracle(t, seed, 300)
	}
}

func FuzzCache(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { compareWithOracle(t, seed, 200) })
}

func usedBy(c *Cache[int, int], tenant string) int {
	for _, u := range c.Usages() {
		if u.Tenant == tenant {
			return u.Used
		}
	}
	return 0
}

// fill puts n fresh entries.
func fill(c *Cache[int, int], from, n int, by Owner) {
	for i := range n {
		c.Put(from+i, by, 1, i)
	}
}

func TestBulkTenantDoesNotEvictTenantWithinItsShare(t *testing.T) {
	c := New[int, int](1000, nil)
	c.SetShares(map[string]int{"transport": 3, "archive": 1})
	fill(c, 0, 700, Owner{Tenant: "transport"})
	fill(c, 10_000, 100_000, Owner{Tenant: "archive"})
	if ours, theirs := usedBy(c, "transport"), usedBy(c, "archive"); ours != 700 || theirs != 300 {
		t.Errorf("usage %d and %d, want 700 and 300: entries within the share stay, idle capacity is lent", ours, theirs)
	}
	fill(c, 1000, 300, Owner{Tenant: "transport"})
	if ours, theirs := usedBy(c, "transport"), usedBy(c, "archive"); ours != 750 || theirs != 250 {
		t.Errorf("usage %d and %d, want 750 and 250", ours, theirs)
	}
}

func TestSoleTenantUsesWholeCapacity(t *testing.T) {
	c := New[int, int](100, nil)
	c.SetShares(map[string]int{"transport": 99, "archive": 1})
	fill(c, 0, 500, Owner{Tenant: "archive"})
	if got := usedBy(c, "archive"); got != 100 {
		t.Errorf("usage %d of 100 without other tenants", got)
	}
}

func TestUrgentEntriesAreKeptLongerWithinTenant(t *testing.T) {
	c := New[int, int](160, nil)
	urgent, interactive, bulk := Owner{Tenant: "transport"}, Owner{Tenant: "transport", Rank: 1}, Owner{Tenant: "transport", Rank: 6}
	putTwice := func(from, n int, by Owner) {
		fill(c, from, n, by)
		fill(c, from, n, by)
	}
	putTwice(0, 50, urgent)
	putTwice(100, 50, interactive)
	// A bulk run in which every other entry is used again.
	for i := range 5000 {
		putTwice(1000+2*i, 1, bulk)
		fill(c, 1001+2*i, 1, bulk)
	}
	u := c.Usages()[0]
	if u.ByRank[0] != 50 || u.ByRank[1] != 50 || u.ByRank[6] != 60 {
		t.Errorf("usage %v, want 50 urgent, 50 interactive and 60 bulk", u.ByRank)
	}
	// Endings of urgent prompts that are not used again do not evict interactive entries.
	fill(c, 100_000, 5000, urgent)
	if u = c.Usages()[0]; u.ByRank[1] != 50 {
		t.Errorf("usage %v, want 50 interactive", u.ByRank)
	}
	// Urgent entries that are used again may take all but the floors of the other ranks.
	for i := range 500 {
		putTwice(200_000+i, 1, urgent)
	}
	if u = c.Usages()[0]; u.ByRank[0] < 100 || u.ByRank[1] < 5 || u.ByRank[6] < 5 {
		t.Errorf("usage %v: the other ranks do not keep their floors", u.ByRank)
	}
}

func TestEntrySharedByTwoTenantsStaysCached(t *testing.T) {
	c := New[int, int](100, nil)
	fill(c, 0, 10, Owner{Tenant: "transport"})
	for i := range 5000 {
		c.Get(i%10, Owner{Tenant: "archive", Rank: 3})
		c.Put(1000+i, Owner{Tenant: "archive", Rank: 3}, 1, i)
	}
	for key := range 10 {
		if _, found := c.Peek(key); !found {
			t.Errorf("%d is not in the cache", key)
		}
	}
	if got := usedBy(c, "transport"); got != 10 {
		t.Errorf("%d of 10 entries are accounted to the tenant that is within its share", got)
	}
}

func TestNewSharesApplyAtNextEviction(t *testing.T) {
	c := New[int, int](100, nil)
	c.SetShares(map[string]int{"a": 1, "b": 1})
	fill(c, 0, 100, Owner{Tenant: "a"})
	fill(c, 1000, 100, Owner{Tenant: "b"})
	c.SetShares(map[string]int{"a": 4, "b": 1})
	if a, b := usedBy(c, "a"), usedBy(c, "b"); a != 50 || b != 50 {
		t.Errorf("usage %d and %d after a change of shares alone, want 50 and 50", a, b)
	}
	fill(c, 200, 100, Owner{Tenant: "a"})
	if a, b := usedBy(c, "a"), usedBy(c, "b"); a != 80 || b != 20 {
		t.Errorf("usage %d and %d, want 80 and 20", a, b)
	}
}

func TestTenantWithoutEntriesIsRemoved(t *testing.T) {
	c := New[int, int](50, nil)
	fill(c, 0, 50, Owner{Tenant: "a"})
	for i := range 50 {
		c.Remove(i)
	}
	if len(c.Usages()) != 0 || c.Len() != 0 || c.Used() != 0 {
		t.Errorf("%v", c.Usages())
	}
}

func BenchmarkPutAmongTenants(b *testing.B) {
	for _, tenants := range []int{1, 4, 64} {
		b.Run(fmt.Sprint("tenants=", tenants), func(b *testing.B) {
			c := New[uint64, [3]string](100_000, nil)
			owners := make([]Owner, tenants)
			for i := range owners {
				owners[i] = Owner{Tenant: fmt.Sprint("t", i), Rank: i % Ranks}
			}
			b.ReportAllocs()
			var key uint64
			for b.Loop() {
				key++
				c.Put(key, owners[int(key)%tenants], 1, [3]string{"m-01"})
			}
		})
	}
}
