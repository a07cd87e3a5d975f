package fleet

import (
	"context"
	"testing"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/stand"
)

// Far more is asked than can be answered, at all edges at once. What cannot be
// served is turned away here; it is not sent to replicas that must refuse it, which uses
// up the retries, nor so late that its caller learns only that nobody knows.
func TestACrowdIsNotSentToFullReplicas(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		time.Sleep(12 * time.Second)
		spots, fl := f.Spots(), f.D.Flows[1]
		for range 20 {
			for i := range 50 {
				f.Group.Go(func(ctx context.Context) {
					f.Clients.Ask(ctx, spots[i%len(spots)], stand.Request{Class: "crowd", Route: fl.Route, Item: conf.Item{Model: "model-03"}, Prompt: "p", Pieces: 60})
				})
			}
			time.Sleep(time.Second)
		}
		time.Sleep(20 * time.Second)
		arrived, ran := f.count(check.Arrived, nil), f.count(check.RunStart, nil)
		n, turned := f.Tally()["crowd"], []int64{}
		for _, e := range f.Rec.Events() {
			if e.Kind == check.Answer && e.Class == "crowd" && e.Outcome == check.TurnedNo {
				turned = append(turned, e.TookMs)
				if !e.Retry {
					f.T.Errorf("turned away without Retry-After: %s", e.Why)
				}
			}
		}
		atOnce := 0
		for _, ms := range turned {
			if ms < 100 {
				atOnce++
			}
		}
		f.T.Logf("%v; %d arrived, %d ran; %d of %d turned away within 100 ms", n, arrived, ran, atOnce, len(turned))
		if arrived-ran > arrived/20 {
			f.T.Errorf("%d of %d that arrived were not run", arrived-ran, arrived)
		}
		if n[check.Unknown] > 20 || n[check.Whole] < 200 || 10*atOnce < 7*len(turned) {
			f.T.Errorf("%v; %d of %d turned away at once", n, atOnce, len(turned))
		}
	})
}

// More edges than a replica has places, each with a few callers for the same
// model: what the replicas must refuse is a small part of what they are sent.
func TestEdgesThatOutnumberThePlaces(t *testing.T) {
	if testing.Short() {
		t.Skip("a crowd of callers; the race detector sees the same code in shorter runs")
	}
	Seeds(t, 3, func(uint64) stand.Deployment {
		d := stand.Cascadia()
		d.Replica.Slots = 4
		return d.Sized(3, 24, 3, 2, 4, 1)
	}, func(f *Fleet) {
		time.Sleep(12 * time.Second)
		spots, fl := f.Spots(), f.D.Flows[1]
		for range 20 {
			for i := range 2 * len(spots) {
				f.Group.Go(func(ctx context.Context) {
					f.Clients.Ask(ctx, spots[i%len(spots)], stand.Request{Class: "crowd", Route: fl.Route, Item: conf.Item{Model: "model-03"}, Prompt: "p", Pieces: 30})
				})
			}
			time.Sleep(time.Second)
		}
		time.Sleep(20 * time.Second)
		arrived, ran, n := f.count(check.Arrived, nil), f.count(check.RunStart, nil), f.Tally()["crowd"]
		f.T.Logf("%v; %d arrived, %d ran, %d retries", n, arrived, ran, f.count(check.Arrived, func(e check.Event) bool { return e.Attempt > 1 }))
		if arrived-ran > arrived/10 || n[check.Whole] < 100 {
			f.T.Errorf("%d of %d that arrived were not run; %v", arrived-ran, arrived, n)
		}
	})
}
