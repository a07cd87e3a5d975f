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
const mostUnderWay = 8

// subject is what a decision is about: a miss of an item, or a claim's copy of it.
type subject struct {
	item  conf.Item
	claim bool
}

// subject is what the decision is about.
func (d Decision) subject() subject { return subject{conf.ParseItem(d.Item), d.claim} }

// onTick begins the decisions that are due, the most urgent first, as far as there is room for more.
func (p *Planner) onTick() {
	now := p.d.Clock.Since()
	cfg := p.d.Conf()
	waits, pressed, crowded := p.wanted(now)
	p.noteWaiting(waits, now)
	if len(waits) == 0 && len(cfg.Claims) == 0 {
		p.unmet = map[string]string{}
		return
	}
	room := mostUnderWay - len(p.underWay)
	if room <= 0 {
		return // the one that ends first calls for another look
	}
	views := p.d.Views()
	var due []Decision
	for it, n := range waits {
		if p.underWay[subject{item: it}] {
			continue
		}
		if d, ok := p.miss(cfg, it, n, pressed[it] > 0, crowded[it], views, now); ok {
			due = append(due, d)
		}
	}
	for _, d := range p.claims(cfg, views, now) {
		if !p.underWay[d.subject()] {
			due = append(due, d)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].before(due[j]) })
	for _, d := range due[:min(room, len(due))] {
		p.begin(cfg, d, views, now)
	}
}

// wanted is how many requests wait for each item that may want a load, how many answers of it are held up, and
// how many copies it wants for its work.
func (p *Planner) wanted(now time.Duration) (waits, pressed, crowded map[conf.Item]int) {
	waits = p.d.Reports.Waiting(now)
	crowded = p.crowded(now)
	// Why: an item whose holders all have many requests is missed as well, if less than one that nobody holds.
	pressed = p.d.Reports.Pressed(now)
	for it, n := range pressed {
		if n < pressedFew {
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
func (p *Planner) begin(cfg conf.Effective, d Decision, views order.Statuses, now time.Duration) {
	about := d.subject()
	p.noteBegun(about, now)
	d.Candidates = p.candidates(cfg, about.item, cfg.Models[about.item.Model], views, now, d.among)
	p.underWay[about] = true
	started := p.d.Group.Go(func(ctx context.Context) {
		began := p.d.Clock.Since()
		taken := p.decide(ctx, cfg, d, views)
		p.progress.decided(taken, p.d.Clock.Since()-began)
		_ = p.actor.Ask(ctx, func() { delete(p.underWay, about) })
		p.soon.Now()
	})
	if !started {
		delete(p.underWay, about)
	}
}

// noteBegun keeps in mind when something was last decided on.
func (p *Planner) noteBegun(about subject, now time.Duration) {
	if about.claim {
		p.claimAt[about.item] = now
		return
	}
	i := p.item(about.item)
	if i == nil {
		return
	}
	if now-i.last > 3*p.d.Cadence.Again {
		i.vain = 0
	}
	i.last = now
}

// noteWaiting keeps in mind since when requests wait for each item.
func (p *Planner) noteWaiting(waits map[conf.Item]int, now time.Duration) {
	for it, i := range p.items {
		switch {
		case waits[it] == 0:
			i.since = -1
		case i.since < 0:
			i.since = now
		}
	}
}

// unfair is for how long requests may wait for an item that nobody holds before
// it goes before dearer ones. Why: the dearest first would never let the cheapest in.
const unfair = 1500 * time.Millisecond

// before says which decision is made first: what has waited for too long, the
// longest first, then the dearest.
func (d Decision) before(o Decision) bool {
	late, other := d.Alone && d.waited > unfair, o.Alone && o.waited > unfair
	switch {
	case late != other:
		return late
	case late && d.waited != o.waited:
		return d.waited > o.waited
	}
	return d.Penalty > o.Penalty
}

// askedReplicas counts, by replica, the decisions that have chosen it and wait for its controller's answer. Its methods
// may be called from anywhere.
type askedReplicas struct {
	mu sync.Mutex
	of map[string]int
}

// choose gives the place of the best answer that agrees, and counts its replica as asked until it is settled; -1 when
// none agrees. Why: decisions that are made side by side see the same free replicas, and must not all choose one.
func (a *askedReplicas) choose(names []string, answers []order.ConsiderResponse) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	best := -1
	for i, answer := range answers {
		if answer.Accepted && (best < 0 || better(answer, a.of[names[i]], answers[best], a.of[names[best]])) {
			best = i
		}
	}
	if best >= 0 {
		if a.of == nil {
			a.of = map[string]int{}
		}
		a.of[names[best]]++
	}
	return best
}

// settle ends that a replica is being asked.
func (a *askedReplicas) settle(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.of[name]--; a.of[name] <= 0 {
		delete(a.of, name)
	}
}
