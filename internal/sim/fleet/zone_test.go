package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/stand"
)

// A zone is cut off from the platform and from everyone else, but not from its
// clients and not from the replicas. Its nodes still hear one another, a core among them,
// and yet none of them can learn of a leaving mark.
func TestAZoneCutOffSendsNothing(t *testing.T) {
	Seeds(t, 3, func(seed uint64) stand.Deployment {
		d := stand.Cascadia()
		if seed%2 == 0 {
			d = stand.Fotofamilia()
		}
		return d.Sized(3+int(1-seed%2), 6, 4, 3, 10, 4)
	}, func(f *Fleet) {
		f.Traffic(1)
		time.Sleep(12 * time.Second)
		zone := f.Edges[0].Zone
		var in, out []string
		lost := map[string]bool{}
		for _, n := range append(append([]*Node{}, f.Cores...), f.Edges...) {
			if n.Zone == zone {
				in = append(in, n.IP)
				lost[n.Name] = true
			} else {
				out = append(out, n.IP)
			}
		}
		if len(in) < 3 {
			f.T.Fatalf("the zone has only %d machines", len(in))
		}
		f.Between(in, append(out, "10.9.0.1"), true)
		for name := range lost {
			f.Rec.Put(check.Event{Kind: check.EdgeDown, Node: name})
		}
		time.Sleep(time.Second)
		f.Platform.Mark("m-01", true)
		f.Platform.Mark("s-01", true)
		from := f.Rec.Events()[len(f.Rec.Events())-1].At
		time.Sleep(12 * time.Second)
		// Nobody waits for the answer, and it says when to come again.
		told, served := 0, 0
		for _, e := range f.Rec.Events() {
			switch {
			case e.Kind != check.Answer || e.At < from+4*time.Second:
			case lost[e.Node] && e.Outcome == check.TurnedNo && e.Retry && e.TookMs < 100:
				told++
			case !lost[e.Node] && e.Outcome == check.Whole:
				served++
			}
		}
		if told < 10 || served < 10 {
			f.T.Errorf("cut off: %d turned away at once; elsewhere: %d served", told, served)
		}
		f.Net.Heal()
		f.Platform.Mark("m-01", false)
		f.Platform.Mark("s-01", false)
		time.Sleep(3 * time.Second)
		for name := range lost {
			f.Rec.Put(check.Event{Kind: check.EdgeUp, Node: name})
		}
		before := f.count(check.Answer, func(e check.Event) bool { return lost[e.Node] && e.Outcome == check.Whole })
		time.Sleep(5 * time.Second)
		if f.count(check.Answer, func(e check.Event) bool { return lost[e.Node] && e.Outcome == check.Whole }) < before+10 {
			f.T.Error("the zone does not serve again")
		}
	})
}

// The platform is silent for everyone: as long as most cores hear each other,
// whatever is learned reaches every edge, and all go on.
func TestASilentPlatformStopsNobody(t *testing.T) {
	Seeds(t, 2, either, func(f *Fleet) {
		f.Traffic(1)
		time.Sleep(10 * time.Second)
		f.Between(append(IPs(f.Cores), IPs(f.Edges)...), []string{"10.9.0.1"}, true)
		time.Sleep(6 * time.Second)
		from := f.Rec.Events()[len(f.Rec.Events())-1].At
		// One core fewer changes nothing.
		f.KillCore(f.Cores[1], true)
		time.Sleep(10 * time.Second)
		urgent, gone := f.D.Flows[0].Class, 0
		for _, e := range f.Rec.Events() {
			if e.Kind == check.Answer && e.At > from && e.Class == urgent && e.Outcome != check.Whole {
				gone++
				f.T.Logf("%v %s: %s %s", e.At, e.Node, e.Outcome, e.Why)
			}
		}
		if gone > 0 {
			f.T.Errorf("%d urgent requests were not served while the platform was silent", gone)
		}
		f.StartCore(f.Cores[1])
		f.Net.Heal()
		time.Sleep(5 * time.Second)
	})
}

// An agent is started anew, a configuration is acknowledged, and in the same moment all
// cores are lost, two seeds among them: the new agent knows nobody who has it.
func TestANewAgentIsNotAloneWithoutCores(t *testing.T) {
	Seeds(t, 8, either, func(f *Fleet) {
		time.Sleep(5 * time.Second)
		n := f.Edges[f.Rnd.IntN(len(f.Edges))]
		f.KillAgent(n)
		// Long enough for the others to think it dead, so that nobody will look for it.
		time.Sleep(6 * time.Second)
		f.StartAgent(n)
		serial, ok := f.patchNow(0)
		for _, c := range f.Cores {
			f.KillCore(c, true)
		}
		if !ok {
			f.T.Fatal("the change was not taken")
		}
		f.Until(2*time.Second, "the change is in force everywhere", func() bool {
			for _, n := range f.Edges {
				if s, _ := n.Proxy.ActiveConfig(); s < serial {
					return false
				}
			}
			return true
		})
		time.Sleep(4 * time.Second)
		for _, c := range f.Cores {
			f.StartCore(c)
		}
		f.back()
		time.Sleep(8 * time.Second)
	})
}

// What waited at a frozen machine's door is served when it wakes: it is out of
// touch for a moment only.
func TestWhatWaitedAtAFrozenEdgeIsServed(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		f.Traffic(0.3)
		time.Sleep(10 * time.Second)
		n := f.Rnd.IntN(len(f.Edges))
		f.Freeze(f.Edges[n])
		time.Sleep(time.Duration(4+f.Rnd.IntN(6)) * time.Second)
		fl, answers := f.D.Flows[0], make(chan check.Event, 30)
		for range cap(answers) {
			f.Group.Go(func(ctx context.Context) {
				answers <- f.Clients.Ask(ctx, f.Spots()[n], stand.Request{Class: "waits", Route: fl.Route, Prompt: "p", Repeatable: true})
			})
		}
		time.Sleep(500 * time.Millisecond)
		f.Thaw(f.Edges[n])
		whole := 0
		for range cap(answers) {
			if e := <-answers; e.Outcome == check.Whole {
				whole++
			} else {
				f.T.Logf("%s after %d ms: %s", e.Outcome, e.TookMs, e.Why)
			}
		}
		if whole < cap(answers)*9/10 {
			f.T.Errorf("%d of %d that waited were served", whole, cap(answers))
		}
	})
}

// Replicas stand still with a load order unread and start on it when they wake, all at
// once, while the others load on: the store's pace holds all the same.
func TestFrozenReplicasWakeWithOrders(t *testing.T) {
	late := 0
	Seeds(t, 6, func(seed uint64) stand.Deployment {
		return stand.Cascadia().Sized(3, 3, 8, 2, 90, 1)
	}, func(f *Fleet) {
		time.Sleep(12 * time.Second)
		spots, fl := f.Spots(), f.D.Flows[2]
		ask := func(n, from int) {
			for i := range n {
				f.Group.Go(func(ctx context.Context) {
					f.Clients.Ask(ctx, spots[i%len(spots)], stand.Request{Class: "rare", Route: fl.Route, Item: fl.Items[from+i], Prompt: "p", Repeatable: true})
				})
			}
		}
		// Nobody has any of these, so that loads wait for the store on every replica when it has room again.
		ask(20, len(fl.Items)-20)
		time.Sleep(time.Duration(4500+f.Rnd.IntN(1000)) * time.Millisecond)
		var frozen []string
		for i := range 5 {
			id := []string{"m-01", "m-02", "m-03", "m-04", "m-05"}[i]
			f.Net.Halt(f.ReplicaIP(id))
			f.Replicas[id].Freeze()
			frozen = append(frozen, id)
		}
		for i := range 10 {
			ask(3, len(fl.Items)-50+3*i)
			time.Sleep(1500 * time.Millisecond)
		}
		woke := f.Rec.Events()[len(f.Rec.Events())-1].At
		for _, id := range frozen {
			f.Net.Thaw(f.ReplicaIP(id))
			f.Replicas[id].Thaw()
		}
		time.Sleep(500 * time.Millisecond)
		for _, e := range f.Rec.Events() {
			if e.Kind == check.LoadStart && e.At >= woke && slices.Contains(frozen, e.Replica) {
				late++
			}
		}
		time.Sleep(20 * time.Second)
	})
	t.Logf("%d loads started as a replica woke", late)
}
