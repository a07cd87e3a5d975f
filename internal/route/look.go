package route

import (
	"context"
	"math/rand/v2"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
)

type report struct {
	v     backend.Report
	at    time.Duration
	mine  int64 // our requests on it when it was asked
	other int   // those of others then
	was   int   // those of others at the look before
	known bool
	luck  float64 // drawn for this report
}

// look asks replicas how they are; the table so goes on without controllers.
func (k *Keeper) look(ctx context.Context, which func(*Replica) bool) {
	s := k.Now()
	ids := make([]string, 0, len(s.Replicas))
	for id, r := range s.Replicas {
		if which(r) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	type answer struct {
		id string
		r  report
	}
	asked := k.clock.Since()
	ch := run.Fan(k.group, len(ids), func(ctx context.Context, i int) answer {
		ctx, cancel := context.WithTimeout(ctx, lookFor)
		defer cancel()
		r := s.Replicas[ids[i]]
		mine := r.Live.Inflight.Load()
		v, err := k.d.Replicas.Report(ctx, r.Listed.Target())
		return answer{ids[i], report{v: v, at: asked, mine: mine, known: err == nil}}
	})
	var got []answer
	for range ids {
		a := <-ch
		if !a.r.known {
			if a.id == "" { // this proxy is stopping
				continue
			}
			// Why: one that does not say how it is may be dark; whoever has a choice goes elsewhere until it does.
			s.Replicas[a.id].Live.silent.Store(int64(asked))
			continue
		}
		got = append(got, a)
		if a.r.v.Leaving {
			inventory.Mark(k.gossip, a.id)
		}
	}
	_ = k.actor.Tell(func() {
		for _, a := range got {
			a.r.other, a.r.was = max(0, a.r.v.Inflight-int(a.r.mine)), k.heard[a.id].other
			a.r.luck = rand.Float64()
			if a.r.v.Inflight >= a.r.v.Slots {
				k.full[a.r.v.Model] = a.r.at
			}
			k.heard[a.id] = a.r
		}
		k.renew()
	})
}
