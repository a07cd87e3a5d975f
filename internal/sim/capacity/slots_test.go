package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/demand"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/state"
)

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
		h.Seen[NodeName(i)+"/0123456789abcdef"] = uint64(1000 + i)
	}
	v := h.Pack()
	for _, items := range []int{1, 4, 13, 14} {
		mux := wire.NewMux()
		wire.Handle(mux, "/state/prepare", func(context.Context, state.Ask) (state.Reply, error) {
			r := state.Reply{OK: true, Epoch: 41}
			for i := range items {
				for hour := range int64(demand.KeptHours) {
					r.Records = append(r.Records, state.Record{Key: plan.DemandKey(conf.ParseItem(ItemName(i)), hour), Stamp: stamp(i), Value: v})
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
