package fleet

import (
	"context"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/stand"
)

func (x *nemesis) coresGone(ms int) {
	for _, n := range x.f.Cores {
		x.f.KillCore(n, true)
	}
	x.wait(ms)
	for _, n := range x.f.Cores {
		x.f.StartCore(n)
	}
	x.f.back()
}

func (x *nemesis) edgesGone(ms int) {
	for _, n := range x.f.Edges {
		x.f.KillEdge(n)
	}
	x.wait(ms)
	for _, n := range x.f.Edges {
		x.f.StartEdge(n)
	}
	x.f.back()
}

// others are the addresses of all machines but some, the platform's too.
func (x *nemesis) others(but ...string) []string {
	out := []string{"10.9.0.1"}
next:
	for _, ip := range append(IPs(x.f.Cores), IPs(x.f.Edges)...) {
		for _, b := range but {
			if ip == b {
				continue next
			}
		}
		out = append(out, ip)
	}
	return out
}

// cut keeps two sides apart for a while; the edges named cannot learn of what
// the others acknowledge meanwhile.
func (x *nemesis) cut(a, b []string, ms int, deaf ...*Node) {
	x.f.Between(a, b, true)
	for _, n := range deaf {
		x.f.Down(n)
	}
	x.wait(ms)
	x.f.Between(a, b, false)
	if len(deaf) > 0 {
		// Why: who was thought dead is looked for every second or two; a machine is back once it is found.
		time.Sleep(3 * time.Second)
	}
	for _, n := range deaf {
		x.f.Up(n)
	}
}

func (x *nemesis) disk(how int32) {
	x.core(func(n *Node) {
		x.f.Disk(n, how)
		x.wait(5000)
		x.f.Disk(n, DiskGood)
	})
}

// crowd asks for items, all at one moment, at all edges.
func (x *nemesis) crowd(n int, item func(i int) conf.Item) {
	spots, fl := x.f.Spots(), x.f.D.Flows[1]
	for i := range n {
		x.f.Group.Go(func(ctx context.Context) {
			x.f.Clients.Ask(ctx, spots[i%len(spots)], stand.Request{Class: "crowd", Route: fl.Route, Item: item(i), Prompt: "the same for all"})
		})
	}
	x.wait(3000)
}

// acked gets a configuration acknowledged and says by which core, or nobody.
func (x *nemesis) acked() *Node {
	for _, i := range x.f.Rnd.Perm(len(x.f.Cores)) {
		if n := x.f.Cores[i]; n.Core != nil {
			if _, ok := x.f.patchNow(i); ok {
				return n
			}
		}
	}
	return nil
}
