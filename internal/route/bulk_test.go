package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"drumstall.example/internal/conf"
)

// bulkOf knows the tenants ours and other, with one share each.
func bulkOf() *bulk {
	b := newBulk(nil)
	b.divide(map[string]int{"ours": 1, "other": 1})
	return b
}

func TestWhatCountsAsBulk(t *testing.T) {
	const room = 1000.0 // of all caches; half of it is a tenant's share
	ours, counter, night, other := party{Tenant: "ours"}, party{Tenant: "ours", Rank: 1}, party{Tenant: "ours", Rank: 6}, party{Tenant: "other", Rank: 1}
	both := func(b *bulk) {
		b.told(ours, 0, 0)
		b.told(other, 0, 0)
	}
	for _, c := range []struct {
		name string
		do   func(b *bulk)
		at   time.Duration
		want []party
	}{
		{"nobody sends anything", func(*bulk) {}, 0, nil},
		{"a tenant alone may fill the caches", func(b *bulk) { b.told(other, 0, 0); b.sent(other, 999, room, 0) }, 0, nil},
		{"even alone, more than all caches is bulk", func(b *bulk) { b.told(other, 0, 0); b.sent(other, 1001, room, 0) }, 0, []party{wholeTenant("other")}},
		{"beside a quiet one it has what that leaves", func(b *bulk) { both(b); b.sent(ours, 100, room, 0); b.sent(other, 899, room, 0) }, 0, nil},
		{"and no more", func(b *bulk) { both(b); b.sent(ours, 100, room, 0); b.sent(other, 901, room, 0) }, 0, []party{wholeTenant("other")}},
		{"its share is never less than half", func(b *bulk) { both(b); b.sent(ours, 499, room, 0); b.sent(other, 499, room, 0) }, 0, nil},
		{"who is there no more leaves its share", func(b *bulk) {
			both(b)
			b.told(other, presentFor, 0)
			b.sent(ours, 700, room, 0)
			b.sent(other, 999, room, presentFor)
		}, presentFor, nil},
		{"it goes on a little below", func(b *bulk) { both(b); b.sent(other, 1001, room, 0) }, turnover / 2, []party{wholeTenant("other")}},
		{"and is over well below", func(b *bulk) { both(b); b.sent(other, 1001, room, 0) }, turnover, nil},
		{"a tenant that vanishes in its run", func(b *bulk) { both(b); b.sent(other, 1e9, room, 0) }, presentFor, nil},
		{"a tenant that is configured no more", func(b *bulk) {
			both(b)
			b.sent(other, 1e6, room, 0)
			b.divide(map[string]int{"ours": 1})
		}, 0, nil},
		{"the night's work beside urgent work of the same tenant", func(b *bulk) {
			b.told(ours, 0, 0)
			b.told(night, 0, 0)
			b.told(other, 0, 0)
			b.sent(ours, 100, room, 0)
			b.sent(other, 600, room, 0)
			b.sent(night, 450, room, 0)
		}, 0, []party{wholeTenant("ours"), night}},
		{"urgent work yields to nobody within its tenant", func(b *bulk) {
			b.told(ours, 0, 0)
			b.told(night, 0, 0)
			b.sent(ours, 1001, room, 0)
			b.sent(night, 1, room, 0)
		}, 0, []party{wholeTenant("ours"), night}},
		{"counters beside urgent work that sends as much", func(b *bulk) {
			b.told(ours, 0, 0)
			b.told(counter, 0, 0)
			b.told(night, 0, 0)
			b.sent(ours, 800, room, 0)
			b.sent(counter, 900, room, 0)
			b.sent(night, 4000, room, 0)
		}, 0, []party{wholeTenant("ours"), night}},
		{"the night's work alone", func(b *bulk) { b.told(night, 0, 0); b.told(other, 0, 0); b.sent(night, 450, room, 0) }, 0, nil},
	} {
		b := bulkOf()
		c.do(b)
		b.review(room, c.at)
		if len(b.bulky) != len(c.want) {
			t.Errorf("%s: %v, want %v", c.name, b.bulky, c.want)
		}
		for _, p := range c.want {
			if !b.bulky[p] {
				t.Errorf("%s: %v is none", c.name, p)
			}
		}
	}
}

// Whatever tenants send bulk: nobody is left without a replica, bulk beside others
// has no more than its share, and who sends none may go anywhere.
func TestReplicasAreDividedBetweenTenants(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		shares := map[string]int{}
		for i := range 1 + rnd.IntN(5) {
			shares[fmt.Sprint("t", i)] = 1 + rnd.IntN(6)
		}
		b := newBulk(nil)
		b.divide(shares)
		sum := 0
		for tenant, share := range shares {
			sum += share
			for rank := range 1 + rnd.IntN(3) {
				b.told(party{Tenant: tenant, Rank: rank}, 0, 0)
				if rank > 0 && rnd.IntN(3) == 0 {
					b.bulky[party{Tenant: tenant, Rank: rank}] = true
				}
			}
			if rnd.IntN(2) == 0 {
				b.bulky[wholeTenant(tenant)] = true
			}
		}
		ids := make([]string, 2+rnd.IntN(12))
		for i := range ids {
			ids[i] = fmt.Sprint("r", i)
		}
		needed := 0
		for _, share := range shares {
			needed += max(1, len(ids)*share/sum)
		}
		has := map[string]string{}
		for tenant, home := range homes(shares, ids) {
			for _, id := range home {
				if other := has[id]; other != "" && needed <= len(ids) && len(shares) > 1 {
					t.Fatalf("seed %d: %s is of %s and of %s", seed, id, tenant, other)
				}
				has[id] = tenant
			}
		}
		for tenant, share := range shares {
			for rank := range conf.Ranks {
				by := party{Tenant: tenant, Rank: rank}
				got := b.among(by, ids, 0)
				whole, own := b.bulky[wholeTenant(tenant)] && len(shares) > 1, b.bulky[by]
				if got.only != nil && len(got.only) == 0 || got.only != nil && !whole && !own || got.only == nil && whole {
					t.Fatalf("seed %d: %v of %v among %v: %+v", seed, by, b.bulky, ids, got)
				}
				if whole && len(got.only) > max(1, len(ids)*share/sum) {
					t.Fatalf("seed %d: %v has %d of %d replicas for %d of %d", seed, by, len(got.only), len(ids), share, sum)
				}
				rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
				if again := b.among(by, ids, 0); fmt.Sprint(again) != fmt.Sprint(got) {
					t.Fatalf("seed %d: another proxy divides otherwise: %+v, %+v", seed, got, again)
				}
			}
		}
	}
}

func TestUrgentWorkAndItsOwnTenantsBulkGoApart(t *testing.T) {
	b := bulkOf()
	ids := []string{"r1", "r2", "r3", "r4", "r5", "r6"}
	urgent, night := party{Tenant: "ours"}, party{Tenant: "ours", Rank: 6}
	b.told(urgent, 0, 0)
	b.told(night, 0, 0)
	b.bulky[night] = true
	u, n := b.among(urgent, ids, 0), b.among(night, ids, 0)
	if len(n.only) != 3 || u.only != nil || fmt.Sprint(u.avoid) != fmt.Sprint(n.only) {
		t.Errorf("urgent %+v, night %+v", u, n)
	}
	if first := inOrderOf("ours", ids)[0]; n.only[first] || u.verdict(first) != 1 {
		t.Errorf("the night's work has %s, the tenant's first", first)
	}
	if !slices.Equal(inOrderOf("ours", ids), inOrderOf("ours", []string{"r6", "r5", "r4", "r3", "r2", "r1"})) {
		t.Error("the order of a tenant's replicas depends on who asks")
	}
}
