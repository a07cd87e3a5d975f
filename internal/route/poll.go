package route

import (
	"context"
	"math/rand/v2"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
)

// report is a replica's own report, or the failure to get one.
type report struct {
	status         backend.Report
	requestedAt    time.Duration
	ownInflight    int64 // in-flight requests of this proxy when the report was requested
	othersInflight int   // those of other edges at that time
	previousOthers int   // those of other edges in the previous report
	valid          bool
	draw           float64 // random number in [0, 1), drawn once per report
}

// poll requests reports from replicas, so that the table stays up to date without controllers.
func (rt *Router) poll(ctx context.Context, wanted func(*Replica) bool) {
	s := rt.Current()
	ids := make([]string, 0, len(s.Replicas))
	for id, r := range s.Replicas {
		if wanted(r) {
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
	start := rt.clock.Since()
	ch := run.FanOut(rt.group, len(ids), func(ctx context.Context, i int) answer {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		r := s.Replicas[ids[i]]
		mine := r.Live.Inflight.Load()
		v, err := rt.deps.Replicas.Report(ctx, r.Listed.Target())
		return answer{ids[i], report{status: v, requestedAt: start, ownInflight: mine, valid: err == nil}}
	})
	var received []answer
	for range ids {
		a := <-ch
		if !a.r.valid {
			if a.id == "" { // this proxy is stopping
				continue
			}
			// A replica that does not report may be unreachable; requests that have a choice avoid it until it does.
			s.Replicas[a.id].Live.silentAt.Store(int64(start))
			continue
		}
		received = append(received, a)
		if a.r.status.Leaving {
			inventory.MarkLeaving(rt.gossip, a.id)
		}
	}
	_ = rt.actor.TryEnqueue(func() {
		for _, a := range received {
			a.r.othersInflight, a.r.previousOthers = max(0, a.r.status.Inflight-int(a.r.ownInflight)), rt.reports[a.id].othersInflight
			a.r.draw = rand.Float64()
			if a.r.status.Inflight >= a.r.status.Slots {
				rt.lastFull[a.r.status.Model] = a.r.requestedAt
			}
			rt.reports[a.id] = a.r
		}
		rt.renew()
	})
}
