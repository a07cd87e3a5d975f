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

// edge draws the successive reports of one proxy.
type edge struct {
	rnd *rand.Rand
	now Report
}

func newEdge(seed uint64) *edge {
	return &edge{rnd: rand.New(rand.NewPCG(seed, 1)), now: Report{Agent: "edge-1", Boot: "b1"}}
}

func (e *edge) next() Report {
	r := e.now
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
			r.Tenants[fmt.Sprint("t", i)] = Tenant{Share: 1 + i, Tokens: r.Version}
		}
	}
	e.now = r
	return r
}

func clone[V any](m map[string]V) map[string]V {
	out := map[string]V{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

// sent is a report as it comes out at the other end.
func sent(t *testing.T, r Report) Report {
	t.Helper()
	var out Report
	if err := wire.Unmarshal(wire.Marshal(r), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Differences, of which some are lost, make the same table as whole reports.
func TestDifferencesMakeTheWholeReport(t *testing.T) {
	for seed := range uint64(200) {
		e, core := newEdge(seed), NewTable()
		var taken Report
		for range 30 {
			r := e.next()
			what := r
			if taken.Version > 0 {
				what = r.Since(taken)
			}
			if e.rnd.IntN(4) == 0 {
				continue // lost on the way, or its answer: the next one is from the same base
			}
			if outcome := core.Put(sent(t, what), 0); outcome != Kept {
				t.Fatalf("seed %d: report %d on %d: outcome %d", seed, r.Version, taken.Version, outcome)
			}
			taken = r
			got := core.All()["edge-1"].Report
			if !reflect.DeepEqual(sent(t, got), sent(t, r)) {
				t.Fatalf("seed %d: got %+v, want %+v", seed, got, r)
			}
		}
	}
}

func TestADifferenceFromWhatIsNotThereIsNotKept(t *testing.T) {
	e := newEdge(1)
	first, second, third := e.next(), e.next(), e.next()
	core := NewTable()
	if outcome := core.Put(second.Since(first), 0); outcome != NoBase {
		t.Errorf("without any report: %d", outcome)
	}
	core.Put(first, 0)
	if outcome := core.Put(third.Since(second), 0); outcome != NoBase {
		t.Errorf("from a report that was never taken: %d", outcome)
	}
	other := second.Since(first)
	other.Boot = "b2"
	if outcome := core.Put(other, 0); outcome != NoBase {
		t.Errorf("from another life of the proxy: %d", outcome)
	}
	if outcome := core.Put(second.Since(first), 0); outcome != Kept {
		t.Errorf("from what is there: %d", outcome)
	}
	if outcome := core.Put(second.Since(first), 0); outcome != Stale {
		t.Errorf("the same again: %d", outcome)
	}
}

// What a reader of the table was given never changes under its hands.
func TestASnapshotIsNotChangedByADifference(t *testing.T) {
	e, core := newEdge(3), NewTable()
	last := e.next()
	core.Put(last, 0)
	for range 50 {
		before := core.All()["edge-1"].Report
		want := sent(t, before)
		r := e.next()
		core.Put(r.Since(last), 0)
		last = r
		if !reflect.DeepEqual(sent(t, before), want) {
			t.Fatal("an earlier snapshot has changed")
		}
	}
}

// A report that was passed on may come after a later one that was not: of another life of
// the proxy, it would count what is no more.
func TestAReportMadeBeforeIsStaleWhicheverWayItComes(t *testing.T) {
	table := NewTable()
	put := func(boot string, version uint64, agentBoot string, order uint64) Outcome {
		return table.Put(Report{Agent: "e", Boot: boot, Version: version, AgentBoot: agentBoot, Order: order}, time.Second)
	}
	for i, c := range []struct {
		boot      string
		version   uint64
		agentBoot string
		order     uint64
		want      Outcome
	}{
		{"first life", 7, "a", 7, Kept},
		{"second life", 1, "a", 9, Kept},
		{"first life", 8, "a", 8, Stale},
		{"second life", 2, "a", 10, Kept},
		{"third life", 1, "b", 1, Kept}, // the agent began anew as well
		{"fourth life", 1, "", 0, Kept}, // an agent of an earlier version
		{"fifth life", 1, "b", 2, Kept},
	} {
		if got := put(c.boot, c.version, c.agentBoot, c.order); got != c.want {
			t.Errorf("%d: %v, want %v", i, got, c.want)
		}
	}
}
