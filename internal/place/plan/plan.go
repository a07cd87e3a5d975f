// Package plan decides which replica loads which item. It records and predicts
// demand, turns misses and unmet claims into load decisions, and orders the loads
// from the controllers of the best candidates. On the core that holds PaceKey it
// also limits the load rate of the weight store.
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
	transientBlockGrace = 5 * time.Second // how long requests are held while a transient condition blocks a load
	claimRetryInterval  = 5 * time.Second // between two decisions about a claim's item
	paceUseTTL          = 6 * time.Second // how long a reported use of the weight store's load rate is valid
	maxCandidates       = 16              // candidates asked for one decision at most
	minCandidates       = 5               // candidates asked by a core without spare processor time
	maxDecisionsKept    = 200             // kept for Explain
	maxItems            = 20_000
	// minDelayedAnswers is how many recent answers of an item must have been delayed before another copy is considered. Single
	// answers are delayed by other requests to the same replica.
	minDelayedAnswers = 4
)

// Deps holds the dependencies of a Planner.
type Deps struct {
	Group    *run.Group
	Clock    tick.Clock
	Log      *slog.Logger
	Self     string
	Cadence  bounds.Cadence
	Store    bounds.Store
	Owner    *owner.Owner
	Gossip   *gossip.Table
	Reports  *report.Table
	Conf     func() conf.Effective
	Statuses func() order.Statuses
	// Consider asks the controller of a replica, on any core, about a load.
	Consider func(ctx context.Context, controller string, q order.ConsiderRequest) (order.ConsiderResponse, error)
	// ConsiderAll asks the controller of several replicas in one call, without ordering a load; order.NoAnswer stands for
	// a missing answer. If nil, replicas are asked one by one.
	ConsiderAll func(ctx context.Context, controller string, q order.ConsiderBatchRequest) []order.ConsiderResponse
	// SharePredictions sends predictions to the other cores.
	SharePredictions func(ctx context.Context, s SharedPredictions)
	// Busy reports whether this core has no processor time to spare; nil means never.
	Busy func() bool
}

// Planner makes load decisions for the items whose slots this core holds.
type Planner struct {
	d              Deps
	actor          *run.Actor
	items          map[conf.Item]*itemState
	minuteClock    *demand.MinuteClock
	minuteUnit     time.Duration
	replan         *run.Trigger
	work           workRates
	historyEpochs  map[int]uint64 // by slot: epoch whose history has been restored
	predictions    predictionTable
	paceUse        float64       // last reported use of the weight store's load rate
	paceUseAt      time.Duration // when paceUse was reported
	decisionLog    deque.Deque[Decision]
	unmetClaims    map[string]string
	inProgress     map[subject]bool // subjects of the decisions in progress
	pendingAsks    pendingAsks
	candidateLimit candidateLimit
	claimDecidedAt map[conf.Item]time.Duration
	pacer          pacer
	paceActor      *run.Actor
	// grantWriter writes grants sequentially; lastWritten is the mark of its last write.
	grantWriter        *run.Actor
	lastWritten        grantMark
	expectationVersion uint64
	progress           progressCounter
}

// New creates a planner and starts its periodic work.
func New(d Deps) *Planner {
	p := &Planner{d: d, items: map[conf.Item]*itemState{}, historyEpochs: map[int]uint64{}, paceUseAt: -1 << 62, unmetClaims: map[string]string{},
		claimDecidedAt: map[conf.Item]time.Duration{}, inProgress: map[subject]bool{}}
	p.paceActor = run.NewActor(d.Group, 64, 0, nil)
	p.grantWriter = run.NewActor(d.Group, 64, 0, nil)
	p.actor = run.NewActor(d.Group, 1024, d.Cadence.Plan, p.onTick)
	p.replan = run.NewTrigger(p.actor, p.onTick)
	d.Group.Every(d.Cadence.SharePredictions, p.sharePredictions)
	d.Group.Every(d.Cadence.PersistDemand, p.persistDemand)
	d.Group.Every(grantRefreshInterval, p.refreshGrants)
	d.Group.Every(progressInterval, p.logProgress)
	return p
}

// ownsItem reports whether this core plans for an item, i.e. holds its slot and has restored its history.
func (p *Planner) ownsItem(it conf.Item) bool {
	key := demandPrefix + it.Model
	epoch, _, _ := p.d.Owner.MayOrder(key)
	return p.d.Owner.Holds(key) && p.historyEpochs[state.SlotOf(key)] == epoch
}
