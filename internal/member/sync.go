package member

import (
	"context"
	"math/rand/v2"
	"time"

	"drumstall.example/internal/kernel/wire"
)

// sync exchanges whole tables with one peer, and with a seed now and then.
func (t *Table) sync(seed bool) {
	var addrs []string
	if p := t.some(1, ""); len(p) > 0 {
		addrs = append(addrs, p[0].Addr)
	}
	if len(t.seeds) > 0 && (len(addrs) == 0 || seed) {
		addrs = append(addrs, t.seeds[rand.IntN(len(t.seeds))])
	}
	for i, n := range rand.Perm(len(t.met)) {
		if i == helpers {
			break
		}
		addrs = append(addrs, t.met[n])
	}
	q := t.roll()
	for _, addr := range addrs {
		if addr == t.self.Addr {
			continue
		}
		t.group.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if a, err := wire.Call[Roll, Roll](ctx, t.caller, addr, "/member/sync", q); err == nil {
				_ = t.desk.Tell(func() { t.mergeAll(a.Nodes) })
			}
		})
	}
}
