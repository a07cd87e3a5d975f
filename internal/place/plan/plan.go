// Package plan counts demand, predicts it, and turns misses and claims into
// loads by asking the replicas' controllers, best candidate first.
package plan

import (
	"context"
	"log/slog"
	"sort"
	"sync/atomic"
	"time"

	"github.com/gammazero/deque"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/place/demand"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/owner"
)

const (
	patience   = 5 * time.Second // for what stands in the way of a load and will pass
	claimAgain = 5 * time.Second // between two looks at a claim that could not be met
	useLife    = 6 * time.Second // what the store's keeper told holds so long
	tries      = 16              // candidates asked for one decision
	decisions  = 200             // kept for explaining
	maxItems   = 20_000
	// pressedFew is how many answers of an item must have been held up lately for another copy to be thought of.
	// Why: an answer now and then is held up by what others ask of the same replica.
	pressedFew = 4
)

// Deps is what the planner needs from the core.
type Deps struct {
	Group   *run.Group
	Clock   tick.Clock
	Log     *slog.Logger
	Self    string
	Cadence bounds.Cadence
	Store   bounds.Store
	Owner   *owner.Owner
	Gossip  *gossip.Table
	Reports *report.Table
	Conf    func() conf.Effective
	Views   func() order.Statuses
	// Ask reaches the controller of a replica, on whichever core it is.
	Ask func(ctx context.Context, controller string, q order.Consider) (order.Considered, error)
	// AskAll asks the controller of several replicas at once, dry; order.Unheard stands for an answer that did not
	// come. Nil asks one by one.
	AskAll func(ctx context.Context, controller string, q order.ConsiderAll) []order.Considered
	// Tell shares predictions with the other cores.
	Tell func(ctx context.Context, s Shared)
}

// Planner plans for the items whose slots this core holds.
type Planner struct {
	d         Deps
	actor     *run.Actor
	items     map[conf.Item]*item
	minutes   *demand.Minutes
	unit      time.Duration
	soon      *run.Nudge
	work      workRates
	loaded    map[int]uint64 // slot: epoch whose history has been read
	next      atomic.Pointer[map[string]float64]
	shared    map[string]float64
	use       float64       // of the store's pace, as its keeper last told
	usedAt    time.Duration // when it did
	log       deque.Deque[Decision]
	unmet     map[string]string
	busy      atomic.Bool
	claimAt   map[conf.Item]time.Duration
	pacer     pacer
	paceActor *run.Actor
	expSer    uint64
	progress  progress
}

// New starts to plan.
func New(d Deps) *Planner {
	p := &Planner{d: d, items: map[conf.Item]*item{}, loaded: map[int]uint64{}, shared: map[string]float64{}, usedAt: -1 << 62, unmet: map[string]string{},
		claimAt: map[conf.Item]time.Duration{}}
	p.next.Store(&map[string]float64{})
	p.paceActor = run.NewActor(d.Group, 64, 0, nil)
	p.actor = run.NewActor(d.Group, 1024, d.Cadence.Plan, p.onTick)
	p.soon = run.NewNudge(p.actor, p.onTick)
	d.Group.Every(d.Cadence.Share, p.share)
	d.Group.Every(d.Cadence.Keep, p.keep)
	d.Group.Every(grantsEvery, p.refreshGrants)
	d.Group.Every(progressEvery, p.tellProgress)
	return p
}

// holds says whether this core plans for an item now, its history being read.
func (p *Planner) holds(it conf.Item) bool {
	key := demandPrefix + it.Model
	epoch, _, _ := p.d.Owner.MayOrder(key)
	return p.d.Owner.Holds(key) && p.loaded[state.SlotOf(key)] == epoch
}

func (p *Planner) onTick() {
	// Why: asking controllers takes time; the actor must go on taking reports, so one round runs beside it.
	if p.busy.Swap(true) {
		return
	}
	now := p.d.Clock.Since()
	cfg := p.d.Conf()
	waits := p.d.Reports.Waiting(now)
	crowded := p.crowded(now)
	// Why: an item whose holders all have many requests is missed as well, if less than one that nobody holds.
	pressed := p.d.Reports.Pressed(now)
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
	p.noteWaiting(waits, now)
	if len(waits) == 0 && len(cfg.Claims) == 0 {
		p.unmet = map[string]string{}
		p.busy.Store(false)
		return
	}
	views := p.d.Views()
	var work []Decision
	for it, n := range waits {
		if d, ok := p.miss(cfg, it, n, pressed[it] > 0, crowded[it], views, now); ok {
			work = append(work, d)
		}
	}
	work = append(work, p.claims(cfg, views, now)...)
	sort.Slice(work, func(i, j int) bool { return work[i].before(work[j]) })
	if !p.d.Group.Go(func(ctx context.Context) {
		defer p.busy.Store(false)
		began := p.d.Clock.Since()
		for _, d := range work {
			p.decide(ctx, cfg, d, views)
		}
		p.progress.round(p.d.Clock.Since() - began)
	}) {
		p.busy.Store(false)
	}
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
