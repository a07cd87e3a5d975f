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
	transientBlockGrace = 5 * time.Second // for what stands in the way of a load and will pass
	claimRetryInterval  = 5 * time.Second // between two looks at a claim that could not be met
	paceUseTTL          = 6 * time.Second // what the store's keeper told holds so long
	maxCandidates       = 16              // candidates asked for one decision at most
	minCandidates       = 5               // candidates asked by a core that has no processor time to spare
	maxDecisionsKept    = 200             // kept for explaining
	maxItems            = 20_000
	// pressedFew is how many answers of an item must have been held up lately for another copy to be thought of.
	// Why: an answer now and then is held up by what others ask of the same replica.
	minDelayedAnswers = 4
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
	Ask func(ctx context.Context, controller string, q order.ConsiderRequest) (order.ConsiderResponse, error)
	// AskAll asks the controller of several replicas at once, dry; order.Unheard stands for an answer that did not
	// come. Nil asks one by one.
	AskAll func(ctx context.Context, controller string, q order.ConsiderBatchRequest) []order.ConsiderResponse
	// Tell shares predictions with the other cores.
	Tell func(ctx context.Context, s SharedPredictions)
	// Busy says that this core has no processor time to spare; nil is never.
	Busy func() bool
}

// Planner plans for the items whose slots this core holds.
type Planner struct {
	d              Deps
	actor          *run.Actor
	items          map[conf.Item]*itemState
	minuteClock    *demand.MinuteClock
	minuteUnit     time.Duration
	replan         *run.Nudge
	work           workRates
	historyEpochs  map[int]uint64 // slot: epoch whose history has been read
	predictions    predictionTable
	paceUse        float64       // of the store's pace, as its keeper last told
	paceUseAt      time.Duration // when it did
	decisionLog    deque.Deque[Decision]
	unmetClaims    map[string]string
	inProgress     map[subject]bool // what decisions are being made about
	pendingAsks    pendingAsks
	candidateLimit candidateLimit
	claimDecidedAt map[conf.Item]time.Duration
	pacer          pacer
	paceActor      *run.Actor
	// grantWriter writes grants down, one write after the other; written is what its last one reached.
	grantWriter       *run.Actor
	lastWritten       grantMark
	expectationSerial uint64
	progress          progressCounter
}

// New starts to plan.
func New(d Deps) *Planner {
	p := &Planner{d: d, items: map[conf.Item]*itemState{}, historyEpochs: map[int]uint64{}, paceUseAt: -1 << 62, unmetClaims: map[string]string{},
		claimDecidedAt: map[conf.Item]time.Duration{}, inProgress: map[subject]bool{}}
	p.paceActor = run.NewActor(d.Group, 64, 0, nil)
	p.grantWriter = run.NewActor(d.Group, 64, 0, nil)
	p.actor = run.NewActor(d.Group, 1024, d.Cadence.Plan, p.onTick)
	p.replan = run.NewNudge(p.actor, p.onTick)
	d.Group.Every(d.Cadence.Share, p.sharePredictions)
	d.Group.Every(d.Cadence.Keep, p.persistDemand)
	d.Group.Every(grantRefreshInterval, p.refreshGrants)
	d.Group.Every(progressInterval, p.logProgress)
	return p
}

// holds says whether this core plans for an item now, its history being read.
func (p *Planner) ownsItem(it conf.Item) bool {
	key := demandPrefix + it.Model
	epoch, _, _ := p.d.Owner.MayOrder(key)
	return p.d.Owner.Holds(key) && p.historyEpochs[state.SlotOf(key)] == epoch
}
