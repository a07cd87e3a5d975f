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

// sharesOf tells how some slots are shared over seven cores, by who is preferred for each.
func sharesOf(what string, slots int, preferred func(keys [][]byte, names []string) []string) {
	const sets = 2000
	keys := make([][]byte, slots)
	for slot := range keys {
		keys[slot] = []byte{byte(slot)}
	}
	largest, without := 0, 0
	for range sets {
		var names []string
		for i := range 7 {
			names = append(names, fmt.Sprintf("core-%d-%x", i, rand.Uint32()))
		}
		has := map[string]int{}
		most := 0
		for _, name := range preferred(keys, names) {
			has[name]++
			most = max(most, has[name])
		}
		largest += most
		if len(has) < len(names) {
			without++
		}
	}
	fmt.Printf("%d slots over 7 cores, %s: largest share %.2f of a mean of %.2f; a core without any in %d of %d\n", slots, what, float64(largest)/sets, float64(slots)/7, without, sets)
}

// byDraws prefers the core with the highest draw for each slot.
func byDraws(keys [][]byte, names []string) (out []string) {
	for _, key := range keys {
		out = append(out, share.RankNames(key, names)[0])
	}
	return out
}

func draws() {
	sharesOf("by draws", state.SlotCount, byDraws)
	sharesOf("spread", state.SlotCount, share.Assign)
	sharesOf("by draws", 256, byDraws)
	sharesOf("spread", 256, share.Assign)
}

// largest tells up to how many items in use one slot's table can still be answered in one message.
func largest() {
	fmt.Println("== whole table of a slot, as an acceptor answers it")
	h := demand.Hour{Hour: 1 << 27, ReporterTotals: map[string]uint64{}}
	for i := range 410 {
		h.ReporterTotals[NodeName(i)+"/0123456789abcdef"] = uint64(1000 + i)
	}
	v := h.Pack()
	for _, items := range []int{1, 4, 13, 14} {
		mux := wire.NewMux()
		wire.Handle(mux, "/state/prepare", func(context.Context, state.Request) (state.Reply, error) {
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
		g, srv, caller := run.NewGroup(context.Background()), wire.NewServer(ln, mux), wire.NewClient(wire.HostNetwork())
		g.Go(srv.Run)
		began := time.Now()
		r, err := wire.Call[state.Request, state.Reply](context.Background(), caller, ln.Addr().String(), "/state/prepare", state.Request{})
		_, n := caller.Sent()
		fmt.Printf("items %d: %d bytes, %d records read in %d ms, %v\n", items, n, len(r.Records), time.Since(began).Milliseconds(), err)
		srv.Close()
		g.Stop()
	}
}
