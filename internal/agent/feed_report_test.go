package agent

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"strconv"
	"testing"

	"drumstall.example/internal/core"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/place/report"
)

// Guards against a wrong report after any sequence of full reports and differences, with lost
// messages and agent restarts: the agent holds the newest full report, or none.
func TestFeedReportDiffsRebuildFullReport(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		a := &Agent{s: Settings{Name: "e", Zone: "z"}, env: core.Env{Clock: tick.MachineClock()}}
		now := report.Report{Agent: "e", Zone: "z", Boot: "b", Demand: map[string]uint64{}}
		var base report.Report
		for range 60 {
			now.Version++
			now.Demand = maps.Clone(now.Demand)
			now.Demand["m"+strconv.Itoa(rnd.IntN(5))]++
			sent := now
			if base.Version != 0 {
				sent = now.DeltaFrom(base)
			}
			switch rnd.IntN(10) {
			case 0: // the agent restarted
				a.feedReport.Store(nil)
			case 1: // the report is lost
				base = report.Report{}
				continue
			}
			a.mergeFeedReport(sent)
			held := a.feedReport.Load()
			if sent.Base != 0 && held == nil {
				base = report.Report{}
				continue
			}
			if !reflect.DeepEqual(*held, now) || !reflect.DeepEqual(a.latest.Load().r, now) {
				t.Fatalf("seed %d: held %+v, want %+v", seed, *held, now)
			}
			if base = now; rnd.IntN(10) == 0 { // the answer is lost
				base = report.Report{}
			}
		}
	}
}

func TestDiffFromAnotherProxyBootIsRejected(t *testing.T) {
	a := &Agent{s: Settings{Name: "e"}, env: core.Env{Clock: tick.MachineClock()}}
	first := report.Report{Boot: "b", Version: 1, Demand: map[string]uint64{"m": 7}}
	a.mergeFeedReport(first)
	other := report.Report{Boot: "c", Version: 2}
	a.mergeFeedReport(other.DeltaFrom(report.Report{Boot: "c", Version: 1}))
	if a.feedReport.Load() != nil || a.latest.Load().r.Version != 1 {
		t.Errorf("a difference from an unknown base was applied: %+v", a.latest.Load().r)
	}
}
