package capacity

import (
	"fmt"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/feed"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/demand"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/state"
)

var (
	nodes = []int{10, 50, 150, 417}
	reps  = []int{16, 75, 200, 600}
	its   = []int{100, 1000, 5000, 41200}
)

func sizes() {
	fmt.Println("== bytes")
	fit("report", "replica acked", reps, func(x int) float64 { return size(aReport(1, x, 0, 0)) })
	fit("report", "item counted", its, func(x int) float64 { return size(aReport(1, 0, x, 0)) })
	fit("report", "replica in use", reps, func(x int) float64 { return size(aReport(1, 0, 0, x)) })
	base := aReport(1, 600, 4120, 8)
	fit("report by difference", "item counted since", []int{1, 4, 16, 64}, func(x int) float64 { return size(countedSince(base, x).DeltaFrom(base)) })
	fit("report by difference", "replica acked since", []int{1, 4, 16, 64}, func(x int) float64 { return size(ackedSince(base, x).DeltaFrom(base)) })
	fit("replica's news", "item held", []int{2, 10, 20, 40}, func(x int) float64 { return size(replicaStatus(1, x)) })
	fit("roll", "node", nodes, func(x int) float64 { return size(roll(x)) })
	fit("probe", "node told along", []int{1, 2, 4, 6}, func(x int) float64 {
		return size(note{Seq: 1 << 40, From: "10.2.1.1:7000", Name: NodeName(1), Nodes: roll(x).Nodes})
	})
	fit("kept configuration", "model", []int{12, 120, 600, 1200}, func(x int) float64 { return float64(len(kept(x, x*33, 20, 12).Pack())) })
	fit("kept configuration", "adapter", []int{0, 4800, 12000, 40000}, func(x int) float64 { return float64(len(kept(1200, x, 20, 12).Pack())) })
	fit("kept configuration", "route", []int{10, 50, 100, 400}, func(x int) float64 { return float64(len(kept(120, 4000, x, 12).Pack())) })
	fit("kept configuration", "change remembered", []int{1, 32, 128, 512}, func(x int) float64 {
		k := kept(12, 12, 1, 1)
		for i := 1; i < x; i++ {
			got, err := k.Apply(conf.Change{Mode: conf.Partial, ContentType: contentType, Body: fmt.Appendf(nil, `{"version":%d}`, 1001+i)})
			if err != nil {
				panic(err)
			}
			k = got.Stored
		}
		return float64(len(k.Pack()))
	})
	var d gossip.Digest
	for range 64 {
		d.Sums = append(d.Sums, make([]byte, 16))
	}
	fmt.Printf("news digest %d bytes, fixed\n", len(wire.Marshal(d)))
	fit("news heads", "key in buckets", []int{10, 100, 600, 3000}, func(x int) float64 {
		h := gossip.BucketStamps{Buckets: []int{1}, Stamps: map[string]state.Stamp{}}
		for i := range x {
			h.Stamps[order.Key(ReplicaID(i))] = stamp(i)
		}
		return size(h)
	})
	fit("headline in a datagram", "headline", []int{1, 5, 10, 20}, func(x int) float64 {
		b := bundle{From: "10.2.1.1:7000"}
		for i := range x {
			b.Entries = append(b.Entries, gossip.Entry{Key: order.Key(ReplicaID(i)), Stamp: stamp(i), ValueOmitted: true})
		}
		return size(b)
	})
	fmt.Printf("expect entry %.0f bytes\n", size(gossip.Entry{Key: plan.ExpectationKey(ItemName(1)), Stamp: stamp(1), Value: wire.Marshal(plan.Expectation{ReadyMs: 43000})}))
	hour := func(seen int) demand.Hour {
		h := demand.Hour{Hour: 1 << 27, ReporterTotals: map[string]uint64{}}
		for i := range h.Counts {
			h.Counts[i] = uint32(i % 4)
		}
		for i := range seen {
			h.ReporterTotals[NodeName(i)+"/0123456789abcdef"] = uint64(1000 + i)
		}
		return h
	}
	fit("an hour of demand", "node that counted", nodes, func(x int) float64 { return float64(len(hour(x).Pack())) })
	fit("write of a table (state.Ask)", "record", []int{10, 100, 1000, 3000}, func(x int) float64 {
		q := state.Request{SetVersion: 7, From: state.Core{Name: "core-1", DiskID: "0123456789abcdef", Addr: "10.1.0.1:7000"}, Slot: 3, Epoch: 40, Full: true}
		v := hour(0).Pack()
		for i := range x {
			q.Records = append(q.Records, state.Record{Key: plan.DemandKey(conf.ParseItem(ItemName(i)), int64(i)), Stamp: stamp(i), Value: v})
		}
		return size(q)
	})
	fit("book of a replica", "item held", []int{2, 10, 20, 40}, func(x int) float64 {
		b := order.Contents{Incarnation: ReplicaID(1), Entries: map[string]order.Entry{}}
		for k := range replicaStatus(1, x).Items {
			b.Entries[k] = order.Entry{State: "loaded", SizeMib: 140000}
		}
		return size(b)
	})
	fmt.Printf("renewal of 3 slots %.0f bytes\n", size(state.RenewRequest{SetVersion: 7, From: state.Core{Name: "core-1", DiskID: "0123456789abcdef", Addr: "10.1.0.1:7000"}, Epochs: map[int]uint64{1: 40, 2: 41, 3: 42}}))
	fit("predictions told (plan.Shared)", "item", its, func(x int) float64 {
		s := plan.SharedPredictions{From: "core-1", Requests: map[string]float64{}}
		for i := range x {
			s.Requests[ItemName(i)] = 12.25 + float64(i)/7
		}
		return size(s)
	})
	fit("feed.Up", "replica acked", reps, func(x int) float64 {
		return size(feed.Request{Boot: "0123456789abcdef", AgentBoot: "0123456789abcdef", Cursor: 100000, Confirmed: true, Conf: stamp(1), Report: aReport(1, x, 0, 8), MaxWaitMs: 200})
	})
	fit("feed.Up", "item counted", its, func(x int) float64 {
		return size(feed.Request{Boot: "0123456789abcdef", AgentBoot: "0123456789abcdef", Cursor: 100000, Confirmed: true, Conf: stamp(1), Report: aReport(1, 0, x, 8), MaxWaitMs: 200})
	})
	fit("feed.Down", "entry", []int{0, 1, 4, 16}, func(x int) float64 {
		d := feed.Reply{AgentBoot: "0123456789abcdef", Cursor: 1, Confirmed: true, Conf: stamp(1), SinceContactMs: 12, Edges: 410, Agent: NodeName(1), Zone: zone(1)}
		for i := range 16 {
			d.Peers = append(d.Peers, aNode(i).Addr)
		}
		for i := range x {
			d.Entries = append(d.Entries, gossip.Entry{Key: order.Key(ReplicaID(i)), Stamp: stamp(i), Value: wire.Marshal(replicaStatus(i, 10))})
		}
		return size(d)
	})
}
