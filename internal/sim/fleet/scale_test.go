package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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
						if s, _ := n.Proxy.ActiveConfig(); s < serial {
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
