package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/agent"
	"drumstall.example/internal/core"
	"drumstall.example/internal/feed"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
)

func freeAddr() string {
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	defer ln.Close()
	return ln.Addr().String()
}

// fleet runs cores and agents for real and counts what an agent sends; a loop stands for each proxy.
func fleet(cores, agents, replicas, items int) {
	cn := NewMeter(wire.HostNetwork())
	env := func() core.Env {
		return core.Env{Net: wire.HostNetwork(), Clock: tick.MachineClock(), FS: vfs.NewMem(), Log: ring.New(io.Discard, 10)}
	}
	var addrs []string
	for range cores {
		addrs = append(addrs, freeAddr())
	}
	var cs []*core.Core
	for i, a := range addrs {
		c, err := core.Start(core.Settings{Fleet: "x", Name: fmt.Sprintf("core-%d", i), Zone: zone(i), Addr: a, Seeds: addrs, Folder: "d", InitialAddrs: addrs, MayBootstrap: true, Cadence: Cadence(), Lister: list{replicas}, Replicas: fake{}}, env())
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
		a, err := agent.Start(agent.Settings{Name: NodeName(i), Zone: zone(i), Addr: freeAddr(), Feed: f, Seeds: addrs, Cadence: Cadence(), Lister: list{replicas}}, e)
		if err != nil {
			fmt.Println(err)
			return
		}
		as = append(as, a)
		caller := wire.NewClient(wire.HostNetwork())
		g.Go(func(ctx context.Context) {
			up := feed.Request{Boot: "0123456789abcdef", Report: aReport(i, replicas, items, 8), MaxWaitMs: 200}
			for ctx.Err() == nil {
				up.Report.Version++
				d, err := wire.Call[feed.Request, feed.Reply](ctx, caller, f, feed.Path, up)
				if err == nil {
					up.AgentBoot, up.Cursor, up.Confirmed = d.AgentBoot, d.Cursor, d.Confirmed
				}
				run.Sleep(ctx, 2*time.Millisecond)
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
	callsBefore, gramsBefore := onTheWire(cn)
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
	callsAfter, gramsAfter := onTheWire(cn)
	called, grams := callsAfter.Minus(callsBefore), gramsAfter.Minus(gramsBefore)
	fmt.Printf("   on the wire, an agent: out %.0f in %.0f bytes/s by TCP for %.0f of bodies, %.1f datagrams/s of %.0f bytes\n", float64(called.Out)/n, float64(called.In)/n, float64(sum.bytes)/n, float64(grams.Messages)/n, float64(grams.Out)/float64(grams.Messages))
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

// onTheWire is the traffic of the calls that were made, and of the datagrams.
func onTheWire(m *Meter) (calls, grams Traffic) {
	for kind, t := range m.Counts() {
		switch {
		case strings.HasPrefix(kind, Asked):
			calls = calls.Plus(t)
		case strings.HasPrefix(kind, Datagram):
			grams = grams.Plus(t)
		}
	}
	return calls, grams
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
