package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/stand"
	"drumstall.example/internal/state"
)

// hasty is a fleet whose controllers order all the time: little memory, a quick
// weight store, and replicas that check no epoch and unload whatever they are told to.
func hasty(seed uint64) stand.Deployment {
	d := stand.Cascadia()
	if seed%2 == 1 {
		d = stand.Fotofamilia()
	}
	d.PaceLoads = 60
	d.Replica.LoadMibPerS, d.Replica.CapacityMib, d.Replica.Unkind = 40_000, 7000, true
	return d.Sized(3+int(seed%2), 3, 4, 2, 24, 6)
}

// eager makes every miss a load, whatever it drives out, and pins nothing.
func (f *Fleet) eager() {
	f.Until(5*time.Second, "limits", func() bool {
		_, ok := f.Patch(0, fmt.Appendf(nil, `{"replace":{"limits":{"default":{"paceLoads":%d,"retryAllowance":%d,"passMinutes":0}}},"remove":{"claims":["always","ready"]}}`, f.D.PaceLoads, f.D.Allowance), "")
		return ok
	})
}

// press asks for ever other items, fast, until a while has passed.
func (f *Fleet) press(d, every time.Duration, pieces int) {
	spots, fl := f.Spots(), f.D.Flows[1]
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(every) {
		it := fl.Items[f.Rnd.IntN(len(fl.Items))]
		f.Group.Go(func(ctx context.Context) {
			f.Clients.Ask(ctx, spots[f.Rnd.IntN(len(spots))], stand.Request{Class: "press", Route: fl.Route, Item: it, Prompt: "p", Pieces: pieces})
		})
	}
}

// chief is the core that controls most replicas.
func (f *Fleet) chief() *Node {
	var best *Node
	most := -1
	for _, n := range f.Cores {
		if n.Core == nil {
			continue
		}
		held, k := n.Core.Held(), 0
		for i := range f.D.Models {
			if _, ok := held[state.SlotOf(order.Key(fmt.Sprintf("m-%02d", i+1)))]; ok {
				k++
			}
		}
		if k > most {
			best, most = n, k
		}
	}
	return best
}

// handovers are all ways in which a controller is followed by another.
var handovers = []struct {
	name string
	do   func(f *Fleet, n *Node)
}{
	{"kill", func(f *Fleet, n *Node) {
		f.KillCore(n, false)
		f.press(9*time.Second, 70*time.Millisecond, 1)
		f.StartCore(n)
	}},
	{"freeze", func(f *Fleet, n *Node) {
		f.Freeze(n)
		f.press(time.Duration(3000+f.Rnd.IntN(6000))*time.Millisecond, 70*time.Millisecond, 1)
		f.Thaw(n)
	}},
	{"cut", func(f *Fleet, n *Node) {
		var rest []string
		for _, o := range f.Cores {
			if o != n {
				rest = append(rest, o.IP)
			}
		}
		f.Between([]string{n.IP}, rest, true)
		f.press(14*time.Second, 70*time.Millisecond, 1)
		f.Between([]string{n.IP}, rest, false)
	}},
	{"planned stop", func(f *Fleet, n *Node) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_ = n.Core.Stop(ctx)
		n.Core = nil
		f.press(8*time.Second, 70*time.Millisecond, 1)
		f.StartCore(n)
	}},
	{"clock jump", func(f *Fleet, n *Node) {
		f.Jump(n, time.Duration(f.Rnd.IntN(200)-100)*time.Hour)
		f.press(6*time.Second, 70*time.Millisecond, 1)
		f.Jump(n, 0)
	}},
	{"replacement", func(f *Fleet, n *Node) {
		f.KillCore(n, true)
		f.LoseDisk(n)
		f.MoveCore(n, "10.1.7."+n.Name[len("core-"):])
		f.StartCore(n)
		f.press(12*time.Second, 70*time.Millisecond, 1)
	}},
}

// Controllers change in every way there is, under a steady stream of orders to
// replicas that would obey anybody: no replica is ordered by two within 3 s.
func TestHandoversOfEveryKind(t *testing.T) {
	if testing.Short() {
		t.Skip("a crowd of callers; the race detector sees the same code in shorter runs")
	}
	var mu sync.Mutex
	changes, orders := 0, 0
	least := map[string]time.Duration{}
	Seeds(t, 3, hasty, func(f *Fleet) {
		f.eager()
		f.press(10*time.Second, 70*time.Millisecond, 1)
		type span struct {
			name     string
			from, to time.Duration
		}
		var spans []span
		for _, i := range f.Rnd.Perm(len(handovers)) {
			from := time.Since(f.zero)
			handovers[i].do(f, f.chief())
			// Why: slots go back to who should have them after some seconds, and the next one is to take them away again.
			f.press(13*time.Second, 70*time.Millisecond, 1)
			spans = append(spans, span{handovers[i].name, from, time.Since(f.zero)})
		}
		mu.Lock()
		defer mu.Unlock()
		last := map[string]check.Event{}
		for _, e := range f.Rec.Events() {
			if e.Kind != check.OrderCame {
				continue
			}
			orders++
			if was, found := last[e.Replica]; found && was.Controller != e.Controller {
				changes++
				for _, s := range spans {
					if gap := e.At - was.At; e.At >= s.from && e.At < s.to && (least[s.name] == 0 || gap < least[s.name]) {
						least[s.name] = gap
					}
				}
			}
			last[e.Replica] = e
		}
	})
	t.Cleanup(func() {
		for _, h := range handovers {
			if least[h.name] == 0 {
				t.Logf("%s: no controller changed", h.name)
				continue
			}
			t.Logf("%s: no two controllers' orders nearer than %v", h.name, least[h.name].Round(time.Millisecond))
		}
		t.Logf("%d orders, %d changes of controller", orders, changes)
	})
	if changes < 4 && !testing.Short() {
		t.Errorf("only %d changes of controller, too few to prove anything", changes)
	}
}

// Requests run all the time on what is about to be unloaded, on replicas that
// would unload it under them: nothing in use is ordered to go, and no stream breaks before its route's time.
func TestNothingInUseIsUnloaded(t *testing.T) {
	const deadlineMs = 15_000 // of the route that is pressed
	unloads := 0
	Seeds(t, 4, func(seed uint64) stand.Deployment {
		d := hasty(seed)
		d.Replica.CapacityMib = 9000
		return d
	}, func(f *Fleet) {
		f.eager()
		f.press(40*time.Second, 50*time.Millisecond, 40)
		time.Sleep(20 * time.Second)
		for _, e := range f.Rec.Events() {
			switch {
			case e.Kind == check.OrderCame && e.Verb != "load" && e.Verb != "load-adapter":
				unloads++
				if e.Inflight > 0 {
					f.T.Errorf("%s is ordered to %s %s with %d requests on it", e.Replica, e.Verb, e.Item, e.Inflight)
				}
			case e.Kind == check.Answer && e.Outcome == check.Broken && e.TookMs >= deadlineMs:
				f.T.Logf("the stream of ticket %s ended after %d ms", e.Ticket, e.TookMs)
			case e.Kind == check.Answer && e.Outcome == check.Broken:
				f.T.Errorf("the stream of ticket %s broke after %d ms: %s", e.Ticket, e.TookMs, e.Why)
			}
		}
	})
	if unloads < 20 && !testing.Short() {
		t.Errorf("only %d orders to unload, too few to prove anything", unloads)
	}
}

// churn asks for ever other items, so that controllers order all the time.
func (f *Fleet) churn(d time.Duration) {
	spots, fl := f.Spots(), f.D.Flows[1]
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		it := fl.Items[f.Rnd.IntN(len(fl.Items))]
		f.Group.Go(func(ctx context.Context) {
			f.Clients.Ask(ctx, spots[f.Rnd.IntN(len(spots))], stand.Request{Class: "churn", Route: fl.Route, Item: it, Prompt: "p"})
		})
	}
}

// Orders flow while their controllers are cut off, frozen or restarted; the
// replicas stay reachable for the old controller all along.
func TestHandoversUnderOrders(t *testing.T) {
	changed := 0
	Seeds(t, 6, either, func(f *Fleet) {
		// Room for little, so that everything asked for moves something.
		for id, r := range f.Replicas {
			if strings.HasPrefix(id, "m-") {
				r.Shrink(5000)
			}
		}
		f.churn(15 * time.Second)
		for round := range 3 {
			n := f.Cores[0]
			for _, r := range f.status().Replicas {
				for _, o := range f.Cores {
					if r.Listed.Model && o.Name == r.Controller {
						n = o
					}
				}
			}
			var rest []string
			for _, o := range f.Cores {
				if o != n {
					rest = append(rest, o.IP)
				}
			}
			switch round {
			case 0:
				f.Between([]string{n.IP}, rest, true)
				// Suspicion, the old hold, the quarantine and a new keeper of the pace take up to 15 s.
				f.churn(25 * time.Second)
				f.Net.Heal()
			case 1:
				f.Freeze(n)
				f.churn(5 * time.Second)
				f.Thaw(n)
			case 2:
				f.KillCore(n, true)
				f.StartCore(n)
				f.churn(10 * time.Second)
			}
			f.churn(10 * time.Second)
		}
		who := map[string]map[string]bool{}
		for _, e := range f.Rec.Events() {
			if e.Kind == check.OrderCame {
				if who[e.Replica] == nil {
					who[e.Replica] = map[string]bool{}
				}
				who[e.Replica][e.Controller] = true
			}
		}
		for _, cs := range who {
			if len(cs) > 1 {
				changed++
			}
		}
	})
	if changed == 0 && !testing.Short() {
		t.Error("no replica changed its controller; nothing was proved")
	}
}
