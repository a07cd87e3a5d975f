package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/stand"
)

func TestCrowdLeavesUrgentOnesAlone(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		f.Traffic(1)
		time.Sleep(20 * time.Second)
		crowd := f.Rec.Events()
		from := crowd[len(crowd)-1].At
		spots, fl := f.Spots(), f.D.Flows[1]
		for i := range 1500 {
			f.Group.Go(func(ctx context.Context) {
				f.Clients.Ask(ctx, spots[i%len(spots)], stand.Request{Class: "crowd", Route: fl.Route, Item: fl.Items[i%3], Prompt: "the same for all"})
			})
		}
		time.Sleep(20 * time.Second)
		urgent := f.D.Flows[0].Class
		var quiet, busy []int64
		for _, e := range f.Rec.Events() {
			if e.Kind == check.Answer && e.Class == urgent {
				if e.Outcome != check.Whole {
					f.T.Errorf("an urgent request in a crowd: %s %s", e.Outcome, e.Why)
				}
				if e.At < from {
					quiet = append(quiet, e.TookMs)
				} else {
					busy = append(busy, e.TookMs)
				}
			}
		}
		slices.Sort(quiet)
		slices.Sort(busy)
		q, b := quiet[len(quiet)*9/10], busy[len(busy)*9/10]
		f.T.Logf("urgent p90: quiet %d ms, crowd %d ms", q, b)
		if b > 2*q+5 {
			f.T.Errorf("urgent p90 went from %d ms to %d ms in a crowd", q, b)
		}
		for _, e := range f.Rec.Events() {
			if e.Kind == check.Answer && e.Outcome == check.TurnedNo && e.Status >= 500 && !e.Retry {
				f.T.Errorf("turned away without Retry-After: %s", e.Why)
			}
		}
	})
}

func TestManyRareModelsInOneMoment(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		time.Sleep(3 * time.Second)
		spots, fl := f.Spots(), f.D.Flows[1]
		for i := range 80 {
			it := fl.Items[len(fl.Items)-1-i%8]
			f.Group.Go(func(ctx context.Context) {
				f.Clients.Ask(ctx, spots[i%len(spots)], stand.Request{Class: "rare", Route: fl.Route, Item: it, Prompt: "p"})
			})
		}
		time.Sleep(40 * time.Second)
		loads := map[string]int{}
		for _, e := range f.Rec.Events() {
			if e.Kind == check.LoadStart {
				loads[e.Item]++
			}
		}
		// A model is loaded for itself and for each of its adapters that is asked for.
		asked := map[string]int{}
		for i := range 8 {
			it := fl.Items[len(fl.Items)-1-i]
			asked[it.String()]++
			if it.Adapter != "" {
				asked[it.Model]++
			}
		}
		for it, n := range loads {
			if n > 2*max(asked[it], 1) {
				for _, e := range f.Rec.Events() {
					if strings.HasPrefix(e.Item, it) && e.Kind != check.Sent {
						f.T.Logf("%v %s %s %s %s %s", e.At, e.Kind, e.Replica, e.Verb, e.Item, e.Ticket)
					}
				}
				f.T.Errorf("%s was loaded %d times for misses of one moment", it, n)
			}
		}
		if n := f.Tally()["rare"][check.Whole]; n < 40 {
			f.T.Errorf("only %d of 80 were answered: %v", n, f.Tally()["rare"])
		}
	})
}

// What could make room is in use for a moment: the request is held for it, not
// turned away.
func TestRoomInUseIsWaitedFor(t *testing.T) {
	Seeds(t, 2, func(seed uint64) stand.Deployment {
		d := Small(3).Sized(3, 2, 1, 2, 7, 1)
		// What claims pin takes 9000; one of model-06 (5000) and model-07 (4000) fits beside it.
		d.Replica.CapacityMib = 14000
		return d
	}, func(f *Fleet) {
		time.Sleep(15 * time.Second)
		spots, route := f.Spots(), f.D.Flows[1].Route
		ask := func(model string, pieces int) <-chan check.Event {
			got := make(chan check.Event, 1)
			f.Group.Go(func(ctx context.Context) {
				got <- f.Clients.Ask(ctx, spots[0], stand.Request{Class: model, Route: route, Item: conf.Item{Model: model}, Prompt: "p", Pieces: pieces})
			})
			return got
		}
		if e := <-ask("model-06", 1); e.Outcome != check.Whole {
			f.T.Fatalf("the first is not served: %+v", e)
		}
		long := ask("model-06", 75)
		time.Sleep(time.Second)
		if e := <-ask("model-07", 1); e.Outcome != check.Whole {
			f.T.Errorf("one that waits for room in use is not served: %+v", e)
		}
		if e := <-long; e.Outcome != check.Whole {
			f.T.Errorf("the one that used it is cut off: %+v", e)
		}
	})
}

func TestUrgentOnesFindPlacesInAFullProxy(t *testing.T) {
	Seeds(t, 2, either, func(f *Fleet) {
		serial, ok := f.Patch(0, []byte(fmt.Sprintf(`{"replace":{"limits":{"default":{"shots":8,"paceLoads":%d,"retryAllowance":%d}}}}`, f.D.PaceLoads, f.D.Allowance)), "")
		if !ok {
			f.T.Fatal("limits not taken")
		}
		f.Until(3*time.Second, "limits in force", func() bool {
			for _, n := range f.Edges {
				if s, _ := n.Proxy.ActiveConfig(); s < serial {
					return false
				}
			}
			return true
		})
		time.Sleep(2 * time.Second)
		f.Traffic(0.5)
		spots, fl := f.Spots(), f.D.Flows[1]
		for i := range 300 {
			f.Group.Go(func(ctx context.Context) {
				f.Clients.Ask(ctx, spots[i%len(spots)], stand.Request{Class: "crowd", Route: fl.Route, Item: conf.Item{Model: "model-01"}, Prompt: "same", Pieces: 20})
			})
		}
		time.Sleep(15 * time.Second)
		for _, e := range f.Rec.Events() {
			if e.Kind == check.Answer && e.Class == f.D.Flows[0].Class && (e.Outcome != check.Whole || e.TookMs > 300) {
				for _, x := range f.Rec.Events() {
					if x.Ticket == e.Ticket {
						f.T.Logf("%+v", x)
					}
				}
				f.T.Errorf("an urgent request in a full proxy: %s after %d ms %s", e.Outcome, e.TookMs, e.Why)
				break
			}
		}
	})
}

// Every class asks for far more of one model than there is, all at once: places go
// by weight, nobody is starved, and urgent ones do not notice.
func TestClassesShareACrowdByWeight(t *testing.T) {
	if testing.Short() {
		t.Skip("a crowd of callers; the race detector sees the same code in shorter runs")
	}
	Seeds(t, 2, either, func(f *Fleet) {
		f.Until(5*time.Second, "only the crowd's model is pinned", func() bool {
			_, ok := f.Patch(0, []byte(`{"replace":{"claims":{"always":{"group":"fleet","models":["model-03"],"minCopies":2}}},"remove":{"claims":["ready"]}}`), "")
			return ok
		})
		time.Sleep(15 * time.Second)
		f.Traffic(0.5)
		time.Sleep(5 * time.Second)
		from := time.Since(f.zero)
		spots := f.Spots()
		for range 20 {
			for _, fl := range f.D.Flows[1:] {
				for i := range 30 {
					f.Group.Go(func(ctx context.Context) {
						f.Clients.Ask(ctx, spots[i%len(spots)], stand.Request{Class: "crowd " + fl.Class, Route: fl.Route, Item: conf.Item{Model: "model-03"}, Prompt: "p", Pieces: 40})
					})
				}
			}
			time.Sleep(time.Second)
		}
		// Runs that began while all classes had requests waiting.
		class, runs := map[string]string{}, map[string]int{}
		for _, e := range f.Rec.Events() {
			switch {
			case e.Kind == check.Sent:
				class[e.Ticket] = e.Class
			case e.Kind == check.RunStart && e.At > from+3*time.Second && e.At < from+20*time.Second:
				runs[class[e.Ticket]]++
			}
		}
		p50, p99, n, failed := f.urgent(from, from+20*time.Second)
		a, b, c := runs["crowd "+f.D.Flows[1].Class], runs["crowd "+f.D.Flows[2].Class], runs["crowd "+f.D.Flows[3].Class]
		f.T.Logf("%s %d, %s %d, %s %d runs; urgent p50 %d p99 %d ms, %d answered, %d not", f.D.Flows[1].Class, a, f.D.Flows[2].Class, b, f.D.Flows[3].Class, c, p50, p99, n, failed)
		if c == 0 || b <= c || a <= b {
			f.T.Errorf("places did not go by weight: %v", runs)
		}
		if failed > 0 || n < 50 {
			f.T.Errorf("%d urgent requests were answered, %d were not", n, failed)
		}
	})
}
