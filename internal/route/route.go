// Package route keeps the proxy's routing table and chooses replicas for
// requests. The table is built from gossip and the replicas' own reports; each
// version of it is an immutable Snapshot that is swapped in atomically.
package route

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/rest"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/sharded"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/state"
)

const (
	renewInterval = 100 * time.Millisecond
	pollInterval  = 500 * time.Millisecond
	pollTimeout   = 450 * time.Millisecond
	// maxReportAge is how old the last report of a replica may be before the replica is no longer routed to.
	maxReportAge = 2 * time.Second
	// defaultIsolationLimit is how long this proxy may be out of contact with every source that could announce a leaving
	// replica before it stops sending requests.
	defaultIsolationLimit = 2500 * time.Millisecond
	// contentionWindow is how long after a replica was seen full many edges are assumed to compete for free slots.
	contentionWindow = 5 * time.Second
	// overcommitDivisor bounds overcommitment: a replica may be sent up to Slots/overcommitDivisor requests too many at once.
	overcommitDivisor = 4
	// firstChunkTimeoutFactor times the expected time to a first chunk exceeds its random variation.
	firstChunkTimeoutFactor = 3
	// minFirstChunkTimeout covers the pauses that a healthy machine makes by itself.
	minFirstChunkTimeout = 40 * time.Millisecond
)

// Replica is one row of the table. It is replaced only when the status of its
// replica or the configuration changes.
type Replica struct {
	Listed         inventory.Listed
	Slots          int
	reportedOthers int // in-flight requests of other edges, as of its report
	quota          int // requests this proxy may have in flight on it until its next report
	ServiceTime    time.Duration
	Ready          map[string]bool
	reportedAt     time.Duration
	ViaController  bool // its state comes from its controller and from its answers, not from reports to this proxy
	Unreachable    bool // its controller cannot reach it
	Live           *Live
	// cacheTokens is the size of its prefix cache where tenants share the cache and it evicts in LRU order only; otherwise 0.
	cacheTokens int
}

// Snapshot is one immutable version of the table.
type Snapshot struct {
	Conf           conf.Effective
	Serial         uint64
	Stamp          state.Stamp
	Replicas       map[string]*Replica
	Expectations   sharded.Map[plan.Expectation] // predictions of the planners, for items that no replica holds
	LoadingReadyAt map[string]time.Duration      // when each loading item should be ready, on this proxy's clock
	Acked          map[string]state.Stamp
	Version        uint64 // rises when the configuration or the status of a replica changes
	index          index
}

// Router keeps the table up to date and chooses replicas from it.
type Router struct {
	deps             Deps
	gossip           *gossip.Table
	clock            tick.Clock
	group            *run.Group
	actor            *run.Actor
	current          atomic.Pointer[Snapshot]
	lives            map[string]*Live
	reports          map[string]report
	entries          map[string]*entry // decoded status entry of each replica, by gossip key
	loadingEntries   map[string]*entry // those of entries whose replica is loading an item
	cursor           uint64            // position up to which the gossip has been read
	confPending      bool              // a configuration has arrived and has not been read yet
	confRest         rest.Throttle     // limits the time spent on reading configurations
	predictionExpiry predictionExpiry
	renewedAt        atomic.Int64           // when the table was last brought up to date, on this proxy's clock
	departed         map[string]struct{}    // replicas that have left the table and still have live state
	lastFull         map[bool]time.Duration // when a replica was last seen full: true for models, false for services
	renewSoon        *run.Trigger
	onTable          atomic.Pointer[func()]
	prefixes         *prefixMemory
	bulk             *bulkDetector
	// cacheCapacity is this proxy's part of the prefix caches of all replicas that evict in LRU order only, in tokens.
	cacheCapacity atomic.Int64

	predictor Predictor

	pressureMu sync.Mutex
	pressure   map[string]pressureCount
	work       map[string]time.Duration // predicted prefill time spent on each model so far
}

// Deps holds the dependencies of a Router.
type Deps struct {
	Group    *run.Group
	Gossip   *gossip.Table
	Clock    tick.Clock
	Replicas backend.Client
	Zone     func() string
	// SinceContact is the time since the last contact with a source that knows which replicas are leaving.
	SinceContact func() time.Duration
	// Edges is the number of edges that share the replicas.
	Edges func() int
	// PollReplicas makes this proxy request reports from the replicas itself.
	PollReplicas bool
	// Log receives infrequent decisions; nil discards them.
	Log *slog.Logger
	// IsolationLimit is how long contact may be lost before no more requests are sent; 0 is the default.
	IsolationLimit time.Duration
}

// NewRouter starts a Router, which renews its table until the group stops.
func NewRouter(d Deps) *Router {
	if d.IsolationLimit == 0 {
		d.IsolationLimit = defaultIsolationLimit
	}
	rt := &Router{deps: d, gossip: d.Gossip, clock: d.Clock, group: d.Group, lives: map[string]*Live{}, reports: map[string]report{},
		entries: map[string]*entry{}, loadingEntries: map[string]*entry{}, confRest: conf.ReadBackoff(),
		departed: map[string]struct{}{},
		lastFull: map[bool]time.Duration{true: -1 << 61, false: -1 << 61},
		prefixes: newPrefixMemory(), bulk: newBulkDetector(d.Log), pressure: map[string]pressureCount{}, work: map[string]time.Duration{}}
	rt.current.Store(&Snapshot{Conf: conf.Empty()})
	rt.actor = run.NewActor(d.Group, 256, renewInterval, rt.renew)
	// A new configuration or a withdrawn item takes effect at once, not at the next interval. Entries that arrive
	// together lead to a single renewal.
	rt.renewSoon = run.NewTrigger(rt.actor, rt.renew)
	d.Gossip.OnUpdate(func(gossip.Entry) { rt.renewSoon.Fire() })
	if !d.PollReplicas {
		return rt
	}
	d.Group.Every(pollInterval, func(ctx context.Context) { rt.poll(ctx, func(*Replica) bool { return true }) })
	// A newly listed replica is not usable before its first report, nor is one whose quota is used up before its next.
	d.Group.Every(renewInterval, func(ctx context.Context) {
		rt.poll(ctx, func(r *Replica) bool { return r.Live.wantsReport.Swap(false) })
	})
	return rt
}

// OnTable sets the function that is called after each renewal.
func (rt *Router) OnTable(f func()) { rt.onTable.Store(&f) }

// Current returns the latest table.
func (rt *Router) Current() *Snapshot { return rt.current.Load() }

// Target describes what a request needs.
type Target struct {
	Route  conf.Route
	Item   conf.Item
	Prompt Prompt
	Avoid  string // a replica that is chosen only if no other can be
	// WorkCounted is set once the work of this request has been counted while it waited.
	WorkCounted bool
}

// Lane is the key of requests that need the same item or service.
func (t Target) Lane() string {
	switch {
	case t.Route.Kind == "model":
	case t.Route.Service != "":
		return "service " + t.Route.Service
	default:
		return "service " + t.Route.Selector.String()
	}
	return t.Item.String()
}

// Sendable reports whether a request may be sent to a replica right now.
func (rt *Router) Sendable(id string) bool {
	// A leaving mark may have arrived since the table was built, and an isolated proxy receives no marks.
	return !inventory.MarkedLeaving(rt.gossip, id) && !rt.Isolated()
}

// MonotonicNow reads the clock that the times in Snapshot.LoadingReadyAt refer to.
func (rt *Router) MonotonicNow() time.Duration { return rt.clock.Since() }

// Isolated reports whether contact with all sources that announce leaving replicas has been lost for too long.
func (rt *Router) Isolated() bool { return rt.deps.SinceContact() >= rt.deps.IsolationLimit }
