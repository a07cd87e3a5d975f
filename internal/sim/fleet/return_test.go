package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/stand"
)

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
				f.KillEdge(n)
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
				if _, ok := n.Proxy.ActiveConfig(); !ok {
					return false
				}
			}
			return true
		})
		f.T.Logf("all edges serve %v after zone %s was back", took, zone)
		took = f.Until(15*time.Second, "all slots held", func() bool { return f.held() == 16 })
		f.T.Logf("every slot is held %v later", took)
		// Why: rule 11 looks at what each edge serves in these seconds.
		time.Sleep(12 * time.Second)
	})
}

// returns are all ways in which machines go and come back.
var returns = []struct {
	name         string
	cores, edges bool
	power        bool // what was not synced is lost
	disk         bool // and one core's disk with it
}{
	{"cores killed", true, false, false, false},
	{"cores lose power", true, false, true, false},
	{"edges killed", false, true, false, false},
	{"everything killed", true, true, false, false},
	{"everything loses power", true, true, true, false},
	{"everything loses power, one core its disk", true, true, true, true},
}

// Every way of returning, at the full size of each deployment: edges and models
// are served again within 12 s (rule 11 looks at each edge), the core takes changes and gives orders again. The log
// says which step takes how long.
func TestEveryWayOfReturning(t *testing.T) {
	t.Parallel()
	for _, d := range []stand.Deployment{stand.Cascadia(), stand.Fotofamilia()} {
		for i, way := range returns {
			// Why: looking for races needs one of each size, not all.
			if testing.Short() && i != len(returns)-1 {
				continue
			}
			if testing.Short() {
				d = Small(d.Cores)
			}
			t.Run(d.Name+"/"+way.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := New(t, uint64(i+1), d)
					defer f.Stop()
					f.Traffic(1)
					time.Sleep(10 * time.Second)
					f.patchNow(0)
					if way.edges {
						for _, n := range f.Edges {
							f.KillEdge(n)
						}
					}
					if way.cores {
						for _, n := range f.Cores {
							f.KillCore(n, way.power)
						}
					}
					if way.disk {
						f.LoseDisk(f.Cores[f.Rnd.IntN(len(f.Cores))])
					}
					time.Sleep(5 * time.Second)
					if way.cores {
						for _, n := range f.Cores {
							f.StartCore(n)
						}
					}
					if way.edges {
						for _, n := range f.Edges {
							f.StartEdge(n)
						}
					}
					f.back()
					f.comeBack()
					time.Sleep(8 * time.Second)
					f.Quiet()
					f.Until(15*time.Second, "read-back", func() bool { _, ok := f.ReadBack(0); return ok })
					f.End()
				})
			})
		}
	}
}

// comeBack waits for each step of a return and says when it was done.
func (f *Fleet) comeBack() {
	began, from := time.Now(), time.Since(f.zero)
	f.Group.Go(func(context.Context) { f.churn(20 * time.Second) })
	steps := []struct {
		what string
		ok   func() bool
	}{
		{"all edges serve", func() bool {
			for _, n := range f.Edges {
				if _, ok := n.Proxy.ActiveConfig(); !ok {
					return false
				}
			}
			return true
		}},
		{"every edge has served somebody", func() bool {
			who := map[string]bool{}
			for _, e := range f.Rec.Events() {
				if e.Kind == check.Answer && e.Outcome == check.Whole && e.At > from {
					who[e.Node] = true
				}
			}
			return len(who) == len(f.Edges)
		}},
		{"a model has been served", func() bool {
			return f.count(check.Answer, func(e check.Event) bool {
				return e.At > from && e.Outcome == check.Whole && e.Class == f.D.Flows[1].Class
			}) > 0
		}},
		{"every slot is held", func() bool {
			n := 0
			for _, c := range f.Cores {
				n += len(c.Core.Held())
			}
			return n == 16
		}},
		{"a change is taken", func() bool { _, ok := f.patchNow(0); return ok }},
		{"orders are given again", func() bool { return f.ordersSince(began) }},
	}
	var took []string
	for _, s := range steps {
		f.Until(20*time.Second, s.what, s.ok)
		took = append(took, fmt.Sprintf("%s %.1f s", s.what, time.Since(began).Seconds()))
	}
	f.T.Logf("%s: %s", f.T.Name(), strings.Join(took, ", "))
	if d := time.Since(began); d > 12*time.Second {
		f.T.Errorf("all this took %v", d)
	}
}

func (f *Fleet) held() int {
	n := 0
	for _, h := range f.status().Slots {
		n += len(h)
	}
	return n
}

func (f *Fleet) ordersSince(t time.Time) bool {
	at := time.Since(f.zero) - time.Since(t)
	return f.count(check.OrderCame, func(e check.Event) bool { return e.At > at }) > 0
}
