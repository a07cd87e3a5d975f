package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/stand"
)

type load struct{ calls, bytes, grams, coreCalls, coreBytes float64 }

// perSecond is what an agent and a core send in a second, on average, while
// the fleet is at rest under light traffic.
func (f *Fleet) perSecond() load {
	count := func() (l load) {
		for _, n := range f.Edges {
			c, b, g := n.Agent.Sent()
			l.calls += float64(c) / float64(len(f.Edges))
			l.bytes += float64(b) / float64(len(f.Edges))
			l.grams += float64(g) / float64(len(f.Edges))
		}
		for i := range f.Cores {
			var s struct{ Counts map[string]float64 }
			if err := json.Unmarshal([]byte(f.Get(i, "/v1/status")), &s); err != nil {
				f.T.Fatal(err)
			}
			l.coreCalls += s.Counts["callsMade"] / float64(len(f.Cores))
			l.coreBytes += s.Counts["bytesCalled"] / float64(len(f.Cores))
		}
		return l
	}
	before := count()
	const span = 10
	time.Sleep(span * time.Second)
	after := count()
	return load{(after.calls - before.calls) / span, (after.bytes - before.bytes) / span, (after.grams - before.grams) / span,
		(after.coreCalls - before.coreCalls) / span, (after.coreBytes - before.coreBytes) / span}
}

func manyRoutes(n int, d stand.Deployment) []byte {
	routes := map[string]any{}
	for i := range n {
		routes[fmt.Sprintf("extra-%04d", i)] = map[string]any{"kind": "service", "selector": "service=" + d.Service, "class": d.Flows[0].Class, "deadlineMs": 1000 + i}
	}
	b, _ := json.Marshal(map[string]any{"replace": map[string]any{"routes": routes}})
	return b
}

// What grows and how: edges four times as many, replicas four times as many,
// thousands of routes. Agents' datagrams must not grow with the fleet.
func TestWhatGrows(t *testing.T) {
	if testing.Short() {
		t.Skip("figures for docs/design-notes.md")
	}
	t.Parallel()
	var base load
	for _, c := range []struct{ cores, edges, models, routes int }{{3, 6, 6, 0}, {3, 24, 6, 0}, {3, 6, 24, 0}, {3, 6, 6, 3000}} {
		synctest.Test(t, func(t *testing.T) {
			f := New(t, 1, stand.Cascadia().Sized(c.cores, c.edges, c.models, 2, 20, 6))
			if c.routes > 0 {
				began := time.Now()
				serial, ok := f.Patch(0, manyRoutes(c.routes, f.D), "")
				if !ok {
					t.Fatal("a configuration with many routes was not taken")
				}
				acked := time.Since(began)
				took := f.Until(2*time.Second, "many routes in force", func() bool {
					for _, n := range f.Edges {
						if s, _ := n.Proxy.InForce(); s < serial {
							return false
						}
					}
					return true
				})
				t.Logf("%d routes: acknowledged after %v, in force %v later", c.routes, acked, took)
			}
			f.Traffic(0.2)
			time.Sleep(10 * time.Second)
			l := f.perSecond()
			t.Logf("%d cores, %d edges, %d replicas, %d routes: an agent sends %.1f calls, %.1f KiB, %.1f datagrams a second; a core %.1f calls, %.1f KiB",
				c.cores, c.edges, c.models, c.routes, l.calls, l.bytes/1024, l.grams, l.coreCalls, l.coreBytes/1024)
			if base.grams == 0 {
				base = l
			} else if l.grams > 2*base.grams {
				t.Errorf("an agent's datagrams went from %.1f to %.1f a second", base.grams, l.grams)
			}
			f.Quiet()
			f.End()
		})
	}
}

// A whole zone goes, with its cores, edges and replicas, and comes back.
func TestZoneLostAndBack(t *testing.T) {
	Seeds(t, 3, func(uint64) stand.Deployment { return stand.Cascadia().Sized(3, 6, 6, 3, 10, 4) }, func(f *Fleet) {
		f.Traffic(0.5)
		time.Sleep(10 * time.Second)
		zone := f.D.Zone(f.Rnd.IntN(3))
		var ids []string
		for i := range f.D.Models {
			if f.D.Zone(i) == zone {
				ids = append(ids, fmt.Sprintf("m-%02d", i+1))
			}
		}
		for _, n := range f.Cores {
			if n.Zone == zone {
				f.KillCore(n, true)
			}
		}
		for _, n := range f.Edges {
			if n.Zone == zone {
				f.KillProxy(n)
				f.KillAgent(n)
			}
		}
		for _, id := range ids {
			f.CrashReplica(id)
		}
		before := f.Tally()
		left := (f.Rnd.IntN(2) + 1 + int(zone[1]-'1')) % 3
		took := f.Until(12*time.Second, "a change without the zone", func() bool { _, ok := f.patchNow(left); return ok })
		f.T.Logf("a change is taken %v after zone %s was lost", took, zone)
		time.Sleep(12 * time.Second)
		after := f.Tally()
		for _, fl := range f.D.Flows[:2] {
			if after[fl.Class][check.Whole] < before[fl.Class][check.Whole]+5 {
				f.T.Errorf("class %s was not served while zone %s was lost", fl.Class, zone)
			}
		}
		for _, n := range f.Cores {
			if n.Core == nil {
				f.StartCore(n)
			}
		}
		for _, n := range f.Edges {
			if n.Proxy == nil {
				f.StartEdge(n)
			}
		}
		for _, id := range ids {
			f.StartReplica(id)
		}
		f.back()
		took = f.Until(12*time.Second, "all edges serve", func() bool {
			for _, n := range f.Edges {
				if _, ok := n.Proxy.InForce(); !ok {
					return false
				}
			}
			return true
		})
		f.T.Logf("all edges serve %v after zone %s was back", took, zone)
		took = f.Until(15*time.Second, "all slots held", func() bool { return f.held() == 16 })
		f.T.Logf("every slot is held %v later", took)
	})
}

func (f *Fleet) held() int {
	n := 0
	for _, h := range f.status().Slots {
		n += len(h)
	}
	return n
}

// Which step of a recovery takes longest: all cores lose power and return.
func TestStepsOfARecovery(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		f.Traffic(0.5)
		time.Sleep(8 * time.Second)
		for _, n := range f.Cores {
			f.KillCore(n, true)
		}
		time.Sleep(5 * time.Second)
		for _, n := range f.Cores {
			f.StartCore(n)
		}
		f.back()
		began := time.Now()
		steps := []struct {
			what string
			ok   func() bool
		}{
			{"cores know each other", func() bool {
				n := 0
				for _, m := range f.status().Members {
					if m.Role == "core" && m.State == "alive" {
						n++
					}
				}
				return n == len(f.Cores)
			}},
			{"every slot is held", func() bool { return f.held() == 16 }},
			{"a change is taken", func() bool { _, ok := f.patchNow(0); return ok }},
			{"orders are given again", func() bool {
				return f.ordersSince(began)
			}},
		}
		f.Group.Go(func(context.Context) { f.churn(20 * time.Second) })
		for _, s := range steps {
			f.Until(20*time.Second, s.what, s.ok)
			f.T.Logf("%6v after the cores are back: %s", time.Since(began).Round(10*time.Millisecond), s.what)
		}
		if d := time.Since(began); d > 12*time.Second {
			f.T.Errorf("orders only after %v", d)
		}
	})
}

func (f *Fleet) ordersSince(t time.Time) bool {
	at := time.Since(f.zero) - time.Since(t)
	return f.count(check.OrderCame, func(e check.Event) bool { return e.At > at }) > 0
}
