package report

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"drumstall.example/internal/kernel/wire"
)

// busy draws the successive reports of a proxy that has many requests in flight.
type inflightGenerator struct {
	rnd      *rand.Rand
	latest   Report
	requests [][2]string
}

func newInflightGenerator(seed uint64, flights int) *inflightGenerator {
	b := &inflightGenerator{rnd: rand.New(rand.NewPCG(seed, 2)), latest: Report{Agent: "edge-1", Boot: "b1", Demand: map[string]uint64{}}}
	for range flights {
		b.begin()
	}
	return b
}

func (b *inflightGenerator) begin() {
	b.requests = append(b.requests, [2]string{fmt.Sprintf("m-%04d-%04x", b.rnd.IntN(600), 7), fmt.Sprintf("model-%04d", b.rnd.IntN(3))})
}

// next is a report after some requests have ended and others have begun.
func (b *inflightGenerator) next(ended, begun int) Report {
	for range min(ended, len(b.requests)) {
		i := b.rnd.IntN(len(b.requests))
		b.requests = append(b.requests[:i], b.requests[i+1:]...)
	}
	for range begun {
		b.begin()
	}
	r := b.latest
	r.Version++
	r.Inflight = map[string]map[string]int{}
	for _, f := range b.requests {
		if r.Inflight[f[0]] == nil {
			r.Inflight[f[0]] = map[string]int{}
		}
		r.Inflight[f[0]][f[1]]++
	}
	b.latest = r
	return r
}

// Differences of what is in flight, of which some are lost, make the same table as whole reports.
func TestAppliedInflightDeltasEqualFullReports(t *testing.T) {
	for seed := range uint64(50) {
		b, core := newInflightGenerator(seed, int(2*seed)), NewTable()
		var taken Report
		for range 20 {
			r := b.next(b.rnd.IntN(6), b.rnd.IntN(6))
			what := r
			if taken.Version > 0 {
				what = r.DeltaWithInflight(taken)
			}
			if b.rnd.IntN(4) == 0 {
				continue // lost on the way, or its answer: the next one is from the same base
			}
			before := core.All()["edge-1"].Report
			shown := roundTrip(t, before)
			if outcome := core.Put(roundTrip(t, what), 0); outcome != Stored {
				t.Fatalf("seed %d: report %d on %d: outcome %d", seed, r.Version, taken.Version, outcome)
			}
			taken = r
			if got := core.All()["edge-1"].Report; !reflect.DeepEqual(roundTrip(t, got), roundTrip(t, r)) {
				t.Fatalf("seed %d: got %+v, want %+v", seed, got, r)
			}
			if !reflect.DeepEqual(roundTrip(t, before), shown) {
				t.Fatalf("seed %d: an earlier snapshot has changed", seed)
			}
		}
		sum := 0
		for _, items := range taken.Inflight {
			for _, n := range items {
				sum += n
			}
		}
		got := 0
		for replica := range taken.Inflight {
			got += core.InflightOn(replica, 0)
		}
		if got != sum {
			t.Fatalf("seed %d: %d are counted in flight of %d", seed, got, sum)
		}
	}
}

// At the size to design for, with 156 requests in flight of which 8 change between two
// reports, the difference is a tenth of what is in flight; where little is in flight or all of it
// has changed, it is told whole as before.
func TestInflightDeltaIsSmall(t *testing.T) {
	b := newInflightGenerator(1, 156)
	base := b.next(0, 0)
	next := b.next(4, 4)
	whole, difference := len(wire.Marshal(next.DeltaFrom(base))), len(wire.Marshal(next.DeltaWithInflight(base)))
	t.Logf("%d bytes with what is in flight whole, %d as a difference", whole, difference)
	if 5*difference > whole {
		t.Errorf("%d bytes with what is in flight whole, %d as a difference", whole, difference)
	}
	for name, r := range map[string]Report{"one of one": newInflightGenerator(2, 0).next(0, 1), "all others": newInflightGenerator(3, 100).next(100, 100)} {
		if d := r.DeltaWithInflight(base); d.InflightIsDelta || !reflect.DeepEqual(d.Inflight, r.Inflight) {
			t.Errorf("%s: %+v", name, d)
		}
	}
}
