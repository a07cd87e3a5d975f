package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"drumstall.example/internal/conf"
)

// newTwoTenantDetector returns a detector with the tenants ours and other, with one share each.
func newTwoTenantDetector() *bulkDetector {
	b := newBulkDetector(nil)
	b.setShares(map[string]int{"ours": 1, "other": 1})
	return b
}

func TestBulkDetection(t *testing.T) {
	const room = 1000.0 // size of all caches; half of it is a tenant's share
	ours, counter, night, other := party{Tenant: "ours"}, party{Tenant: "ours", Rank: 1}, party{Tenant: "ours", Rank: 6}, party{Tenant: "other", Rank: 1}
	both := func(b *bulkDetector) {
		b.markPresent(ours, 0, 0)
		b.markPresent(other, 0, 0)
	}
	for _, c := range []struct {
		name string
		do   func(b *bulkDetector)
		at   time.Duration
		want []party
	}{
		{"no requests", func(*bulkDetector) {}, 0, nil},
		{"a tenant alone may fill the caches", func(b *bulkDetector) { b.markPresent(other, 0, 0); b.addTokens(other, 999, room, 0) }, 0, nil},
		{"more than all caches is bulk even without other tenants", func(b *bulkDetector) { b.markPresent(other, 0, 0); b.addTokens(other, 1001, room, 0) }, 0, []party{wholeTenant("other")}},
		{"a tenant may use what a less active one leaves idle", func(b *bulkDetector) { both(b); b.addTokens(ours, 100, room, 0); b.addTokens(other, 899, room, 0) }, 0, nil},
		{"more than what the other leaves idle is bulk", func(b *bulkDetector) { both(b); b.addTokens(ours, 100, room, 0); b.addTokens(other, 901, room, 0) }, 0, []party{wholeTenant("other")}},
		{"the allowance is never less than the tenant's share", func(b *bulkDetector) { both(b); b.addTokens(ours, 499, room, 0); b.addTokens(other, 499, room, 0) }, 0, nil},
		{"an absent tenant leaves its share idle", func(b *bulkDetector) {
			both(b)
			b.markPresent(other, presenceTTL, 0)
			b.addTokens(ours, 700, room, 0)
			b.addTokens(other, 999, room, presenceTTL)
		}, presenceTTL, nil},
		{"bulk persists slightly below the threshold", func(b *bulkDetector) { both(b); b.addTokens(other, 1001, room, 0) }, cacheTurnover / 2, []party{wholeTenant("other")}},
		{"bulk ends well below the threshold", func(b *bulkDetector) { both(b); b.addTokens(other, 1001, room, 0) }, cacheTurnover, nil},
		{"a tenant that sent bulk is absent", func(b *bulkDetector) { both(b); b.addTokens(other, 1e9, room, 0) }, presenceTTL, nil},
		{"a tenant that sent bulk is no longer configured", func(b *bulkDetector) {
			both(b)
			b.addTokens(other, 1e6, room, 0)
			b.setShares(map[string]int{"ours": 1})
		}, 0, nil},
		{"least urgent rank beside the urgent rank of the same tenant", func(b *bulkDetector) {
			b.markPresent(ours, 0, 0)
			b.markPresent(night, 0, 0)
			b.markPresent(other, 0, 0)
			b.addTokens(ours, 100, room, 0)
			b.addTokens(other, 600, room, 0)
			b.addTokens(night, 450, room, 0)
		}, 0, []party{wholeTenant("ours"), night}},
		{"the urgent rank never yields within its tenant", func(b *bulkDetector) {
			b.markPresent(ours, 0, 0)
			b.markPresent(night, 0, 0)
			b.addTokens(ours, 1001, room, 0)
			b.addTokens(night, 1, room, 0)
		}, 0, []party{wholeTenant("ours"), night}},
		{"a middle rank that sends about as much as the urgent one does not yield", func(b *bulkDetector) {
			b.markPresent(ours, 0, 0)
			b.markPresent(counter, 0, 0)
			b.markPresent(night, 0, 0)
			b.addTokens(ours, 800, room, 0)
			b.addTokens(counter, 900, room, 0)
			b.addTokens(night, 4000, room, 0)
		}, 0, []party{wholeTenant("ours"), night}},
		{"the least urgent rank without other ranks", func(b *bulkDetector) {
			b.markPresent(night, 0, 0)
			b.markPresent(other, 0, 0)
			b.addTokens(night, 450, room, 0)
		}, 0, nil},
	} {
		b := newTwoTenantDetector()
		c.do(b)
		b.reassessAll(room, c.at)
		if len(b.bulkParties) != len(c.want) {
			t.Errorf("%s: bulk parties are %v, want %v", c.name, b.bulkParties, c.want)
		}
		for _, p := range c.want {
			if !b.bulkParties[p] {
				t.Errorf("%s: %v is not a bulk party", c.name, p)
			}
		}
	}
}

// Whichever tenants send bulk: every tenant has a replica, a tenant that sends bulk beside others
// has no more replicas than its share, and a tenant that sends none may use any replica.
func TestReplicasAreDividedBetweenTenants(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		shares := map[string]int{}
		for i := range 1 + rnd.IntN(5) {
			shares[fmt.Sprint("t", i)] = 1 + rnd.IntN(6)
		}
		b := newBulkDetector(nil)
		b.setShares(shares)
		sum := 0
		for tenant, share := range shares {
			sum += share
			for rank := range 1 + rnd.IntN(3) {
				b.markPresent(party{Tenant: tenant, Rank: rank}, 0, 0)
				if rank > 0 && rnd.IntN(3) == 0 {
					b.bulkParties[party{Tenant: tenant, Rank: rank}] = true
				}
			}
			if rnd.IntN(2) == 0 {
				b.bulkParties[wholeTenant(tenant)] = true
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
		for tenant, home := range assignReplicas(shares, ids) {
			for _, id := range home {
				if other := has[id]; other != "" && needed <= len(ids) && len(shares) > 1 {
					t.Fatalf("seed %d: %s is assigned to %s and to %s", seed, id, tenant, other)
				}
				has[id] = tenant
			}
		}
		for tenant, share := range shares {
			for rank := range conf.UrgencyLevels {
				by := party{Tenant: tenant, Rank: rank}
				got := b.divideReplicas(by, ids, 0)
				whole, own := b.bulkParties[wholeTenant(tenant)] && len(shares) > 1, b.bulkParties[by]
				if got.allowed != nil && len(got.allowed) == 0 || got.allowed != nil && !whole && !own || got.allowed == nil && whole {
					t.Fatalf("seed %d: party %v with bulk parties %v among %v: wrong allowed replicas: %+v", seed, by, b.bulkParties, ids, got)
				}
				if whole && len(got.allowed) > max(1, len(ids)*share/sum) {
					t.Fatalf("seed %d: %v has %d of %d replicas for %d of %d", seed, by, len(got.allowed), len(ids), share, sum)
				}
				rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
				if again := b.divideReplicas(by, ids, 0); fmt.Sprint(again) != fmt.Sprint(got) {
					t.Fatalf("seed %d: the division depends on the order of the replicas: %+v, %+v", seed, got, again)
				}
			}
		}
	}
}

func TestBulkIsSeparatedFromUrgentRequestsOfTheSameTenant(t *testing.T) {
	b := newTwoTenantDetector()
	ids := []string{"r1", "r2", "r3", "r4", "r5", "r6"}
	urgent, night := party{Tenant: "ours"}, party{Tenant: "ours", Rank: 6}
	b.markPresent(urgent, 0, 0)
	b.markPresent(night, 0, 0)
	b.bulkParties[night] = true
	u, n := b.divideReplicas(urgent, ids, 0), b.divideReplicas(night, ids, 0)
	if len(n.allowed) != 3 || u.allowed != nil || fmt.Sprint(u.avoid) != fmt.Sprint(n.allowed) {
		t.Errorf("urgent rank %+v, bulk rank %+v", u, n)
	}
	if first := rankedFor("ours", ids)[0]; n.allowed[first] || u.shareScore(first) != 1 {
		t.Errorf("the bulk of the tenant may use %s, its first replica", first)
	}
	if !slices.Equal(rankedFor("ours", ids), rankedFor("ours", []string{"r6", "r5", "r4", "r3", "r2", "r1"})) {
		t.Error("the ranking of a tenant's replicas depends on the order of the argument")
	}
}
