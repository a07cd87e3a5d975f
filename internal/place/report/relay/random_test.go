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

// life is an agent that counts, begins and ends requests, and acknowledges.
type life struct {
	now  report.Report
	base report.Report // what the relay's core has
}

func (l *life) step(rnd *rand.Rand, boot string) {
	if l.now.Boot != boot {
		l.now = report.Report{Agent: l.now.Agent, Boot: boot, Relay: true, Version: l.now.Version}
		l.base = report.Report{}
	}
	l.now.Version++
	l.now.Demand = added(l.now.Demand, fmt.Sprint("m", rnd.IntN(6)), 1+uint64(rnd.IntN(3)))
	l.now.Acked = added(l.now.Acked, fmt.Sprint("r", rnd.IntN(4)), state.Stamp{Epoch: 1, Version: l.now.Version})
	l.now.Inflight = map[string]map[string]int{fmt.Sprint("r", rnd.IntN(4)): {fmt.Sprint("m", rnd.IntN(6)): 1 + rnd.IntN(3)}}
	l.now.Waiting = nil
	if rnd.IntN(4) == 0 {
		l.now.Waiting = map[string]int{"m0": 1}
	}
}

// added is a map with one entry more; the one before is left as it is.
func added[V any](before map[string]V, key string, value V) map[string]V {
	out := map[string]V{key: value}
	for k, v := range before {
		if k != key {
			out[k] = v
		}
	}
	return out
}

// Whatever is lost on the way, cores that are silent or begin anew, agents and proxies that
// begin anew among it, in the end every core has the newest report of every agent.
func TestInTheEndEveryCoreHasEveryReport(t *testing.T) {
	for seed := range uint64(30) {
		among(t, func(t *testing.T, p *peers) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			lives := []*life{{now: report.Report{Agent: "e"}}, {now: report.Report{Agent: "f"}}, {now: report.Report{Agent: "g"}}}
			boots := map[string]int{}
			round := func() {
				for _, l := range lives {
					l.step(rnd, fmt.Sprint(l.now.Agent, boots[l.now.Agent]))
					p.tell(t, l, rnd)
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
					p.lose(core)
				case 4:
					boots[lives[rnd.IntN(len(lives))].now.Agent]++
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
				for _, l := range lives {
					got, want := table.Of(l.now.Agent).Report, l.now
					want.Relay = false
					if !reflect.DeepEqual(sorted(got), sorted(want)) {
						t.Fatalf("seed %d: %s has %+v, want %+v", seed, name, got, want)
					}
				}
			}
		})
	}
}

// sorted is a report as its bytes, which are the same for reports that are.
func sorted(r report.Report) []byte {
	if len(r.Waiting) == 0 {
		r.Waiting = nil
	}
	return wire.Marshal(r)
}

// tell lays an agent's report in the relay's core, as the difference or whole, and tells the relay.
func (p *peers) tell(t *testing.T, l *life, rnd *rand.Rand) {
	t.Helper()
	sent := l.now
	if l.base.Version != 0 && rnd.IntN(5) > 0 {
		sent = l.now.SinceInflight(l.base)
	}
	l.base = l.now
	p.take(t, sent)
}

// FuzzTake holds that no batch breaks a core, and that what is not taken is named once, of the batch's reports.
func FuzzTake(f *testing.F) {
	whole := report.Report{Agent: "e", Boot: "x", Version: 2, Demand: map[string]uint64{"m": 1}}
	f.Add(wire.Marshal(whole), wire.Marshal(whole.Since(report.Report{Agent: "e", Boot: "x", Version: 1})))
	f.Add([]byte{}, []byte{0xff})
	f.Add([]byte{0xa0}, wire.Marshal("no report"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		table := report.NewTable()
		b := Batch{}
		b.Reports = append(b.Reports, first, second, wire.Marshal(whole))
		got, err := Take(t.Context(), b, into(table))
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range got.NotTaken {
			if i < 0 || i >= len(b.Reports) {
				t.Errorf("report %d of %d was not taken", i, len(b.Reports))
			}
		}
		if len(got.NotTaken) > len(b.Reports) {
			t.Errorf("%d of %d were not taken", len(got.NotTaken), len(b.Reports))
		}
		if d := table.Of("e"); d.Version == 0 && !bytes.Contains(append(first, second...), []byte("e")) {
			t.Error("a sound report was not taken")
		}
	})
}
