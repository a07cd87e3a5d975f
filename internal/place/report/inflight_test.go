package report

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"drumstall.example/internal/kernel/wire"
)

// inflightGenerator generates successive reports of a proxy with many requests in flight.
type inflightGenerator struct {
	rnd      *rand.Rand
	latest   Report
	requests [][2]string
}

func newInflightGenerator(seed uint64, count int) *inflightGenerator {
	b := &inflightGenerator{rnd: rand.New(rand.NewPCG(seed, 2)), latest: Report{Agent: "edge-1", Boot: "b1", Demand: map[string]uint64{}}}
	for range count {
		b.begin()
	}
	return b
}

func (b *inflightGenerator) begin() {
	b.requests = append(b.requests, [2]string{fmt.Sprintf("m-%04d-%04x", b.rnd.IntN(600), 7), fmt.Sprintf("model-%04d", b.rnd.IntN(3))})
}

// next returns a report after some requests have ended and others have begun.
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

// Deltas of in-flight requests, some of which are lost, produce the same table as full reports.
func TestAppliedInflightDeltasEqualFullReports(t *testing.T) {
	for seed := range uint64(50) {
		b, core := newInflightGenerator(seed, int(2*seed)), NewTable()
		var acked Report
		for range 20 {
			r := b.next(b.rnd.IntN(6), b.rnd.IntN(6))
			message := r
			if acked.Version > 0 {
				message = r.DeltaWithInflight(acked)
			}
			if b.rnd.IntN(4) == 0 {
				continue // the report or its response is lost: the next delta has the same base
			}
			before := core.All()["edge-1"].Report
			unchanged := roundTrip(t, before)
			if outcome := core.Put(roundTrip(t, message), 0); outcome != Stored {
				t.Fatalf("seed %d: report %d, base %d: outcome %d", seed, r.Version, acked.Version, outcome)
			}
			acked = r
			if got := core.All()["edge-1"].Report; !reflect.DeepEqual(roundTrip(t, got), roundTrip(t, r)) {
				t.Fatalf("seed %d: got %+v, want %+v", seed, got, r)
			}
			if !reflect.DeepEqual(roundTrip(t, before), unchanged) {
				t.Fatalf("seed %d: a report returned earlier has changed", seed)
			}
		}
		sum := 0
		for _, items := range acked.Inflight {
			for _, n := range items {
				sum += n
			}
		}
		got := 0
		for replica := range acked.Inflight {
			got += core.InflightOn(replica, 0)
		}
		if got != sum {
			t.Fatalf("seed %d: %d requests counted in flight, want %d", seed, got, sum)
		}
	}
}

// At the design size, with 156 requests in flight of which 8 change between two reports, the delta is a
// tenth of the full in-flight table. With few requests in flight or when all have changed, the full table is sent.
func TestInflightDeltaIsSmall(t *testing.T) {
	b := newInflightGenerator(1, 156)
	base := b.next(0, 0)
	next := b.next(4, 4)
	full, delta := len(wire.Marshal(next.DeltaFrom(base))), len(wire.Marshal(next.DeltaWithInflight(base)))
	t.Logf("%d bytes with the full in-flight table, %d with a delta", full, delta)
	if 5*delta > full {
		t.Errorf("%d bytes with the full in-flight table, %d with a delta; want at most a fifth", full, delta)
	}
	for name, r := range map[string]Report{"one of one": newInflightGenerator(2, 0).next(0, 1), "all others": newInflightGenerator(3, 100).next(100, 100)} {
		if d := r.DeltaWithInflight(base); d.InflightIsDelta || !reflect.DeepEqual(d.Inflight, r.Inflight) {
			t.Errorf("%s: in-flight table is not sent in full: %+v", name, d)
		}
	}
}
