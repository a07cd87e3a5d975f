// Package capacity measures the slopes of docs/CAPACITY.md: how messages, processor time and memory grow
// with nodes, replicas, models, adapters and routes.
package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/agent"
	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/core"
	"drumstall.example/internal/feed"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/share"
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
	"drumstall.example/platform"
)

// measured runs one part; they take minutes and only print, so they run only when asked for.
func measured(t *testing.T, f func()) {
	if os.Getenv("DRUMSTALL_CAPACITY") == "" {
		t.Skip("set DRUMSTALL_CAPACITY to measure")
	}
	conf.RegisterFormat(platform.Format{})
	f()
}

func TestSizes(t *testing.T)          { measured(t, sizes) }
func TestProcessor(t *testing.T)      { measured(t, processor) }
func TestMemory(t *testing.T)         { measured(t, memory) }
func TestReportsAtACore(t *testing.T) { measured(t, whole) }
func TestAgentTraffic(t *testing.T)   { measured(t, fleets) }
func TestSlotShares(t *testing.T)     { measured(t, draws) }
func TestLargestTable(t *testing.T)   { measured(t, largest) }

const contentType = "application/vnd.drumstall.platform+json"

func nodeName(i int) string   { return fmt.Sprintf("edge-%04d", i) }
func replicaID(i int) string  { return fmt.Sprintf("m-%04d-%04x", i, i*7919&0xffff) }
func zone(i int) string       { return fmt.Sprintf("r%d-z%d", i%3, i%7) }
func stamp(i int) state.Stamp { return state.Stamp{Epoch: 40, Version: uint64(1000 + i)} }
func modelName(i int) string  { return fmt.Sprintf("model-%04d", i) }
func itemName(i int) string {
	if i < 1200 {
		return modelName(i)
	}
	return fmt.Sprintf("%s/a%d", modelName(i%1200), i/1200)
}

func listed(i int) inventory.Listed {
	return inventory.Listed{ID: replicaID(i), Addr: fmt.Sprintf("10.3.%d.%d:9000", i/200, i%200), Zone: zone(i), Model: true, Slots: 32,
		Labels: map[string]string{"service": fmt.Sprintf("service-%02d", i%12), "version": "2026-11-01"}}
}

func replicaStatus(i, items int) order.Status {
	n := order.Status{Listed: listed(i), Controller: "core-3", Items: map[string]string{}, CapacityMib: 600000, FreeMib: 20000, AdapterPlaces: 32, AdapterFree: 4, Slots: 32, ReadyMs: map[string]int{}}
	for j := range items {
		m := (i*2 + j%2) % 1200
		if j < 2 {
			n.Items[modelName(m)] = "loaded"
		} else {
			n.Items[fmt.Sprintf("%s/a%d", modelName(m), j)] = "loaded"
		}
	}
	return n
}

func aReport(node, replicas, demand, inflight int) report.Report {
	r := report.Report{Agent: nodeName(node), Boot: "0123456789abcdef", Version: 100000, Conf: 1000, Demand: map[string]uint64{}, Inflight: map[string]map[string]int{},
		Waiting: map[string]int{}, Acked: map[string]state.Stamp{}, Zone: zone(node), Serving: true}
	for i := range replicas {
		r.Acked[replicaID(i)] = stamp(i)
	}
	for i := range demand {
		r.Demand[itemName(i)] = uint64(1000 + i)
	}
	for i := range inflight {
		r.Inflight[replicaID(i)] = map[string]int{itemName(i): 3}
	}
	return r
}

// countedSince is a later report in which some items were counted.
func countedSince(base report.Report, items int) report.Report {
	r := base
	r.Version++
	r.Demand = maps.Clone(base.Demand)
	for i := range items {
		r.Demand[itemName(i)]++
	}
	return r
}

// ackedSince is a later report in which the status of some replicas was taken in.
func ackedSince(base report.Report, replicas int) report.Report {
	r := base
	r.Version++
	r.Acked = maps.Clone(base.Acked)
	for i := range replicas {
		r.Acked[replicaID(i)] = stamp(i + 100000)
	}
	return r
}

func aNode(i int) member.Node {
	return member.Node{Name: nodeName(i), Role: member.RoleAgent, Zone: zone(i), Addr: fmt.Sprintf("10.2.%d.%d:7000", i/200, i%200), Inc: 1764650000000, Boot: "0123456789abcdef", Build: "5fe69a9"}
}

func roll(n int) member.Roll {
	var r member.Roll
	for i := range n {
		r.Nodes = append(r.Nodes, aNode(i))
	}
	return r
}

func document(models, adapters, routes, services int) []byte {
	var b strings.Builder
	b.WriteString(`{"version":1001,"routes":[`)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%04d","host":"host-%02d.example","pathStart":"/v1/r%04d/","kind":"streaming","timeoutMs":30000,"targetMs":330,"priority":1,"split":[{"service":"service-%02d","weight":1}],"tries":3,"resumable":true,"gapTargetMs":78}`, i, i%20, i, i%max(services, 1))
	}
	b.WriteString(`],"services":[`)
	for s := range services {
		if s > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"service-%02d","maxConnections":64,"runtime":{"slots":32,"cacheTokens":400000,"sizeMb":600000,"adapterCapacity":32,"loadRateS":0.5,"models":[`, s)
		for m := s; m < models; m += services {
			if m > s {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"name":"%s","sizeMb":140000,"loadTimeS":42.5,"adapters":%d,"adapterSizeMb":200}`, modelName(m), adapters/models)
		}
		b.WriteString(`]}}`)
	}
	b.WriteString(`],"limits":{"maxBodyBytes":4194304}}`)
	return []byte(b.String())
}

func kept(models, adapters, routes, services int) conf.Kept {
	var k conf.Kept
	got, err := k.Apply(conf.Change{Manner: conf.Whole, ContentType: contentType, Body: document(models, adapters, routes, services)})
	if err != nil {
		panic(err)
	}
	return got.Kept
}

// The datagram of a probe and of news; the types are not exported, the keys are the same.
type note struct {
	Seq    uint64        `cbor:"1,keyasint"`
	From   string        `cbor:"2,keyasint"`
	Target string        `cbor:"3,keyasint,omitempty"`
	Name   string        `cbor:"4,keyasint,omitempty"`
	Boot   string        `cbor:"5,keyasint,omitempty"`
	Nodes  []member.Node `cbor:"6,keyasint,omitempty"`
	Touch  touch.Word    `cbor:"7,keyasint,omitempty"`
}
type bundle struct {
	From    string         `cbor:"1,keyasint"`
	Entries []gossip.Entry `cbor:"2,keyasint"`
}

func size(v any) float64 { return float64(len(wire.Pack(v))) }

func fit(name, of string, xs []int, f func(x int) float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	line := ""
	for _, x := range xs {
		y := f(x)
		line += fmt.Sprintf(" %d:%.5g", x, y)
		sx, sy, sxx, sxy = sx+float64(x), sy+y, sxx+float64(x)*float64(x), sxy+float64(x)*y
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	fmt.Printf("%-42s per %-16s slope %10.4g  at 0 %10.4g  |%s\n", name, of, slope, (sy-slope*sx)/n, line)
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost is processor time of the process in microseconds for one call, the collector included; allocs is printed besides.
var allocs float64

func cost(f func()) float64 {
	f()
	runtime.GC()
	var a, b runtime.MemStats
	runtime.ReadMemStats(&a)
	n, began := 0, cpu()
	for cpu()-began < 250*time.Millisecond {
		f()
		n++
	}
	took := cpu() - began
	runtime.ReadMemStats(&b)
	allocs = float64(b.Mallocs-a.Mallocs) / float64(n)
	return float64(took.Nanoseconds()) / 1000 / float64(n)
}

func costs(name, of string, xs []int, prep func(x int) func()) {
	var al string
	fit(name+" us", of, xs, func(x int) float64 {
		c := cost(prep(x))
		al += fmt.Sprintf(" %d:%.0f", x, allocs)
		return c
	})
	fmt.Printf("    allocs%s\n", al)
}

func heap(f func() any) float64 {
	var a, b runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&a)
	v := f()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&b)
	runtime.KeepAlive(v)
	return float64(b.HeapAlloc) - float64(a.HeapAlloc)
}

func gossipTable(replicas, items, expects int, cfg []byte) *gossip.Table {
	t := gossip.NewTable()
	fill(t, replicas, items, expects, cfg)
	return t
}

func fill(t *gossip.Table, replicas, items, expects int, cfg []byte) {
	for i := range replicas {
		t.Learn(gossip.Entry{Key: order.Key(replicaID(i)), Stamp: stamp(i), Value: wire.Pack(replicaStatus(i, items))})
	}
	for i := range expects {
		t.Learn(gossip.Entry{Key: plan.ExpectKey(itemName(i)), Stamp: stamp(i), Value: wire.Pack(plan.Expect{ReadyMs: 43000, Why: "no replica can load it now"})})
	}
	if cfg != nil {
		t.Learn(gossip.Entry{Key: conf.Key, Stamp: stamp(1), Value: cfg})
	}
}

type fake struct{}

func (fake) Report(_ context.Context, r backend.Target) (backend.Report, error) {
	return backend.Report{ID: r.ID, Incarnation: r.ID, Model: true, Slots: 32, CapacityMib: 600000, AdapterPlaces: 32, Items: map[conf.Item]backend.Line{}}, nil
}
func (fake) Order(context.Context, backend.Target, backend.Order) error { return nil }
func (fake) Close()                                                     {}
func (fake) Traits() backend.Traits                                     { return (&platform.Replicas{}).Traits() }

type list struct{ n int }

func (l list) List(context.Context) ([]inventory.Listed, error) {
	var out []inventory.Listed
	for i := range l.n {
		out = append(out, listed(i))
	}
	return out, nil
}
func (list) Close() {}

func call(mux *wire.Mux, path string, body []byte) int {
	req := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
	req.Header.Set("Drumstall-Speaks", wire.Speaks)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, req)
	if w.Code != http.StatusOK {
		panic(fmt.Sprint(path, w.Code, w.Body.String()))
	}
	return w.Body.Len()
}

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
	fit("report by difference", "item counted since", []int{1, 4, 16, 64}, func(x int) float64 { return size(countedSince(base, x).Since(base)) })
	fit("report by difference", "replica acked since", []int{1, 4, 16, 64}, func(x int) float64 { return size(ackedSince(base, x).Since(base)) })
	fit("replica's news", "item held", []int{2, 10, 20, 40}, func(x int) float64 { return size(replicaStatus(1, x)) })
	fit("roll", "node", nodes, func(x int) float64 { return size(roll(x)) })
	fit("probe", "node told along", []int{1, 2, 4, 6}, func(x int) float64 {
		return size(note{Seq: 1 << 40, From: "10.2.1.1:7000", Name: nodeName(1), Nodes: roll(x).Nodes})
	})
	fit("kept configuration", "model", []int{12, 120, 600, 1200}, func(x int) float64 { return float64(len(kept(x, x*33, 20, 12).Pack())) })
	fit("kept configuration", "adapter", []int{0, 4800, 12000, 40000}, func(x int) float64 { return float64(len(kept(1200, x, 20, 12).Pack())) })
	fit("kept configuration", "route", []int{10, 50, 100, 400}, func(x int) float64 { return float64(len(kept(120, 4000, x, 12).Pack())) })
	fit("kept configuration", "change remembered", []int{1, 32, 128, 512}, func(x int) float64 {
		k := kept(12, 12, 1, 1)
		for i := 1; i < x; i++ {
			got, err := k.Apply(conf.Change{Manner: conf.Partial, ContentType: contentType, Body: fmt.Appendf(nil, `{"version":%d}`, 1001+i)})
			if err != nil {
				panic(err)
			}
			k = got.Kept
		}
		return float64(len(k.Pack()))
	})
	var d gossip.Digest
	for range 64 {
		d.Sums = append(d.Sums, make([]byte, 16))
	}
	fmt.Printf("news digest %d bytes, fixed\n", len(wire.Pack(d)))
	fit("news heads", "key in buckets", []int{10, 100, 600, 3000}, func(x int) float64 {
		h := gossip.Heads{Bucket: []int{1}, Have: map[string]state.Stamp{}}
		for i := range x {
			h.Have[order.Key(replicaID(i))] = stamp(i)
		}
		return size(h)
	})
	fit("headline in a datagram", "headline", []int{1, 5, 10, 20}, func(x int) float64 {
		b := bundle{From: "10.2.1.1:7000"}
		for i := range x {
			b.Entries = append(b.Entries, gossip.Entry{Key: order.Key(replicaID(i)), Stamp: stamp(i), Head: true})
		}
		return size(b)
	})
	fmt.Printf("expect entry %.0f bytes\n", size(gossip.Entry{Key: plan.ExpectKey(itemName(1)), Stamp: stamp(1), Value: wire.Pack(plan.Expect{ReadyMs: 43000})}))
	hour := func(seen int) demand.Hour {
		h := demand.Hour{Hour: 1 << 27, Seen: map[string]uint64{}}
		for i := range h.Counts {
			h.Counts[i] = uint32(i % 4)
		}
		for i := range seen {
			h.Seen[nodeName(i)+"/0123456789abcdef"] = uint64(1000 + i)
		}
		return h
	}
	fit("an hour of demand", "node that counted", nodes, func(x int) float64 { return float64(len(hour(x).Pack())) })
	fit("write of a table (state.Ask)", "record", []int{10, 100, 1000, 3000}, func(x int) float64 {
		q := state.Ask{Set: 7, From: state.Core{Name: "core-1", Disk: "0123456789abcdef", Addr: "10.1.0.1:7000"}, Slot: 3, Epoch: 40, Full: true}
		v := hour(0).Pack()
		for i := range x {
			q.Records = append(q.Records, state.Record{Key: plan.DemandKey(conf.ParseItem(itemName(i)), int64(i)), Stamp: stamp(i), Value: v})
		}
		return size(q)
	})
	fit("book of a replica", "item held", []int{2, 10, 20, 40}, func(x int) float64 {
		b := order.Book{Incarnation: replicaID(1), Lines: map[string]order.Line{}}
		for k := range replicaStatus(1, x).Items {
			b.Lines[k] = order.Line{State: "loaded", SizeMib: 140000}
		}
		return size(b)
	})
	fmt.Printf("renewal of 3 slots %.0f bytes\n", size(state.Renewal{Set: 7, From: state.Core{Name: "core-1", Disk: "0123456789abcdef", Addr: "10.1.0.1:7000"}, Epochs: map[int]uint64{1: 40, 2: 41, 3: 42}}))
	fit("predictions told (plan.Shared)", "item", its, func(x int) float64 {
		s := plan.Shared{From: "core-1", Next: map[string]float64{}}
		for i := range x {
			s.Next[itemName(i)] = 12.25 + float64(i)/7
		}
		return size(s)
	})
	fit("feed.Up", "replica acked", reps, func(x int) float64 {
		return size(feed.Up{Boot: "0123456789abcdef", AgentBoot: "0123456789abcdef", Cursor: 100000, Confirmed: true, Conf: stamp(1), Report: aReport(1, x, 0, 8), HoldMs: 200})
	})
	fit("feed.Up", "item counted", its, func(x int) float64 {
		return size(feed.Up{Boot: "0123456789abcdef", AgentBoot: "0123456789abcdef", Cursor: 100000, Confirmed: true, Conf: stamp(1), Report: aReport(1, 0, x, 8), HoldMs: 200})
	})
	fit("feed.Down", "entry", []int{0, 1, 4, 16}, func(x int) float64 {
		d := feed.Down{AgentBoot: "0123456789abcdef", Cursor: 1, Confirmed: true, Conf: stamp(1), HeardMs: 12, Edges: 410, Agent: nodeName(1), Zone: zone(1)}
		for i := range 16 {
			d.Peers = append(d.Peers, aNode(i).Addr)
		}
		for i := range x {
			d.Entries = append(d.Entries, gossip.Entry{Key: order.Key(replicaID(i)), Stamp: stamp(i), Value: wire.Pack(replicaStatus(i, 10))})
		}
		return size(d)
	})
}

var sink any

func processor() {
	fmt.Println("== processor time, us a call")
	costs("conf.Effect", "model (33 adapters)", []int{12, 120, 600, 1200}, func(x int) func() {
		k := kept(x, x*33, 200, 12)
		return func() { sink, _ = conf.Effect(k) }
	})
	costs("conf.Unpack+Effect", "route", []int{10, 50, 100, 400}, func(x int) func() {
		b := kept(120, 4000, x, 12).Pack()
		return func() { k, _ := conf.Unpack(b); sink, _ = conf.Effect(k) }
	})
	costs("report packed", "replica acked", reps, func(x int) func() { r := aReport(1, x, 0, 8); return func() { sink = wire.Pack(r) } })
	costs("report packed", "item counted", its, func(x int) func() { r := aReport(1, 0, x, 8); return func() { sink = wire.Pack(r) } })
	costs("report read", "replica acked", reps, func(x int) func() {
		b := wire.Pack(aReport(1, x, 0, 8))
		return func() { var r report.Report; _ = wire.Unpack(b, &r); sink = r }
	})
	costs("report read", "item counted", its, func(x int) func() {
		b := wire.Pack(aReport(1, 0, x, 8))
		return func() { var r report.Report; _ = wire.Unpack(b, &r); sink = r }
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
	costs("plan.Views (10 items each)", "replica", reps, func(x int) func() { t := gossipTable(x, 10, 0, nil); return func() { sink = plan.Views(t) } })
	costs("plan.Views (600 replicas)", "item held", []int{2, 10, 20, 40}, func(x int) func() { t := gossipTable(600, x, 0, nil); return func() { sink = plan.Views(t) } })
	costs("plan.Views (75 replicas)", "expect entry", its, func(x int) func() { t := gossipTable(75, 10, x, nil); return func() { sink = plan.Views(t) } })
	cfg, _ := conf.Effect(kept(1200, 40000, 200, 12))
	costs("order.Cheapest, 417 nodes, 1 holder in 100", "replica", reps, func(x int) func() {
		views := plan.Views(gossipTable(x, 10, 0, nil))
		for i := 0; i < x; i += 100 {
			views[i].Items["model-0001"] = "loaded"
		}
		t := report.NewTable()
		for i := range 417 {
			t.Put(aReport(i, 0, 0, 8), 0)
		}
		it := conf.Item{Model: "model-0001"}
		return func() { sink = order.Cheapest(views, "", it, t, 0, cfg) }
	})
	costs("candidates: InflightOn each, judge.Load", "replica", reps, func(x int) func() {
		views := plan.Views(gossipTable(x, 10, 0, nil))
		t := report.NewTable()
		for i := range 417 {
			t.Put(aReport(i, 0, 0, 8), 0)
		}
		return func() {
			var facts []judge.Replica
			for _, v := range views {
				if cfg.Allowed("model-0001", v.Listed.Labels) {
					facts = append(facts, judge.Replica{Name: v.Listed.ID, Inflight: t.InflightOn(v.Listed.ID, 0), Slots: v.Slots, FreeMib: v.FreeMib, NeedMib: 140000, Fits: true})
				}
			}
			sink = judge.Load(cfg.Weights, facts)
		}
	})
	costs("demand.Series.Next, 7 epochs", "unit of horizon", []int{3, 12, 60, 180}, func(x int) func() {
		s := demand.NewSeries()
		for m := range int64(8 * 1440) {
			s.Add(m, 2)
		}
		r := demand.Rule{Day: 1440, DayWeights: []float64{0.4, 0.2, 0.12, 0.1, 0.08, 0.06, 0.04}, WarmupMinutes: 2, HorizonMinutes: x}
		return func() { sink = s.Next(r, 8*1440-200, 0) }
	})
	costs("news.Put (stamp newer)", "key in table", its, func(x int) func() {
		t := gossipTable(600, 10, x, nil)
		n, v := uint64(1<<20), wire.Pack(replicaStatus(1, 10))
		return func() {
			n++
			t.Put(gossip.Entry{Key: order.Key(replicaID(1)), Stamp: state.Stamp{Epoch: 40, Version: n}, Value: v})
		}
	})
	costs("news.After(last)", "key in table", its, func(x int) func() {
		t := gossipTable(600, 10, x, nil)
		n, v := uint64(1<<20), wire.Pack(replicaStatus(1, 10))
		_, c, _ := t.After(0)
		return func() {
			n++
			t.Put(gossip.Entry{Key: order.Key(replicaID(1)), Stamp: state.Stamp{Epoch: 40, Version: n}, Value: v})
			sink, c, _ = t.After(c)
		}
	})
	g := run.NewGroup(context.Background())
	env := core.Env{Net: wire.Host(), Clock: tick.Machine(), Log: ring.New(io.Discard, 10)}
	costs("news: digest answered", "key in table", []int{100, 1000, 5000}, func(x int) func() {
		pc, _ := net.ListenPacket("udp", "127.0.0.1:0")
		mux := wire.NewMux()
		t := gossipTable(600, 10, x, nil)
		gossip.NewSpreader(g.Child(), t, env.Log.Logger(), wire.NewPost(pc), wire.NewCaller(env.Net), mux, func() string { return "" }, func() []string { return nil }, nil, touch.New(env.Clock))
		var d gossip.Digest
		for range 64 {
			d.Sums = append(d.Sums, make([]byte, 16))
		}
		b := wire.Pack(d)
		return func() { call(mux, "/news/digest", b) }
	})
	costs("member sync: roll read, merged, answered", "node", nodes, func(x int) func() {
		pc, _ := net.ListenPacket("udp", "127.0.0.1:0")
		mux := wire.NewMux()
		member.New(g.Child(), env.Clock, env.Log.Logger(), wire.NewPost(pc), wire.NewCaller(env.Net), mux, aNode(1000), nil, touch.New(env.Clock))
		b := wire.Pack(roll(x))
		return func() { call(mux, "/member/sync", b) }
	})
	costs("member sync: roll packed", "node", nodes, func(x int) func() { r := roll(x); return func() { sink = wire.Pack(r) } })
	rebuilds := func(name, of string, xs []int, counts func(x int) (replicas, items, expects int)) {
		costs(name, of, xs, func(x int) func() {
			r, i, e := counts(x)
			t := gossipTable(r, i, e, kept(1200, 40000, 200, 12).Pack())
			gg := run.NewGroup(context.Background())
			k := route.NewKeeper(route.Deps{Group: gg, Gossip: t, Clock: env.Clock, Replicas: fake{}, Zone: func() string { return "r0-z0" }, HeardFor: func() time.Duration { return 0 }, Edges: func() int { return 410 }})
			done := make(chan struct{}, 1)
			k.OnTable(func() {
				select {
				case done <- struct{}{}:
				default:
				}
			})
			n, v := uint64(1<<20), wire.Pack(replicaStatus(1, i))
			return func() {
				n++
				select {
				case <-done:
				default:
				}
				t.Put(gossip.Entry{Key: order.Key(replicaID(1)), Stamp: state.Stamp{Epoch: 40, Version: n}, Value: v})
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
		k := route.NewKeeper(route.Deps{Group: gg, Gossip: t, Clock: env.Clock, Replicas: fake{}, Zone: func() string { return "r0-z0" }, HeardFor: func() time.Duration { return 0 }, Edges: func() int { return 410 }})
		for len(k.Now().Replicas) < x {
			time.Sleep(20 * time.Millisecond)
		}
		gg.Stop()
		snap := k.Now()
		target := route.Target{Route: snap.Conf.Resolve(snap.Conf.Routes["route-0002"], 0), Item: conf.Item{Model: modelName(2)}}
		return func() { b, held, _ := k.Choose(target); sink = b; _ = held }
	})
	costs("plan.Shared read and laid in (clone)", "item", its, func(x int) func() {
		s := plan.Shared{From: "core-1", Next: map[string]float64{}}
		for i := range x {
			s.Next[itemName(i)] = 12.25 + float64(i)/7
		}
		b := wire.Pack(s)
		held := map[string]float64{}
		return func() {
			var in plan.Shared
			_ = wire.Unpack(b, &in)
			for k, v := range in.Next {
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

func memory() {
	fmt.Println("== heap, bytes")
	fit("conf.Effective", "model (no adapter)", []int{12, 120, 600, 1200}, func(x int) float64 {
		k := kept(x, 0, 200, 12)
		return heap(func() any { e, _ := conf.Effect(k); return e })
	})
	fit("conf.Effective (1200 models)", "adapter", []int{0, 4800, 12000, 40000}, func(x int) float64 {
		k := kept(1200, x, 200, 12)
		return heap(func() any { e, _ := conf.Effect(k); return e })
	})
	fit("news table (10 items a replica)", "replica", reps, func(x int) float64 { return heap(func() any { return gossipTable(x, 10, 0, nil) }) })
	fit("news table", "expect entry", its, func(x int) float64 { return heap(func() any { return gossipTable(0, 0, x, nil) }) })
	fit("views, or a route table's rows (10 items)", "replica", reps, func(x int) float64 { t := gossipTable(x, 10, 0, nil); return heap(func() any { return plan.Views(t) }) })
	fit("member table (rolls)", "node", nodes, func(x int) float64 {
		b := wire.Pack(roll(x))
		return heap(func() any { var r member.Roll; _ = wire.Unpack(b, &r); return r })
	})
	read := func(b []byte) any { var r report.Report; _ = wire.Unpack(b, &r); return r }
	fit("a report at a core", "replica acked", reps, func(x int) float64 { b := wire.Pack(aReport(1, x, 0, 8)); return heap(func() any { return read(b) }) })
	fit("a report at a core", "item counted", its, func(x int) float64 { b := wire.Pack(aReport(1, 0, x, 8)); return heap(func() any { return read(b) }) })
	fit("planner: an item's seen", "node that counted", nodes, func(x int) float64 {
		return heap(func() any {
			m := map[string]uint64{}
			for i := range x {
				m[nodeName(i)+"/0123456789abcdef"] = 1
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

// whole runs one core alone on a real network and asks what reports cost it.
func whole() {
	fmt.Println("== one core alone, calls by loopback, both ends, us of processor time a report")
	for _, replicas := range []int{16, 75, 200, 600} {
		one(replicas, 410, 100)
	}
	for _, items := range []int{100, 1000, 5000} {
		one(75, 410, items)
	}
}

func one(replicas, agents, items int) {
	env := core.Env{Net: wire.Host(), Clock: tick.Machine(), FS: vfs.NewMem(), Log: ring.New(io.Discard, 10)}
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	addr := ln.Addr().String()
	_ = ln.Close()
	cad := cadence()
	c, err := core.Start(core.Settings{Fleet: "x", Name: "core-1", Zone: "r0-z0", Addr: addr, Seeds: []string{addr}, Folder: "d", Founders: []string{addr}, MayFound: true, Cadence: cad, Lister: list{replicas}, Replicas: fake{}}, env)
	if err != nil {
		fmt.Println("core:", err)
		return
	}
	for i := 0; len(c.Held()) < state.Slots && i < 300; i++ {
		time.Sleep(50 * time.Millisecond)
	}
	if len(c.Held()) < state.Slots {
		fmt.Println("core holds", len(c.Held()), "slots, phase", c.Phase())
	}
	time.Sleep(4 * time.Second)
	caller := wire.NewCaller(env.Net)
	ctx := context.Background()
	k := kept(1200, 40000, 200, 12)
	ent := bundle{Entries: []gossip.Entry{{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: 1}, Value: k.Pack()}}}
	if _, err := wire.Call[bundle, gossip.Pushed](ctx, caller, addr, "/news/push", ent); err != nil {
		fmt.Println(err)
	}
	idle0, at := cpu(), time.Now()
	time.Sleep(2 * time.Second)
	idle := float64(cpu()-idle0) / float64(time.Since(at))
	serial := uint64(0)
	send := func() {
		for a := range agents {
			r := aReport(a, replicas, items, 8)
			serial++
			r.Version = serial
			if a%7 == 0 {
				for i := range r.Demand {
					r.Demand[i] += serial
				}
			}
			if _, err := wire.Call[report.Report, report.Taken](ctx, caller, addr, "/place/report", r); err != nil {
				fmt.Println(err)
				return
			}
		}
	}
	send()
	before, t0 := cpu(), time.Now()
	send()
	spent := float64(cpu()-before) - idle*float64(time.Since(t0))
	b0 := cpu()
	for a := range agents {
		r := aReport(a, replicas, items, 8)
		for i := range r.Demand {
			r.Demand[i] += 1
		}
		sink = wire.Pack(r)
	}
	client := float64(cpu() - b0)
	fmt.Printf("replicas %d nodes %d items %d: %.0f us a report, %.0f of them making it\n", replicas, agents, items, spent/1000/float64(agents), client/1000/float64(agents))
	_ = c.Kill()
}

func cadence() bounds.Cadence {
	return bounds.Cadence{ReplicaIdle: 700 * time.Millisecond, ReplicaBusy: 40 * time.Millisecond, List: 900 * time.Millisecond,
		ListSpare: 1200 * time.Millisecond, Plan: 50 * time.Millisecond, Again: 300 * time.Millisecond, Share: 500 * time.Millisecond,
		Report: 500 * time.Millisecond, Keep: 20 * time.Second, Hold: 8 * time.Second, Ask: 350 * time.Millisecond, Tasks: 3, Handback: time.Minute, Start: 6 * time.Second}
}

func freeAddr() string {
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	defer ln.Close()
	return ln.Addr().String()
}

// fleet runs cores and agents for real and counts what an agent sends; a loop stands for each proxy.
func fleet(cores, agents, replicas, items int) {
	cn := &counted{Net: wire.Host()}
	env := func() core.Env {
		return core.Env{Net: wire.Host(), Clock: tick.Machine(), FS: vfs.NewMem(), Log: ring.New(io.Discard, 10)}
	}
	var addrs []string
	for range cores {
		addrs = append(addrs, freeAddr())
	}
	var cs []*core.Core
	for i, a := range addrs {
		c, err := core.Start(core.Settings{Fleet: "x", Name: fmt.Sprintf("core-%d", i), Zone: zone(i), Addr: a, Seeds: addrs, Folder: "d", Founders: addrs, MayFound: true, Cadence: cadence(), Lister: list{replicas}, Replicas: fake{}}, env())
		if err != nil {
			fmt.Println(err)
			return
		}
		cs = append(cs, c)
	}
	var as []*agent.Agent
	ctx, g := context.Background(), run.NewGroup(context.Background())
	var feeds, feedBytes atomic.Int64
	for i := range agents {
		f := freeAddr()
		e := env()
		e.Net = cn
		a, err := agent.Start(agent.Settings{Name: nodeName(i), Zone: zone(i), Addr: freeAddr(), Feed: f, Seeds: addrs, Cadence: cadence(), Lister: list{replicas}}, e)
		if err != nil {
			fmt.Println(err)
			return
		}
		as = append(as, a)
		caller := wire.NewCaller(wire.Host())
		g.Go(func(ctx context.Context) {
			up := feed.Up{Boot: "0123456789abcdef", Report: aReport(i, replicas, items, 8), HoldMs: 200}
			for ctx.Err() == nil {
				up.Report.Version++
				d, err := wire.Call[feed.Up, feed.Down](ctx, caller, f, feed.Path, up)
				if err == nil {
					up.AgentBoot, up.Cursor, up.Confirmed = d.AgentBoot, d.Cursor, d.Confirmed
				}
				run.Wait(ctx, 2*time.Millisecond)
				n, b := caller.Sent()
				_ = n
				if i == 0 {
					feeds.Store(n)
					feedBytes.Store(b)
				}
			}
		})
	}
	time.Sleep(14 * time.Second)
	type sent struct{ calls, bytes, grams int64 }
	at := make([]sent, len(as))
	for i, a := range as {
		at[i].calls, at[i].bytes, at[i].grams = a.Sent()
	}
	f0, fb0 := feeds.Load(), feedBytes.Load()
	o0, i0, g0, b0 := cn.out.Load(), cn.in.Load(), cn.gramsOut.Load(), cn.gramBytes.Load()
	c0, t0 := cpu(), time.Now()
	time.Sleep(10 * time.Second)
	took := time.Since(t0).Seconds()
	spent := (cpu() - c0).Seconds() / took * 100
	var sum sent
	for i, a := range as {
		x, y, z := a.Sent()
		sum.calls, sum.bytes, sum.grams = sum.calls+x-at[i].calls, sum.bytes+y-at[i].bytes, sum.grams+z-at[i].grams
	}
	n := float64(len(as)) * took
	fmt.Printf("   on the wire, an agent: out %.0f in %.0f bytes/s by TCP for %.0f of bodies, %.1f datagrams/s of %.0f bytes\n", float64(cn.out.Load()-o0)/n, float64(cn.in.Load()-i0)/n, float64(sum.bytes)/n, float64(cn.gramsOut.Load()-g0)/n, float64(cn.gramBytes.Load()-b0)/float64(cn.gramsOut.Load()-g0))
	st := cs[0].Status(ctx).(map[string]any)
	fmt.Printf("cores %d agents %d replicas %d items %d: an agent makes %.1f calls/s, %.0f bytes/s in them and their answers, %.1f datagrams/s; feed %.1f calls/s %.0f bytes/s; all together %.0f %% of a processor; news %v\n",
		cores, agents, replicas, items, float64(sum.calls)/n, float64(sum.bytes)/n, float64(sum.grams)/n, float64(feeds.Load()-f0)/took, float64(feedBytes.Load()-fb0)/took, spent, st["counts"].(map[string]int64)["news"])
	g.Stop()
	for _, a := range as {
		a.Kill()
	}
	for _, c := range cs {
		_ = c.Kill()
	}
}

func fleets() {
	for _, n := range []int{10, 20, 40} {
		fleet(3, n, 40, 50)
	}
	for _, r := range []int{20, 80, 160} {
		fleet(3, 10, r, 50)
	}
	for _, n := range []int{200, 800} {
		fleet(3, 10, 40, n)
	}
	fleet(5, 10, 40, 50)
}

// counted counts the bytes of connections and datagrams, headers of HTTP included, those of TCP and IP not.
type counted struct {
	wire.Net
	out, in, gramsOut, gramBytes, dials atomic.Int64
}
type conn struct {
	net.Conn
	c *counted
}
type packets struct {
	net.PacketConn
	c *counted
}

func (c *counted) Dial(ctx context.Context, n, a string) (net.Conn, error) {
	x, err := c.Net.Dial(ctx, n, a)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	return conn{x, c}, nil
}
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.in.Add(int64(n))
	return n, err
}
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.out.Add(int64(n))
	return n, err
}
func (c *counted) ListenPacket(a string) (net.PacketConn, error) {
	p, err := c.Net.ListenPacket(a)
	return packets{p, c}, err
}
func (p packets) WriteTo(b []byte, a net.Addr) (int, error) {
	p.c.gramsOut.Add(1)
	p.c.gramBytes.Add(int64(len(b)))
	return p.PacketConn.WriteTo(b, a)
}

func draws() {
	for _, slots := range []int{16, 256} {
		hist := map[int]int{}
		sum, over := 0.0, 0
		for range 2000 {
			load := map[string]int{}
			var names []string
			for i := range 7 {
				names = append(names, fmt.Sprintf("core-%d-%x", i, rand.Uint32()))
			}
			for s := range slots {
				best, at := uint64(0), ""
				for _, n := range names {
					if d := share.Draw([]byte{byte(s)}, n); d >= best {
						best, at = d, n
					}
				}
				load[at]++
			}
			m := 0
			for _, v := range load {
				m = max(m, v)
			}
			hist[m]++
			sum += float64(m)
			if len(load) < 7 {
				over++
			}
		}
		fmt.Println(slots, "slots over 7 cores: largest share, mean", sum/2000, "of mean", float64(slots)/7, "; a core without any in", over, "of 2000", hist)
	}
}

// largest tells up to how many items in use one slot's table can still be answered in one message.
func largest() {
	fmt.Println("== whole table of a slot, as an acceptor answers it")
	h := demand.Hour{Hour: 1 << 27, Seen: map[string]uint64{}}
	for i := range 410 {
		h.Seen[nodeName(i)+"/0123456789abcdef"] = uint64(1000 + i)
	}
	v := h.Pack()
	for _, items := range []int{1, 4, 13, 14} {
		mux := wire.NewMux()
		wire.Handle(mux, "/state/prepare", func(context.Context, state.Ask) (state.Reply, error) {
			r := state.Reply{OK: true, Epoch: 41}
			for i := range items {
				for hour := range int64(demand.KeptHours) {
					r.Records = append(r.Records, state.Record{Key: plan.DemandKey(conf.ParseItem(itemName(i)), hour), Stamp: stamp(i), Value: v})
				}
			}
			return r, nil
		})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Println(err)
			return
		}
		g, srv, caller := run.NewGroup(context.Background()), wire.NewServer(ln, mux), wire.NewCaller(wire.Host())
		g.Go(srv.Run)
		began := time.Now()
		r, err := wire.Call[state.Ask, state.Reply](context.Background(), caller, ln.Addr().String(), "/state/prepare", state.Ask{})
		_, n := caller.Sent()
		fmt.Printf("items %d: %d bytes, %d records read in %d ms, %v\n", items, n, len(r.Records), time.Since(began).Milliseconds(), err)
		srv.Close()
		g.Stop()
	}
}
