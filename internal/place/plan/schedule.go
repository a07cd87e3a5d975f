package plan

import (
	"context"
	"sort"
	"sync"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/order"
)

// maxConcurrentDecisions is how many decisions a planner makes concurrently. Each waits for answers of several cores; if
// they were sequential, one slow core would delay all following decisions.
const maxConcurrentDecisions = 8

// subject identifies what a decision is about: a miss of an item, or a claim's copy of it.
type subject struct {
	item  conf.Item
	claim bool
}

// subject returns what the decision is about.
func (d Decision) subject() subject { return subject{conf.ParseItem(d.Item), d.isClaim} }

// onTick starts the due decisions, most urgent first, up to maxConcurrentDecisions.
func (p *Planner) onTick() {
	now := p.d.Clock.Since()
	cfg := p.d.Conf()
	waiting, delayed, copiesWanted := p.missedItems(now)
	p.updateWaiting(waiting, now)
	if len(waiting) == 0 && len(cfg.Claims) == 0 {
		p.unmetClaims = map[string]string{}
		return
	}
	free := maxConcurrentDecisions - len(p.inProgress)
	if free <= 0 {
		return // the first decision to finish triggers another run
	}
	statuses := p.d.Statuses()
	var due []Decision
	for it, n := range waiting {
		if p.inProgress[subject{item: it}] {
			continue
		}
		if d, ok := p.missDecision(cfg, it, n, delayed[it] > 0, copiesWanted[it], statuses, now); ok {
			due = append(due, d)
		}
	}
	for _, d := range p.claimDecisions(cfg, statuses, now) {
		if !p.inProgress[d.subject()] {
			due = append(due, d)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].precedes(due[j]) })
	for _, d := range due[:min(free, len(due))] {
		p.startDecision(cfg, d, statuses, now)
	}
}

// missedItems returns, for each item that may need a load, the number of waiting requests, the number of delayed answers,
// and the number of copies needed for its work.
func (p *Planner) missedItems(now time.Duration) (waiting, delayed, copiesWanted map[conf.Item]int) {
	waiting = p.d.Reports.Waiting(now)
	copiesWanted = p.overloadedModels(now)
	// An item whose holders are all highly loaded counts as missed too, though less than one without a holder.
	delayed = p.d.Reports.Contended(now)
	for it, n := range delayed {
		if n < minDelayedAnswers {
			delete(delayed, it)
			continue
		}
		waiting[it] = max(waiting[it], n)
	}
	for it := range copiesWanted {
		waiting[it] = max(waiting[it], 1)
	}
	return waiting, delayed, copiesWanted
}

// startDecision executes a decision concurrently with the others.
func (p *Planner) startDecision(cfg conf.Effective, d Decision, statuses order.Statuses, now time.Duration) {
	subj := d.subject()
	p.recordStart(subj, now)
	d.Candidates = p.rankCandidates(cfg, subj.item, cfg.Models[subj.item.Model], statuses, now, d.selector)
	p.inProgress[subj] = true
	started := p.d.Group.Go(func(ctx context.Context) {
		startedAt := p.d.Clock.Since()
		accepted := p.executeDecision(ctx, cfg, d, statuses)
		p.progress.recordDecision(accepted, p.d.Clock.Since()-startedAt)
		_ = p.actor.Do(ctx, func() { delete(p.inProgress, subj) })
		p.replan.Fire()
	})
	if !started {
		delete(p.inProgress, subj)
	}
}

// recordStart records the time of the last decision about a subject.
func (p *Planner) recordStart(subj subject, now time.Duration) {
	if subj.claim {
		p.claimDecidedAt[subj.item] = now
		return
	}
	entry := p.stateOf(subj.item)
	if entry == nil {
		return
	}
	if now-entry.lastDecided > 3*p.d.Cadence.DecisionInterval {
		entry.blockedSince = 0
	}
	entry.lastDecided = now
}

// updateWaiting records since when requests wait for each item.
func (p *Planner) updateWaiting(waiting map[conf.Item]int, now time.Duration) {
	for it, entry := range p.items {
		switch {
		case waiting[it] == 0:
			entry.waitingSince = -1
		case entry.waitingSince < 0:
			entry.waitingSince = now
		}
	}
}

// starvationLimit is how long requests may wait for an item without a holder before
// it takes precedence over items with a higher penalty. With strict order by
// penalty, items with the lowest penalty would never be loaded.
const starvationLimit = 1500 * time.Millisecond

// precedes reports whether d is made before other: first those that waited for longer
// than starvationLimit, longest wait first, then by descending penalty.
func (d Decision) precedes(other Decision) bool {
	late, otherLate := d.NoHolder && d.waitedFor > starvationLimit, other.NoHolder && other.waitedFor > starvationLimit
	switch {
	case late != otherLate:
		return late
	case late && d.waitedFor != other.waitedFor:
		return d.waitedFor > other.waitedFor
	}
	return d.Penalty > other.Penalty
}

// pendingAsks counts, by replica, the decisions that have chosen it and wait for the answer of its controller. Its methods
// are safe for concurrent use.
type pendingAsks struct {
	mu     sync.Mutex
	counts map[string]int
}

// choose returns the index of the best answer that accepts the load, or -1 if none does, and counts its replica as asked
// until release. Concurrent decisions see the same free replicas and must not all choose the same one.
func (a *pendingAsks) choose(names []string, answers []order.ConsiderResponse) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	best := -1
	for i, answer := range answers {
		if answer.Accepted && (best < 0 || betterAnswer(answer, a.counts[names[i]], answers[best], a.counts[names[best]])) {
			best = i
		}
	}
	if best >= 0 {
		if a.counts == nil {
			a.counts = map[string]int{}
		}
		a.counts[names[best]]++
	}
	return best
}

// release undoes the count of choose once the controller has answered.
func (a *pendingAsks) release(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts[name]--; a.counts[name] <= 0 {
		delete(a.counts, name)
	}
}
