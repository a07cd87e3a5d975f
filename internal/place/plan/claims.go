package plan

import (
	"context"
	"fmt"
	"maps"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/penalty"
)

// claimDecisions prepares decisions for missing copies that claims require.
func (p *Planner) claimDecisions(cfg conf.Effective, statuses order.Statuses, now time.Duration) []Decision {
	var out []Decision
	unmet := map[string]string{}
	for _, want := range cfg.RequiredCopies() {
		if !p.ownsItem(want.Item) {
			continue
		}
		copies, ready := 0, 0
		for _, v := range statuses.All {
			s := v.Items[want.Item.String()]
			if v.Stale || v.Listed.Leaving || !want.Group.Matches(labels.Set(v.Listed.Labels)) {
				continue
			}
			if s == backend.Loaded || s == backend.Loading || s == order.Reserved {
				copies++
			}
			if s == backend.Loaded {
				ready++
			}
		}
		key := want.Claim + ": " + want.Item.String()
		if ready < want.Copies {
			unmet[key] = fmt.Sprintf("%d of %d copies are ready, %d on the way", ready, want.Copies, copies-ready)
		}
		if copies >= want.Copies || now-p.claimDecidedAt[want.Item] < claimRetryInterval && p.claimDecidedAt[want.Item] != 0 {
			continue
		}
		m := cfg.Models[want.Item.Model]
		d := Decision{At: p.d.Clock.Wall(), Core: p.d.Self, Item: want.Item.String(), Cause: "claim " + want.Claim, Requests: p.PredictedRequests(want.Item.String()), Accuracy: 1, isClaim: true,
			CheapestMs: (m.ExpectedLoadTime + m.ExpectedServeTime).Milliseconds(), Csf: cfg.Limits.Csf}
		d.Penalty = penalty.Of(d.Requests, m.ExpectedLoadTime+m.ExpectedServeTime)
		d.selector = want.Group
		out = append(out, d)
	}
	p.unmetClaims = unmet
	return out
}

// UnmetClaims returns the claims whose copies are not all ready, with the number of copies.
func (p *Planner) UnmetClaims(ctx context.Context) map[string]string {
	out := map[string]string{}
	_ = p.actor.Do(ctx, func() {
		maps.Copy(out, p.unmetClaims)
	})
	return out
}
