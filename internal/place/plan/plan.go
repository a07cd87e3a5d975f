// Package plan counts demand, predicts it, and turns misses and claims into
// loads by asking the replicas' controllers, best candidate first.
package plan

import (
	"context"
	"log/slog"
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
	tries      = 16              // candidates asked for one decision at most
	busyTries  = 5               // candidates asked by a core that has no processor time to spare
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
	// Busy says that this core has no processor time to spare; nil is never.
	Busy func() bool
}

// Planner plans for the items whose slots this core holds.
type Planner struct {
	d         Deps
	actor     *run.Actor
	items     map[conf.Item]*item
	minutes   *demand.MinuteClock
	unit      time.Duration
	soon      *run.Nudge
	work      workRates
	loaded    map[int]uint64 // slot: epoch whose history has been read
	shared    predictions
	use       float64       // of the store's pace, as its keeper last told
	usedAt    time.Duration // when it did
	log       deque.Deque[Decision]
	unmet     map[string]string
	underWay  map[subject]bool // what decisions are being made about
	asked     askedReplicas
	breadth   breadth
	claimAt   map[conf.Item]time.Duration
	pacer     pacer
	paceActor *run.Actor
	// grantWriter writes grants down, one write after the other; written is what its last one reached.
	grantWriter *run.Actor
	written     grantMark
	expSer      uint64
	progress    progress
}

// New starts to plan.
func New(d Deps) *Planner {
	p := &Planner{d: d, items: map[conf.Item]*item{}, loaded: map[int]uint64{}, usedAt: -1 << 62, unmet: map[string]string{},
		claimAt: map[conf.Item]time.Duration{}, underWay: map[subject]bool{}}
	p.paceActor = run.NewActor(d.Group, 64, 0, nil)
	p.grantWriter = run.NewActor(d.Group, 64, 0, nil)
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
