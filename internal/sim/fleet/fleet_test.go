package fleet

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/stand"
)

// A node that learned of one other edge first took seconds to learn of a core,
// and had no configuration meanwhile.
func TestFirstConfigurationIsInForceSoon(t *testing.T) {
	seeds := uint64(12)
	if testing.Short() {
		seeds = 2
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			f := New(t, seed, stand.Cascadia())
			defer f.End()
			var ack time.Duration
			for _, e := range f.Rec.Events() {
				if e.Kind == check.ConfAck {
					ack = e.At
				}
			}
			if late := time.Since(f.Edges[0].clock.zero) - time.Hour - ack; late > 2*time.Second {
				t.Errorf("seed %d: all edges serve only %v after the first acknowledgement", seed, late)
			}
		})
	}
}

func TestQuietDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := stand.Cascadia()
		if testing.Short() {
			d = Small(3) // with the race detector the whole is slow
		}
		f := New(t, 1, d)
		f.Traffic(2)
		time.Sleep(time.Minute)
		f.Quiet()
		if _, ok := f.ReadBack(0); !ok {
			t.Error("no read-back")
		}
		for class, n := range f.Tally() {
			if n[check.Whole] == 0 {
				t.Errorf("class %s was never answered", class)
			}
			if n[check.LeftOut]+n[check.Failed]+n[check.NoConn] > 0 {
				t.Errorf("class %s on a day without faults: %v", class, n)
			}
		}
		bounds := f.bounds()
		for _, e := range f.Rec.Events() {
			if e.Kind == check.Answer && bounds.CutEarly(e) {
				t.Errorf("%v %s: the stream of ticket %s broke after %d ms: %s", e.At, e.Class, e.Ticket, e.TookMs, e.Why)
			}
			// Why: a replica that becomes free just before the deadline is worth an attempt; whose first piece then comes too late
			// learns so at the deadline. Nothing else may end as unknown without a fault.
			if e.Kind == check.Answer && e.Outcome == check.Unknown && (e.TookMs < bounds.Deadlines[e.Class].Milliseconds() || !strings.Contains(e.Why, "too_late")) {
				t.Errorf("%v %s %s after %d ms: %s", e.At, e.Class, e.Outcome, e.TookMs, e.Why)
			}
		}
		// Room kept for later loads once counted as taken, and a load before them was given up.
		for _, n := range f.Cores {
			for _, l := range n.Logs.Lines() {
				if strings.Contains(l, "load given up") && strings.Contains(l, "fit") {
					t.Error(l)
				}
			}
		}
		f.End()
	})
}
