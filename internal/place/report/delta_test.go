package report

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// reportGenerator generates successive random reports of one proxy.
type reportGenerator struct {
	rnd    *rand.Rand
	latest Report
}

func newReportGenerator(seed uint64) *reportGenerator {
	return &reportGenerator{rnd: rand.New(rand.NewPCG(seed, 1)), latest: Report{Agent: "edge-1", Boot: "b1"}}
}

func (e *reportGenerator) next() Report {
	r := e.latest
	r.Version++
	r.Demand, r.WorkMs, r.Acked = clone(r.Demand), clone(r.WorkMs), clone(r.Acked)
	for range e.rnd.IntN(4) {
		r.Demand[fmt.Sprint("m", e.rnd.IntN(9))]++
		r.WorkMs[fmt.Sprint("m", e.rnd.IntN(3))] += uint64(e.rnd.IntN(50))
		r.Acked[fmt.Sprint("r", e.rnd.IntN(5))] = state.Stamp{Epoch: 1, Version: r.Version}
	}
	if e.rnd.IntN(3) == 0 {
		delete(r.Acked, fmt.Sprint("r", e.rnd.IntN(5)))
	}
	r.Waiting = map[string]int{"m1": e.rnd.IntN(3)}
	if e.rnd.IntN(3) == 0 {
		r.TenantsVersion++
		r.Tenants = map[string]Tenant{}
		for i := range e.rnd.IntN(3) {
			r.Tenants[fmt.Sprint("t", i)] = Tenant{Share: 1 + i, PromptTokens: r.Version}
		}
	}
	e.latest = r
	return r
}

func clone[V any](m map[string]V) map[string]V {
	out := map[string]V{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

// roundTrip encodes and decodes a report.
func roundTrip(t *testing.T, r Report) Report {
	t.Helper()
	var out Report
	if err := wire.Unmarshal(wire.Marshal(r), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Deltas, some of which are lost, produce the same table as full reports.
func TestAppliedDeltasEqualFullReports(t *testing.T) {
	for seed := range uint64(200) {
		e, core := newReportGenerator(seed), NewTable()
		var acked Report
		for range 30 {
			r := e.next()
			message := r
			if acked.Version > 0 {
				message = r.DeltaFrom(acked)
			}
			if e.rnd.IntN(4) == 0 {
				continue // the report or its response is lost: the next delta has the same base
			}
			if outcome := core.Put(roundTrip(t, message), 0); outcome != Stored {
				t.Fatalf("seed %d: report %d, base %d: outcome %d", seed, r.Version, acked.Version, outcome)
			}
			acked = r
			got := core.All()["edge-1"].Report
			if !reflect.DeepEqual(roundTrip(t, got), roundTrip(t, r)) {
				t.Fatalf("seed %d: got %+v, want %+v", seed, got, r)
			}
		}
	}
}

func TestDeltaWithoutItsBaseIsRejected(t *testing.T) {
	e := newReportGenerator(1)
	first, second, third := e.next(), e.next(), e.next()
	core := NewTable()
	if outcome := core.Put(second.DeltaFrom(first), 0); outcome != MissingBase {
		t.Errorf("empty table: outcome %d", outcome)
	}
	core.Put(first, 0)
	if outcome := core.Put(third.DeltaFrom(second), 0); outcome != MissingBase {
		t.Errorf("base that was never stored: outcome %d", outcome)
	}
	other := second.DeltaFrom(first)
	other.Boot = "b2"
	if outcome := core.Put(other, 0); outcome != MissingBase {
		t.Errorf("base of another boot of the proxy: outcome %d", outcome)
	}
	if outcome := core.Put(second.DeltaFrom(first), 0); outcome != Stored {
		t.Errorf("stored base: outcome %d", outcome)
	}
	if outcome := core.Put(second.DeltaFrom(first), 0); outcome != Stale {
		t.Errorf("repeated delta: outcome %d", outcome)
	}
}

// A report returned by the table is never modified afterwards.
func TestApplyingADeltaDoesNotChangeEarlierSnapshots(t *testing.T) {
	e, core := newReportGenerator(3), NewTable()
	last := e.next()
	core.Put(last, 0)
	for range 50 {
		before := core.All()["edge-1"].Report
		want := roundTrip(t, before)
		r := e.next()
		core.Put(r.DeltaFrom(last), 0)
		last = r
		if !reflect.DeepEqual(roundTrip(t, before), want) {
			t.Fatal("a report returned earlier has changed")
		}
	}
}

// A relayed report may arrive after a later one that was sent directly. If it stems from an earlier boot
// of the proxy, storing it would count requests that no longer exist.
func TestOlderReportIsStaleRegardlessOfArrivalOrder(t *testing.T) {
	table := NewTable()
	put := func(boot string, version uint64, agentBoot string, order uint64) Outcome {
		return table.Put(Report{Agent: "e", Boot: boot, Version: version, AgentBoot: agentBoot, Sequence: order}, time.Second)
	}
	for i, c := range []struct {
		boot      string
		version   uint64
		agentBoot string
		order     uint64
		want      Outcome
	}{
		{"first life", 7, "a", 7, Stored},
		{"second life", 1, "a", 9, Stored},
		{"first life", 8, "a", 8, Stale},
		{"second life", 2, "a", 10, Stored},
		{"third life", 1, "b", 1, Stored}, // the agent restarted as well
		{"fourth life", 1, "", 0, Stored}, // an agent of an earlier version
		{"fifth life", 1, "b", 2, Stored},
	} {
		if got := put(c.boot, c.version, c.agentBoot, c.order); got != c.want {
			t.Errorf("report %d: outcome %v, want %v", i, got, c.want)
		}
	}
}
