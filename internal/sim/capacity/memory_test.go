package capacity

import (
	"fmt"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/place/demand"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/place/report"
)

func memory() {
	fmt.Println("== heap, bytes")
	fit("conf.Effective", "model (no adapter)", []int{12, 120, 600, 1200}, func(x int) float64 {
		k := kept(x, 0, 200, 12)
		return heap(func() any { e, _ := conf.Compile(k); return e })
	})
	fit("conf.Effective (1200 models)", "adapter", []int{0, 4800, 12000, 40000}, func(x int) float64 {
		k := kept(1200, x, 200, 12)
		return heap(func() any { e, _ := conf.Compile(k); return e })
	})
	fit("news table (10 items a replica)", "replica", reps, func(x int) float64 { return heap(func() any { return gossipTable(x, 10, 0, nil) }) })
	fit("news table", "expect entry", its, func(x int) float64 { return heap(func() any { return gossipTable(0, 0, x, nil) }) })
	fit("views, or a route table's rows (10 items)", "replica", reps, func(x int) float64 {
		t := gossipTable(x, 10, 0, nil)
		return heap(func() any { return plan.DecodeStatuses(t) })
	})
	fit("member table (rolls)", "node", nodes, func(x int) float64 {
		b := wire.Marshal(roll(x))
		return heap(func() any { var r member.SyncMessage; _ = wire.Unmarshal(b, &r); return r })
	})
	read := func(b []byte) any { var r report.Report; _ = wire.Unmarshal(b, &r); return r }
	fit("a report at a core", "replica acked", reps, func(x int) float64 {
		b := wire.Marshal(aReport(1, x, 0, 8))
		return heap(func() any { return read(b) })
	})
	fit("a report at a core", "item counted", its, func(x int) float64 {
		b := wire.Marshal(aReport(1, 0, x, 8))
		return heap(func() any { return read(b) })
	})
	fit("planner: an item's seen", "node that counted", nodes, func(x int) float64 {
		return heap(func() any {
			m := map[string]uint64{}
			for i := range x {
				m[NodeName(i)+"/0123456789abcdef"] = 1
			}
			return m
		})
	})
	fit("planner: series", "hour kept", []int{4, 24, 96, 192}, func(x int) float64 {
		return heap(func() any {
			s := demand.NewSeries()
			for m := range int64(x * 60) {
				s.Add(m, 2)
			}
			return s
		})
	})
}
