package route

import (
	"context"
	"fmt"
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/state"
)

// tenantFixture is a router with replicas of one model and a manual clock, renewed only by explicit calls.
type tenantFixture struct {
	*Router
	clock   *manualClock
	gossip  *gossip.Table
	version uint64
}

const (
	withTenants = `{"tenants":{"ours":{},"other":{}},
		"classes":{"plates":{"tenant":"ours","urgent":true},"night":{"tenant":"ours","rank":5},"bulk":{"tenant":"other","urgent":true}},
		"services":{"gpu":{"selector":"pool=main","cacheTokens":10000%s}},
		"models":{"m":{"sizeMib":1,"service":"gpu"}}}`
	withoutTenants = `{"classes":{"plates":{"urgent":true},"night":{"rank":5},"bulk":{"urgent":true}},
		"services":{"gpu":{"selector":"pool=main","cacheTokens":10000}},
		"models":{"m":{"sizeMib":1,"service":"gpu"}}}`
)

func newTenantFixture(t *testing.T, doc string) *tenantFixture {
	t.Helper()
	return newTenantFixtureOf(t, doc, 4)
}

func newTenantFixtureOf(t *testing.T, doc string, replicas int) *tenantFixture {
	t.Helper()
	s := &tenantFixture{clock: &manualClock{now: time.Hour}, gossip: gossip.NewTable()}
	stopped := run.NewGroup(context.Background())
	stopped.Stop()
	s.Router = NewRouter(Deps{Group: stopped, Gossip: s.gossip, Clock: s.clock, Zone: func() string { return "z1" },
		SinceContact: func() time.Duration { return 0 }, Edges: func() int { return 1 }})
	for i := range replicas {
		id := fmt.Sprint("r", i)
		n := order.Status{Listed: inventory.Listed{ID: id, Zone: "z1", Model: true, Slots: 1000, Labels: map[string]string{"pool": "main"}}, Slots: 1000,
			Items: map[string]string{"m": backend.Loaded}}
		s.gossip.Put(gossip.Entry{Key: order.Key(id), Stamp: state.Stamp{Epoch: 1, Version: 1}, Value: wire.Marshal(n)})
	}
	s.configure(t, doc)
	return s
}

func (s *tenantFixture) configure(t *testing.T, doc string) {
	t.Helper()
	kept, err := conf.ReadWhole("application/json", []byte(doc))
	if err != nil {
		t.Fatal(err)
	}
	s.version++
	kept.Serial = s.version
	s.gossip.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: s.version}, Value: kept.Pack()})
	s.renew()
}

func (s *tenantFixture) target(class string, prompt int) Target {
	return Target{Route: conf.Route{Kind: "model", Class: class}, Item: conf.Item{Model: "m"}, Prompt: PromptFromParts("m", []Part{{fmt.Sprint(class, prompt), 1000}})}
}

// send starts and ends an attempt at the chosen replica and returns its ID; empty if there is none.
func (s *tenantFixture) send(class string, prompt int) string {
	t := s.target(class, prompt)
	r, _, _ := s.Choose(t)
	if r == nil {
		return ""
	}
	s.StartAttempt(t, r).Done()
	return r.Listed.ID
}

// spread sends n prompts of a class and returns how many went to each replica.
func (s *tenantFixture) spread(class string, from, n int) map[string]int {
	out := map[string]int{}
	for i := range n {
		out[s.send(class, from+i)]++
	}
	return out
}

func TestBulkOfAnotherTenantIsSteeredToItsShareOfReplicas(t *testing.T) {
	for _, c := range []struct {
		name, doc string
		replicas  int // number of replicas that take the bulk
	}{
		{"replicas that evict in LRU order", fmt.Sprintf(withTenants, ""), 2},
		{"replicas that divide their cache", fmt.Sprintf(withTenants, `,"cacheByShare":true`), 4},
		{"no tenants", withoutTenants, 4},
	} {
		s := newTenantFixture(t, c.doc)
		s.spread("plates", 0, 8)
		s.spread("bulk", 0, 200)
		theirs := s.spread("bulk", 1000, 200)
		if len(theirs) != c.replicas {
			t.Errorf("%s: the bulk goes to %v, want %d replicas", c.name, theirs, c.replicas)
		}
		if c.replicas == 4 {
			continue
		}
		for id := range s.spread("plates", 100, 5) {
			if theirs[id] > 0 {
				t.Errorf("%s: new prompts of ours go to %s, where the bulk goes", c.name, id)
			}
		}
	}
}

func TestTenantUsesIdleCachesOfOthers(t *testing.T) {
	s := newTenantFixture(t, fmt.Sprintf(withTenants, ""))
	if got := s.spread("bulk", 0, 400); len(got) != 4 {
		t.Errorf("a tenant without others uses %v, want 4 replicas", got)
	}
	s.spread("plates", 0, 1)
	if got := s.spread("bulk", 1000, 200); len(got) != 2 {
		t.Errorf("beside another tenant it uses %v, want 2 replicas", got)
	}
	// The other tenant becomes absent.
	s.renew()
	s.clock.now += presenceTTL
	s.renew()
	if got := s.spread("bulk", 2000, 400); len(got) != 4 {
		t.Errorf("after the other became absent it uses %v, want 4 replicas", got)
	}
}

func TestPresenceReachesOtherProxies(t *testing.T) {
	a, b := newTenantFixture(t, fmt.Sprintf(withTenants, "")), newTenantFixture(t, fmt.Sprintf(withTenants, ""))
	a.send("plates", 0)
	fresh, _, _ := a.gossip.Since(0)
	announced := 0
	for _, e := range fresh {
		if e.Key == presenceKey(party{Tenant: "ours"}) {
			b.gossip.Put(e)
			announced++
		}
	}
	b.renew()
	b.spread("bulk", 0, 100)
	if got := b.spread("bulk", 1000, 200); announced != 1 || len(got) != 2 {
		t.Errorf("announced %d times, want 1; the bulk at the other proxy goes to %v, want 2 replicas", announced, got)
	}
}

func TestSteeringAllowsWarmReplicasAndRetries(t *testing.T) {
	s := newTenantFixture(t, fmt.Sprintf(withTenants, ""))
	s.spread("bulk", 0, 8) // warm on all replicas, before another tenant is present
	s.spread("plates", 0, 4)
	s.spread("bulk", 1000, 200)
	now, able := s.clock.now, []string{"r0", "r1", "r2", "r3"}
	warm := 0
	for i := range 8 {
		for id := range s.prefixes.warmFractions(s.target("bulk", i).Prompt) {
			if !s.steer(s.target("bulk", i), s.Current(), able, now).allows(id) {
				t.Errorf("a prompt may not go to %s, where it is warm", id)
			}
			warm++
		}
	}
	if warm != 8 {
		t.Errorf("%d of 8 prompts are warm", warm)
	}
	again := s.target("bulk", 5000)
	again.Avoid = "r0"
	for _, id := range able {
		if !s.steer(again, s.Current(), able, now).allows(id) {
			t.Errorf("a request that failed on another replica may not go to %s", id)
		}
	}
	if got := s.steer(s.target("bulk", 5000), s.Current(), able[:1], now); got.enabled {
		t.Errorf("steering is enabled with a single replica: %+v", got)
	}
}

func TestOwnBulkAvoidsReplicasOfUrgentRequests(t *testing.T) {
	s := newTenantFixture(t, fmt.Sprintf(withTenants, ""))
	s.spread("plates", 0, 4)
	s.spread("night", 0, 100)
	night, urgent := s.spread("night", 1000, 100), s.spread("plates", 100, 5)
	if len(night) != 2 {
		t.Errorf("the bulk of the least urgent rank goes to %v, want half of the replicas", night)
	}
	for id := range urgent {
		if night[id] > 0 {
			t.Errorf("urgent requests go to %s, where the bulk goes", id)
		}
	}
	f := s.StatsByTenant()["ours"]
	if f.Share != 1 || f.Tokens != 209_000 || f.Warm != 0 || f.Prefixes != 209 {
		t.Errorf("statistics %+v", f)
	}
}

func TestSharesMayChangeAtRuntime(t *testing.T) {
	s := newTenantFixture(t, fmt.Sprintf(withTenants, ""))
	s.spread("plates", 0, 4)
	s.spread("bulk", 0, 200)
	for _, c := range []struct{ share, replicas int }{{1, 2}, {3, 3}, {1, 2}} {
		s.configure(t, fmt.Sprintf(withTenants, "")[:len(`{"tenants":{"ours":{},"other":{`)]+fmt.Sprintf(`"share":%d`, c.share)+fmt.Sprintf(withTenants, "")[len(`{"tenants":{"ours":{},"other":{`):])
		s.spread("plates", 0, 1)
		if got := s.spread("bulk", 10_000*int(s.version), 300); len(got) != c.replicas {
			t.Errorf("share %d: the bulk goes to %v, want %d replicas", c.share, got, c.replicas)
		}
	}
}

// BenchmarkChooseAmongTenants measures what tenants add to a choice, also while one of them sends bulk.
func BenchmarkChooseAmongTenants(b *testing.B) {
	for _, replicas := range []int{4, 150} {
		for _, c := range []struct {
			name, doc string
			bulk      int // prompts for each replica
		}{{"no tenants", withoutTenants, 50}, {"tenants", fmt.Sprintf(withTenants, ""), 0}, {"a bulk run", fmt.Sprintf(withTenants, ""), 50}} {
			b.Run(fmt.Sprintf("%s, %d replicas", c.name, replicas), func(b *testing.B) {
				s := newTenantFixtureOf(&testing.T{}, c.doc, replicas)
				s.spread("plates", 0, 8)
				s.spread("bulk", 0, c.bulk*replicas)
				target := s.target("bulk", 1_000_000)
				b.ReportAllocs()
				for b.Loop() {
					s.Choose(target)
				}
			})
		}
	}
}
