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
	status         backend.Report
	requestedAt    time.Duration
	ownInflight    int64 // our requests on it when it was asked
	othersInflight int   // those of others then
	previousOthers int   // those of others at the look before
	valid          bool
	draw           float64 // drawn for this report
}

// look asks replicas how they are; the table so goes on without controllers.
func (k *Router) poll(ctx context.Context, which func(*Replica) bool) {
	s := k.Current()
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
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		r := s.Replicas[ids[i]]
		mine := r.Live.Inflight.Load()
		v, err := k.deps.Replicas.Report(ctx, r.Listed.Target())
		return answer{ids[i], report{status: v, requestedAt: asked, ownInflight: mine, valid: err == nil}}
	})
	var got []answer
	for range ids {
		a := <-ch
		if !a.r.valid {
			if a.id == "" { // this proxy is stopping
				continue
			}
			// Why: one that does not say how it is may be dark; whoever has a choice goes elsewhere until it does.
			s.Replicas[a.id].Live.silentAt.Store(int64(asked))
			continue
		}
		got = append(got, a)
		if a.r.status.Leaving {
			inventory.Mark(k.gossip, a.id)
		}
	}
	_ = k.actor.Tell(func() {
		for _, a := range got {
			a.r.othersInflight, a.r.previousOthers = max(0, a.r.status.Inflight-int(a.r.ownInflight)), k.reports[a.id].othersInflight
			a.r.draw = rand.Float64()
			if a.r.status.Inflight >= a.r.status.Slots {
				k.lastFull[a.r.status.Model] = a.r.requestedAt
			}
			k.reports[a.id] = a.r
		}
		k.renew()
	})
}
