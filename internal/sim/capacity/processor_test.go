package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/core"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/place/demand"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/route"
	"drumstall.example/internal/state"
)

var sink any

func processor() {
	fmt.Println("== processor time, us a call")
	costs("conf.Effect", "model (33 adapters)", []int{12, 120, 600, 1200}, func(x int) func() {
		k := kept(x, x*33, 200, 12)
		return func() { sink, _ = conf.Compile(k) }
	})
	costs("conf.Unpack+Effect", "route", []int{10, 50, 100, 400}, func(x int) func() {
		b := kept(120, 4000, x, 12).Pack()
		return func() { k, _ := conf.Unpack(b); sink, _ = conf.Compile(k) }
	})
	costs("report packed", "replica acked", reps, func(x int) func() { r := aReport(1, x, 0, 8); return func() { sink = wire.Marshal(r) } })
	costs("report packed", "item counted", its, func(x int) func() { r := aReport(1, 0, x, 8); return func() { sink = wire.Marshal(r) } })
	costs("report read", "replica acked", reps, func(x int) func() {
		b := wire.Marshal(aReport(1, x, 0, 8))
		return func() { var r report.Report; _ = wire.Unmarshal(b, &r); sink = r }
	})
	costs("report read", "item counted", its, func(x int) func() {
		b := wire.Marshal(aReport(1, 0, x, 8))
		return func() { var r report.Report; _ = wire.Unmarshal(b, &r); sink = r }
	})
	costs("report.Table.Put", "node", nodes, func(x int) func() {
		t := report.NewTable()
		for i := range x {
			t.Put(aReport(i, 10, 10, 8), 0)
		}
		r, n := aReport(1, 10, 10, 8), uint64(1<<20)
		return func() { n++; r.Version = n; t.Put(r, 0) }
	})
	costs("report.Table.Waiting", "node", nodes, func(x int) func() {
		t := report.NewTable()
		for i := range x {
			t.Put(aReport(i, 0, 0, 8), 0)
		}
		return func() { sink = t.Waiting(0) }
	})
	costs("plan.Views (10 items each)", "replica", reps, func(x int) func() { t := gossipTable(x, 10, 0, nil); return func() { sink = plan.DecodeStatuses(t) } })
	costs("plan.Views (600 replicas)", "item held", []int{2, 10, 20, 40}, func(x int) func() { t := gossipTable(600, x, 0, nil); return func() { sink = plan.DecodeStatuses(t) } })
	costs("plan.Views (75 replicas)", "expect entry", its, func(x int) func() { t := gossipTable(75, 10, x, nil); return func() { sink = plan.DecodeStatuses(t) } })
	cfg, _ := conf.Compile(kept(1200, 40000, 200, 12))
	costs("order.Cheapest, 417 nodes, 1 holder in 100", "replica", reps, func(x int) func() {
		views := plan.DecodeStatuses(gossipTable(x, 10, 0, nil))
		for i := 0; i < x; i += 100 {
			views.All[i].Items["model-0001"] = "loaded"
		}
		t := report.NewTable()
		for i := range 417 {
			t.Put(aReport(i, 0, 0, 8), 0)
		}
		it := conf.Item{Model: "model-0001"}
		return func() { sink = order.CheapestServeTime(views, "", it, t, 0, cfg) }
	})
	costs("candidates: InflightOn each, judge.Load", "replica", reps, func(x int) func() {
		views := plan.DecodeStatuses(gossipTable(x, 10, 0, nil))
		t := report.NewTable()
		for i := range 417 {
			t.Put(aReport(i, 0, 0, 8), 0)
		}
		return func() {
			var facts []judge.Candidate
			for _, v := range views.All {
				if cfg.Allowed("model-0001", v.Listed.Labels) {
					facts = append(facts, judge.Candidate{Name: v.Listed.ID, Inflight: t.InflightOn(v.Listed.ID, 0), Slots: v.Slots, FreeMib: v.FreeMib, NeedMib: 140000, Fits: true})
				}
			}
			sink = judge.RankForLoadWithBreakdown(cfg.Weights, facts)
		}
	})
	costs("demand.Series.Next, 7 epochs", "unit of horizon", []int{3, 12, 60, 180}, func(x int) func() {
		s := demand.NewSeries()
		for m := range int64(8 * 1440) {
			s.Add(m, 2)
		}
		r := demand.Params{UnitsPerDay: 1440, DayWeights: []float64{0.4, 0.2, 0.12, 0.1, 0.08, 0.06, 0.04}, WarmupMinutes: 2, HorizonMinutes: x}
		return func() { sink = s.PredictHorizon(r, 8*1440-200, 0) }
	})
	costs("news.Put (stamp newer)", "key in table", its, func(x int) func() {
		t := gossipTable(600, 10, x, nil)
		n, v := uint64(1<<20), wire.Marshal(replicaStatus(1, 10))
		return func() {
			n++
			t.Put(gossip.Entry{Key: order.Key(ReplicaID(1)), Stamp: state.Stamp{Epoch: 40, Version: n}, Value: v})
		}
	})
	costs("news.After(last)", "key in table", its, func(x int) func() {
		t := gossipTable(600, 10, x, nil)
		n, v := uint64(1<<20), wire.Marshal(replicaStatus(1, 10))
		_, c, _ := t.Since(0)
		return func() {
			n++
			t.Put(gossip.Entry{Key: order.Key(ReplicaID(1)), Stamp: state.Stamp{Epoch: 40, Version: n}, Value: v})
			sink, c, _ = t.Since(c)
		}
	})
	g := run.NewGroup(context.Background())
	env := core.Env{Net: wire.HostNetwork(), Clock: tick.MachineClock(), Log: ring.New(io.Discard, 10)}
	costs("news: digest answered", "key in table", []int{100, 1000, 5000}, func(x int) func() {
		pc, _ := net.ListenPacket("udp", "127.0.0.1:0")
		mux := wire.NewMux()
		t := gossipTable(600, 10, x, nil)
		gossip.NewDisseminator(g.Child(), t, env.Log.Logger(), wire.NewDatagramSocket(pc), wire.NewClient(env.Net), mux, func() string { return "" }, func() []string { return nil }, nil, touch.New(env.Clock))
		var d gossip.Digest
		for range 64 {
			d.Sums = append(d.Sums, make([]byte, 16))
		}
		b := wire.Marshal(d)
		return func() { call(mux, "/news/digest", b) }
	})
	costs("member sync: roll read, merged, answered", "node", nodes, func(x int) func() {
		pc, _ := net.ListenPacket("udp", "127.0.0.1:0")
		mux := wire.NewMux()
		member.New(g.Child(), env.Clock, env.Log.Logger(), wire.NewDatagramSocket(pc), wire.NewClient(env.Net), mux, aNode(1000), nil, touch.New(env.Clock))
		b := wire.Marshal(roll(x))
		return func() { call(mux, "/member/sync", b) }
	})
	costs("member sync: roll packed", "node", nodes, func(x int) func() { r := roll(x); return func() { sink = wire.Marshal(r) } })
	rebuilds := func(name, of string, xs []int, counts func(x int) (replicas, items, expects int)) {
		costs(name, of, xs, func(x int) func() {
			r, i, e := counts(x)
			t := gossipTable(r, i, e, kept(1200, 40000, 200, 12).Pack())
			gg := run.NewGroup(context.Background())
			k := route.NewRouter(route.Deps{Group: gg, Gossip: t, Clock: env.Clock, Replicas: fake{}, Zone: func() string { return "r0-z0" }, SinceContact: func() time.Duration { return 0 }, Edges: func() int { return 410 }})
			done := make(chan struct{}, 1)
			k.OnTable(func() {
				select {
				case done <- struct{}{}:
				default:
				}
			})
			n, v := uint64(1<<20), wire.Marshal(replicaStatus(1, i))
			return func() {
				n++
				select {
				case <-done:
				default:
				}
				t.Put(gossip.Entry{Key: order.Key(ReplicaID(1)), Stamp: state.Stamp{Epoch: 40, Version: n}, Value: v})
				<-done
			}
		})
	}
	rebuilds("route table made anew (10 items each)", "replica", reps, func(x int) (int, int, int) { return x, 10, 0 })
	rebuilds("route table made anew (600 replicas)", "item held", []int{2, 10, 20, 40}, func(x int) (int, int, int) { return 600, x, 0 })
	rebuilds("route table made anew (75 replicas)", "expect entry", its, func(x int) (int, int, int) { return 75, 10, x })
	costs("route.Choose (two holders)", "replica", reps, func(x int) func() {
		t := gossipTable(x, 10, 0, kept(1200, 40000, 200, 12).Pack())
		gg := run.NewGroup(context.Background())
		k := route.NewRouter(route.Deps{Group: gg, Gossip: t, Clock: env.Clock, Replicas: fake{}, Zone: func() string { return "r0-z0" }, SinceContact: func() time.Duration { return 0 }, Edges: func() int { return 410 }})
		for len(k.Current().Replicas) < x {
			time.Sleep(20 * time.Millisecond)
		}
		gg.Stop()
		snap := k.Current()
		target := route.Target{Route: snap.Conf.Resolve(snap.Conf.Routes["route-0002"], 0), Item: conf.Item{Model: ModelName(2)}}
		return func() { b, held, _ := k.Choose(target); sink = b; _ = held }
	})
	costs("plan.Shared read and laid in (clone)", "item", its, func(x int) func() {
		s := plan.SharedPredictions{From: "core-1", Requests: map[string]float64{}}
		for i := range x {
			s.Requests[ItemName(i)] = 12.25 + float64(i)/7
		}
		b := wire.Marshal(s)
		held := map[string]float64{}
		return func() {
			var in plan.SharedPredictions
			_ = wire.Unmarshal(b, &in)
			for k, v := range in.Requests {
				held[k] = v
			}
			next := make(map[string]float64, len(held))
			for k, v := range held {
				next[k] = v
			}
			sink = next
		}
	})
	g.Stop()
}
