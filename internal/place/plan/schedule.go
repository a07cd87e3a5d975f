package plan

import (
	"context"
	"sort"
	"sync"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/order"
)

// mostUnderWay is how many decisions a planner makes at a time. Why: each waits for the answers of several cores; where
// one was made after the other, a core that answers late held up all that were to follow.
const maxConcurrentDecisions = 8

// subject is what a decision is about: a miss of an item, or a claim's copy of it.
type subject struct {
	item  conf.Item
	claim bool
}

// subject is what the decision is about.
func (d Decision) subject() subject { return subject{conf.ParseItem(d.Item), d.isClaim} }

// onTick begins the decisions that are due, the most urgent first, as far as there is room for more.
func (p *Planner) onTick() {
	now := p.d.Clock.Since()
	cfg := p.d.Conf()
	waits, pressed, crowded := p.missedItems(now)
	p.updateWaiting(waits, now)
	if len(waits) == 0 && len(cfg.Claims) == 0 {
		p.unmetClaims = map[string]string{}
		return
	}
	room := maxConcurrentDecisions - len(p.inProgress)
	if room <= 0 {
		return // the one that ends first calls for another look
	}
	views := p.d.Views()
	var due []Decision
	for it, n := range waits {
		if p.inProgress[subject{item: it}] {
			continue
		}
		if d, ok := p.missDecision(cfg, it, n, pressed[it] > 0, crowded[it], views, now); ok {
			due = append(due, d)
		}
	}
	for _, d := range p.claimDecisions(cfg, views, now) {
		if !p.inProgress[d.subject()] {
			due = append(due, d)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].precedes(due[j]) })
	for _, d := range due[:min(room, len(due))] {
		p.startDecision(cfg, d, views, now)
	}
}

// wanted is how many requests wait for each item that may want a load, how many answers of it are held up, and
// how many copies it wants for its work.
func (p *Planner) missedItems(now time.Duration) (waits, pressed, crowded map[conf.Item]int) {
	waits = p.d.Reports.Waiting(now)
	crowded = p.overloadedModels(now)
	// Why: an item whose holders all have many requests is missed as well, if less than one that nobody holds.
	pressed = p.d.Reports.Pressed(now)
	for it, n := range pressed {
		if n < minDelayedAnswers {
			delete(pressed, it)
			continue
		}
		waits[it] = max(waits[it], n)
	}
	for it := range crowded {
		waits[it] = max(waits[it], 1)
	}
	return waits, pressed, crowded
}

// begin makes a decision beside the others.
func (p *Planner) startDecision(cfg conf.Effective, d Decision, views order.Statuses, now time.Duration) {
	about := d.subject()
	p.recordStart(about, now)
	d.Candidates = p.rankCandidates(cfg, about.item, cfg.Models[about.item.Model], views, now, d.selector)
	p.inProgress[about] = true
	started := p.d.Group.Go(func(ctx context.Context) {
		began := p.d.Clock.Since()
		taken := p.executeDecision(ctx, cfg, d, views)
		p.progress.recordDecision(taken, p.d.Clock.Since()-began)
		_ = p.actor.Ask(ctx, func() { delete(p.inProgress, about) })
		p.replan.Now()
	})
	if !started {
		delete(p.inProgress, about)
	}
}

// noteBegun keeps in mind when something was last decided on.
func (p *Planner) recordStart(about subject, now time.Duration) {
	if about.claim {
		p.claimDecidedAt[about.item] = now
		return
	}
	i := p.stateOf(about.item)
	if i == nil {
		return
	}
	if now-i.lastDecided > 3*p.d.Cadence.Again {
		i.blockedSince = 0
	}
	i.lastDecided = now
}

// noteWaiting keeps in mind since when requests wait for each item.
func (p *Planner) updateWaiting(waits map[conf.Item]int, now time.Duration) {
	for it, i := range p.items {
		switch {
		case waits[it] == 0:
			i.waitingSince = -1
		case i.waitingSince < 0:
			i.waitingSince = now
		}
	}
}

// unfair is for how long requests may wait for an item that nobody holds before
// it goes before dearer ones. Why: the dearest first would never let the cheapest in.
const starvationLimit = 1500 * time.Millisecond

// before says which decision is made first: what has waited for too long, the
// longest first, then the dearest.
func (d Decision) precedes(o Decision) bool {
	late, other := d.NoHolder && d.waitedFor > starvationLimit, o.NoHolder && o.waitedFor > starvationLimit
	switch {
	case late != other:
		return late
	case late && d.waitedFor != o.waitedFor:
		return d.waitedFor > o.waitedFor
	}
	return d.Penalty > o.Penalty
}

// askedReplicas counts, by replica, the decisions that have chosen it and wait for its controller's answer. Its methods
// may be called from anywhere.
type pendingAsks struct {
	mu     sync.Mutex
	counts map[string]int
}

// choose gives the place of the best answer that agrees, and counts its replica as asked until it is settled; -1 when
// none agrees. Why: decisions that are made side by side see the same free replicas, and must not all choose one.
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

// settle ends that a replica is being asked.
func (a *pendingAsks) release(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts[name]--; a.counts[name] <= 0 {
		delete(a.counts, name)
	}
}
