package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/core"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/state"
)

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
	env := core.Env{Net: wire.HostNetwork(), Clock: tick.MachineClock(), FS: vfs.NewMem(), Log: ring.New(io.Discard, 10)}
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	addr := ln.Addr().String()
	_ = ln.Close()
	cad := Cadence()
	c, err := core.Start(core.Settings{Fleet: "x", Name: "core-1", Zone: "r0-z0", Addr: addr, Seeds: []string{addr}, Folder: "d", InitialAddrs: []string{addr}, MayBootstrap: true, Cadence: cad, Lister: list{replicas}, Replicas: fake{}}, env)
	if err != nil {
		fmt.Println("core:", err)
		return
	}
	for i := 0; len(c.Held()) < state.SlotCount && i < 300; i++ {
		time.Sleep(50 * time.Millisecond)
	}
	if len(c.Held()) < state.SlotCount {
		fmt.Println("core holds", len(c.Held()), "slots, phase", c.Phase())
	}
	time.Sleep(4 * time.Second)
	caller := wire.NewClient(env.Net)
	ctx := context.Background()
	k := kept(1200, 40000, 200, 12)
	ent := bundle{Entries: []gossip.Entry{{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: 1}, Value: k.Pack()}}}
	if _, err := wire.Call[bundle, gossip.PushReply](ctx, caller, addr, "/news/push", ent); err != nil {
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
			if _, err := wire.Call[report.Report, report.Response](ctx, caller, addr, "/place/report", r); err != nil {
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
		sink = wire.Marshal(r)
	}
	client := float64(cpu() - b0)
	fmt.Printf("replicas %d nodes %d items %d: %.0f us a report, %.0f of them making it\n", replicas, agents, items, spent/1000/float64(agents), client/1000/float64(agents))
	_ = c.Kill()
}
