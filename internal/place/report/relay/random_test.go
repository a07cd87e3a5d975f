package relay

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/state"
)

// simulatedAgent generates reports with random request counts, in-flight requests and acknowledgements.
type simulatedAgent struct {
	latest report.Report
	base   report.Report // the last report sent to the relay's core
}

func (l *simulatedAgent) step(rnd *rand.Rand, boot string) {
	if l.latest.Boot != boot {
		l.latest = report.Report{Agent: l.latest.Agent, Boot: boot, RelayRequested: true, Version: l.latest.Version}
		l.base = report.Report{}
	}
	l.latest.Version++
	l.latest.Demand = withEntry(l.latest.Demand, fmt.Sprint("m", rnd.IntN(6)), 1+uint64(rnd.IntN(3)))
	l.latest.Acked = withEntry(l.latest.Acked, fmt.Sprint("r", rnd.IntN(4)), state.Stamp{Epoch: 1, Version: l.latest.Version})
	l.latest.Inflight = map[string]map[string]int{fmt.Sprint("r", rnd.IntN(4)): {fmt.Sprint("m", rnd.IntN(6)): 1 + rnd.IntN(3)}}
	l.latest.Waiting = nil
	if rnd.IntN(4) == 0 {
		l.latest.Waiting = map[string]int{"m0": 1}
	}
}

// withEntry returns a copy of a map with one entry added or replaced.
func withEntry[V any](before map[string]V, key string, value V) map[string]V {
	out := map[string]V{key: value}
	for k, v := range before {
		if k != key {
			out[k] = v
		}
	}
	return out
}

// Cores that stop responding or restart, and proxies that restart, lose batches and bases at random. Afterwards
// every core must hold the latest report of every agent.
func TestAllCoresEventuallyHaveEveryReport(t *testing.T) {
	for seed := range uint64(30) {
		runWithPeers(t, func(t *testing.T, p *testPeers) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			agents := []*simulatedAgent{{latest: report.Report{Agent: "e"}}, {latest: report.Report{Agent: "f"}}, {latest: report.Report{Agent: "g"}}}
			boots := map[string]int{}
			round := func() {
				for _, l := range agents {
					l.step(rnd, fmt.Sprint(l.latest.Agent, boots[l.latest.Agent]))
					p.reportRandomly(t, l, rnd)
				}
				time.Sleep(time.Duration(100+rnd.IntN(500)) * time.Millisecond)
			}
			for range 40 {
				core := string("bc"[rnd.IntN(2)])
				switch rnd.IntN(6) {
				case 0:
					p.setSilent(core, true)
				case 1, 2:
					p.setSilent(core, false)
				case 3:
					p.restart(core)
				case 4:
					boots[agents[rnd.IntN(len(agents))].latest.Agent]++
				}
				round()
			}
			p.setSilent("b", false)
			p.setSilent("c", false)
			for range 3 {
				round()
			}
			time.Sleep(time.Second)
			for name, table := range p.tables {
				for _, l := range agents {
					got, want := table.Get(l.latest.Agent).Report, l.latest
					want.RelayRequested = false
					if !reflect.DeepEqual(canonical(got), canonical(want)) {
						t.Fatalf("seed %d: %s has %+v, want %+v", seed, name, got, want)
					}
				}
			}
		})
	}
}

// canonical returns an encoding that is the same for equal reports.
func canonical(r report.Report) []byte {
	if len(r.Waiting) == 0 {
		r.Waiting = nil
	}
	return wire.Marshal(r)
}

// reportRandomly sends an agent's report to the relay's core, as a delta or in full.
func (p *testPeers) reportRandomly(t *testing.T, l *simulatedAgent, rnd *rand.Rand) {
	t.Helper()
	sent := l.latest
	if l.base.Version != 0 && rnd.IntN(5) > 0 {
		sent = l.latest.DeltaWithInflight(l.base)
	}
	l.base = l.latest
	p.putAndRelay(t, sent)
}

// FuzzApply checks that no batch makes Apply fail, that rejected indexes are within the batch and that there are no
// more of them than reports.
func FuzzApply(f *testing.F) {
	whole := report.Report{Agent: "e", Boot: "x", Version: 2, Demand: map[string]uint64{"m": 1}}
	f.Add(wire.Marshal(whole), wire.Marshal(whole.DeltaFrom(report.Report{Agent: "e", Boot: "x", Version: 1})))
	f.Add([]byte{}, []byte{0xff})
	f.Add([]byte{0xa0}, wire.Marshal("no report"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		table := report.NewTable()
		b := Batch{}
		b.Reports = append(b.Reports, first, second, wire.Marshal(whole))
		got, err := Apply(t.Context(), b, putInto(table))
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range got.Rejected {
			if i < 0 || i >= len(b.Reports) {
				t.Errorf("rejected index %d is out of range for %d reports", i, len(b.Reports))
			}
		}
		if len(got.Rejected) > len(b.Reports) {
			t.Errorf("%d rejected reports in a batch of %d", len(got.Rejected), len(b.Reports))
		}
		if d := table.Get("e"); d.Version == 0 && !bytes.Contains(append(first, second...), []byte("e")) {
			t.Error("a valid report was not stored")
		}
	})
}
