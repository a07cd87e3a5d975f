package plan

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/state"
)

// decide asks the best candidates and keeps the decision; it says whether a load was taken on.
func (p *Planner) executeDecision(ctx context.Context, cfg conf.Effective, d Decision, views order.Statuses) (taken bool) {
	d.weights = cfg.Weights
	by := map[string]order.Status{}
	for _, v := range views.All {
		by[v.Listed.ID] = v
	}
	ready, undecided := 0, false
	var names []string
	for _, c := range d.Candidates[:min(p.currentCandidateLimit(), len(d.Candidates))] {
		if c.Vetoed {
			break
		}
		names = append(names, c.Name)
	}
	answers := p.askDry(ctx, d, names, by)
	// Why: of those that agree, the one that takes the store's time the least, then the one that is ready clearly
	// sooner, then the one whose victims are worth least; the judges' order decides between equals.
	for len(names) > 0 && d.AcceptedBy == "" && !undecided {
		best := p.pendingAsks.choose(names, answers)
		if best < 0 {
			break
		}
		a, unsure := p.askController(ctx, d, by[names[best]].Controller, names[best], false)
		p.pendingAsks.release(names[best])
		undecided = undecided || unsure
		answers[best] = a
		if a.Accepted {
			d.AcceptedBy, ready = names[best], a.ReadyMs
		}
	}
	p.candidateLimit.update(answers)
	soon := false
	for i, a := range answers {
		soon = soon || a.Temporary
		d.Answers = append(d.Answers, CandidateAnswer{names[i], a})
		undecided = undecided || a.Unanswered
	}
	p.d.Log.Info("decision", "item", d.Item, "cause", d.Cause, "penalty", d.Penalty, "alone", d.NoHolder, "taken", d.AcceptedBy, "why", d.rejectionReasons())
	e := Expectation{ReadyMs: ready}
	if d.AcceptedBy == "" {
		e = Expectation{Refused: true, RetryAfterS: 2, Reason: "no replica can load it now"}
		if d.NoHolder && !d.BypassTest {
			e.RetryAfterS, e.Reason = int(cfg.Limits.PassEvery/time.Second)/4+1, "what it would drive out is wanted more now"
			// Why: the store may have time to spare again well before the next pass is due.
			if cfg.Limits.PassSlack > 0 {
				e.RetryAfterS = min(e.RetryAfterS, int(pace.UtilizationSpan/time.Second)/3)
			}
		}
	}
	_ = p.actor.Tell(func() {
		now := p.d.Clock.Since()
		if i := p.items[conf.ParseItem(d.Item)]; i != nil && !d.isClaim {
			if d.BypassTest && d.AcceptedBy != "" {
				i.lastBypass = now
			}
			// Why: what is in use now is idle in a moment, and requests that could be held for it would be turned away
			// for nothing; but not for ever, for they could go elsewhere.
			switch {
			case d.AcceptedBy != "" || !soon:
				i.blockedSince = 0
			case i.blockedSince == 0 || now-i.blockedSince > 2*transientBlockGrace:
				i.blockedSince = now
			}
			if i.blockedSince > 0 && now-i.blockedSince < transientBlockGrace {
				e = Expectation{Retrying: true, Reason: "what could make room is in use"}
			}
		}
		p.decisionLog.PushBack(d)
		if p.decisionLog.Len() > maxDecisionsKept {
			p.decisionLog.PopFront()
		}
		// Why: a refusal only matters where nobody holds the item, and only if every candidate was heard. A core that
		// has just started has heard of no replica yet; what it does not know of may hold the item.
		if d.isClaim || d.AcceptedBy == "" && (!d.NoHolder || undecided || !anyReplicaReachable(views)) {
			return
		}
		it := conf.ParseItem(d.Item)
		epoch, _, _ := p.d.Owner.MayOrder(DemandKey(it, 0))
		p.expectationSerial++
		p.d.Gossip.Put(gossip.Entry{Key: ExpectationKey(d.Item), Stamp: state.Stamp{Epoch: epoch, Version: p.expectationSerial}, Value: wire.Pack(e)})
	})
	return d.AcceptedBy != ""
}

// mostAsked is how many candidates are asked for one decision. Why: each answer weighs all that might go at a replica; a
// few good ones now are worth more than the best of many when a core comes late to its work.
func (p *Planner) currentCandidateLimit() int {
	if p.isBusy() {
		return minCandidates
	}
	return p.candidateLimit.current()
}

// heardOfAny says whether any replica of models is known that answers its controller.
func anyReplicaReachable(views order.Statuses) bool {
	return slices.ContainsFunc(views.All, func(v order.Status) bool { return v.Listed.Model && !v.Stale })
}

// reasons counts why candidates did not take an item.
func (d Decision) rejectionReasons() string {
	if d.AcceptedBy != "" {
		return ""
	}
	count := map[string]int{}
	for _, t := range d.Answers {
		count[t.Answer.Why]++
	}
	var out []string
	for _, why := range slices.Sorted(maps.Keys(count)) {
		out = append(out, fmt.Sprintf("%d: %s", count[why], why))
	}
	return strings.Join(out, "; ")
}

// clearly is by how much one replica must be ready sooner than another to be taken for that.
const readyMarginMs = 400 // ms

// better says whether a load is rather ordered where a was answered than where b was; so many other decisions are
// asking for a load there at this moment.
func betterAnswer(a order.ConsiderResponse, askedA int, b order.ConsiderResponse, askedB int) bool {
	switch {
	case a.Starts != b.Starts:
		return a.Starts < b.Starts
	case askedA != askedB:
		return askedA < askedB
	case a.ReadyMs+readyMarginMs < b.ReadyMs:
		return true
	case b.ReadyMs+readyMarginMs < a.ReadyMs:
		return false
	}
	return a.VictimPenalty < b.VictimPenalty
}

// Explain gives the newest decisions first, about one item or all.
func (p *Planner) Explain(ctx context.Context, about string) []Decision {
	out := []Decision{}
	_ = p.actor.Ask(ctx, func() {
		for i := p.decisionLog.Len() - 1; i >= 0; i-- {
			d := p.decisionLog.At(i)
			if about == "" || d.Item == about || conf.ParseItem(d.Item).Model == about {
				out = append(out, d.withBreakdown())
			}
		}
	})
	return out
}

// explained is a decision with what the judges said of the candidates and of what
// might have gone there.
func (d Decision) withBreakdown() Decision {
	d.Candidates = slices.Clone(d.Candidates)
	for i, c := range d.Candidates {
		d.Candidates[i] = c.WithBreakdown(d.weights)
	}
	d.Answers = slices.Clone(d.Answers)
	for i := range d.Answers {
		a := &d.Answers[i].Answer
		if len(a.IdleModels)+len(a.IdleAdapters) > 0 {
			a.Idle = append(judge.RankVictimsWithBreakdown(d.weights, a.IdleModels), judge.RankVictimsWithBreakdown(d.weights, a.IdleAdapters)...)
		}
	}
	return d
}
