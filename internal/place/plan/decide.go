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

// executeDecision asks the best candidates, orders the load and records the decision. It reports whether a controller accepted
// the load.
func (p *Planner) executeDecision(ctx context.Context, cfg conf.Effective, d Decision, statuses order.Statuses) (accepted bool) {
	d.weights = cfg.Weights
	statusOf := map[string]order.Status{}
	for _, v := range statuses.All {
		statusOf[v.Listed.ID] = v
	}
	ready, undecided := 0, false
	var names []string
	for _, c := range d.Candidates[:min(p.currentCandidateLimit(), len(d.Candidates))] {
		if c.Vetoed {
			break
		}
		names = append(names, c.Name)
	}
	answers := p.askDry(ctx, d, names, statusOf)
	// Of the candidates that agree, betterAnswer prefers the one with the fewest load starts on the weight store, then the
	// one with the fewest concurrent asks, then the one ready clearly sooner, then the one with the lowest victim penalty.
	// Ties are decided by rank.
	for len(names) > 0 && d.AcceptedBy == "" && !undecided {
		best := p.pendingAsks.choose(names, answers)
		if best < 0 {
			break
		}
		a, unsure := p.askController(ctx, d, statusOf[names[best]].Controller, names[best], false)
		p.pendingAsks.release(names[best])
		undecided = undecided || unsure
		answers[best] = a
		if a.Accepted {
			d.AcceptedBy, ready = names[best], a.ReadyMs
		}
	}
	p.candidateLimit.update(answers)
	transient := false
	for i, a := range answers {
		transient = transient || a.Temporary
		d.Answers = append(d.Answers, CandidateAnswer{names[i], a})
		undecided = undecided || a.Unanswered
	}
	p.d.Log.Info("decision", "item", d.Item, "cause", d.Cause, "penalty", d.Penalty, "alone", d.NoHolder, "taken", d.AcceptedBy, "why", d.rejectionReasons())
	expectation := Expectation{ReadyMs: ready}
	if d.AcceptedBy == "" {
		expectation = Expectation{Refused: true, RetryAfterS: 2, Reason: "no replica can load it now"}
		if d.NoHolder && !d.BypassTest {
			expectation.RetryAfterS, expectation.Reason = int(cfg.Limits.CsfBypassInterval/time.Second)/4+1, "what it would drive out is wanted more now"
			// The weight store may have spare capacity again well before the next load without the eviction test is due.
			if cfg.Limits.CsfBypassPaceShare > 0 {
				expectation.RetryAfterS = min(expectation.RetryAfterS, int(pace.UtilizationSpan/time.Second)/3)
			}
		}
	}
	_ = p.actor.TryEnqueue(func() {
		now := p.d.Clock.Since()
		if entry := p.items[conf.ParseItem(d.Item)]; entry != nil && !d.isClaim {
			if d.BypassTest && d.AcceptedBy != "" {
				entry.lastBypass = now
			}
			// Items in use become idle shortly, so requests are held for a while instead of being refused needlessly; not
			// indefinitely, because callers could send them elsewhere.
			switch {
			case d.AcceptedBy != "" || !transient:
				entry.blockedSince = 0
			case entry.blockedSince == 0 || now-entry.blockedSince > 2*transientBlockGrace:
				entry.blockedSince = now
			}
			if entry.blockedSince > 0 && now-entry.blockedSince < transientBlockGrace {
				expectation = Expectation{Retrying: true, Reason: "what could make room is in use"}
			}
		}
		p.decisionLog.PushBack(d)
		if p.decisionLog.Len() > maxDecisionsKept {
			p.decisionLog.PopFront()
		}
		// A refusal is published only if no replica holds the item and every candidate answered. A core that has just
		// started knows no replicas yet, and an unknown replica may hold the item.
		if d.isClaim || d.AcceptedBy == "" && (!d.NoHolder || undecided || !anyReplicaReachable(statuses)) {
			return
		}
		it := conf.ParseItem(d.Item)
		epoch, _, _ := p.d.Owner.MayOrder(DemandKey(it, 0))
		p.expectationVersion++
		p.d.Gossip.Put(gossip.Entry{Key: ExpectationKey(d.Item), Stamp: state.Stamp{Epoch: epoch, Version: p.expectationVersion}, Value: wire.Marshal(expectation)})
	})
	return d.AcceptedBy != ""
}

// currentCandidateLimit returns how many candidates are asked for one decision. For each answer a controller scores all
// possible victims of a replica, so a busy core asks only a few: a good candidate now is better than the best one late.
func (p *Planner) currentCandidateLimit() int {
	if p.isBusy() {
		return minCandidates
	}
	return p.candidateLimit.current()
}

// anyReplicaReachable reports whether any known model replica answers its controller.
func anyReplicaReachable(statuses order.Statuses) bool {
	return slices.ContainsFunc(statuses.All, func(v order.Status) bool { return v.Listed.Model && !v.Stale })
}

// rejectionReasons summarizes why the candidates rejected the item; it is empty if one accepted it.
func (d Decision) rejectionReasons() string {
	if d.AcceptedBy != "" {
		return ""
	}
	count := map[string]int{}
	for _, candidate := range d.Answers {
		count[candidate.Answer.Why]++
	}
	var out []string
	for _, why := range slices.Sorted(maps.Keys(count)) {
		out = append(out, fmt.Sprintf("%d: %s", count[why], why))
	}
	return strings.Join(out, "; ")
}

// readyMarginMs is by how much sooner one replica must be ready than another to be preferred for it.
const readyMarginMs = 400

// betterAnswer reports whether the replica that answered a is preferred to the one that answered b; askedA and askedB are
// the numbers of concurrent decisions that have chosen each replica and wait for its controller.
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

// Explain returns the recorded decisions, newest first, about one item or model, or about all if itemOrModel is empty.
func (p *Planner) Explain(ctx context.Context, itemOrModel string) []Decision {
	out := []Decision{}
	_ = p.actor.Do(ctx, func() {
		for i := p.decisionLog.Len() - 1; i >= 0; i-- {
			d := p.decisionLog.At(i)
			if itemOrModel == "" || d.Item == itemOrModel || conf.ParseItem(d.Item).Model == itemOrModel {
				out = append(out, d.withBreakdown())
			}
		}
	})
	return out
}

// withBreakdown returns a copy of the decision with the score breakdown of the
// candidates and of their possible victims.
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
