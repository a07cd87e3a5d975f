package plan

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/report"
)

// reported is a report of running totals.
func workReport(version uint64, work map[string]uint64) report.Report {
	return report.Report{Agent: "e", Boot: "b", Version: version, WorkMs: work}
}

// The models that want more than one copy are those of their work now, for as long
// as it is enough for two, also when nobody reports any more.
func TestOverloadedModelsFollowCurrentWork(t *testing.T) {
	p := &Planner{}
	p.work.addReport(workReport(1, nil), workReport(1, nil), 0)
	work := map[string]uint64{"one": 300, "two": 700, "many": 4000}
	p.work.addReport(workReport(2, work), workReport(2, work), 0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		want := map[conf.Item]int{}
		for model, ms := range work {
			share := float64(ms) / 1500 * math.Exp(-now.Seconds()/1.5)
			if n := int(math.Ceil(share/maxWorkShare - copyThreshold - 1e-6)); n > 1 {
				want[conf.Item{Model: model}] = n
			}
		}
		if got := p.overloadedModels(now); !maps.Equal(got, want) {
			t.Fatalf("after %v: %v, want %v", now, got, want)
		}
	}
}

// A look at 700 models, of which 4 want a second copy.
func BenchmarkOverloadedModels(b *testing.B) {
	p := &Planner{}
	p.work.addReport(workReport(1, nil), workReport(1, nil), 0)
	work := map[string]uint64{}
	for i := range 700 {
		work[fmt.Sprint("m", i)] = 20
	}
	for i := range 4 {
		work[fmt.Sprint("m", i)] = 1 << 40
	}
	p.work.addReport(workReport(2, work), workReport(2, work), 0)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now++
		p.overloadedModels(now)
	}
}
