// Package route turns gossip and the replicas' own reports into an immutable
// table of who may serve what, swapped atomically.
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
	// dark is how old a replica's own report may be while it is still routed to.
	maxReportAge = 2 * time.Second
	// deaf is how long this proxy may hear nothing that could tell of a leaving
	// replica before it sends nothing any more.
	defaultIsolationLimit = 2500 * time.Millisecond
	// crowded is how long after a replica was full it is taken for granted that many want their places.
	contentionWindow = 5 * time.Second
	// fewToo of its places is what a replica may be sent too many at once.
	overcommitDivisor = 4
	// patient times what a first piece may well take is longer than chance makes it.
	firstChunkTimeoutFactor = 3
	// leastPatience is what a machine may well stand still for by itself.
	minFirstChunkTimeout = 40 * time.Millisecond
)

// Replica is one row of the table. It stays the same until what is told of its
// replica changes, or the configuration.
type Replica struct {
	Listed         inventory.Listed
	Slots          int
	reportedOthers int // requests of other edges on it, as of its report
	quota          int // requests we may have on it until its next report
	ServiceTime    time.Duration
	Ready          map[string]bool
	reportedAt     time.Duration
	Told           bool // what is known of it comes from its controller and its answers, not from reports to us
	Unreachable    bool // its controller says that it does not answer
	Live           *Live
	// cacheTokens is what it keeps of prompts where tenants share that and it evicts by last use alone; else 0.
	cacheTokens int
}

// Snapshot is the table; it is never changed.
type Snapshot struct {
	Conf     conf.Effective
	Serial   uint64
	Stamp    state.Stamp
	Replicas map[string]*Replica
	Expect   sharded.Map[plan.Expectation] // of items that nobody holds: planners' words
	Coming   map[string]time.Duration      // items on their way: when they should be there, on our clock
	Acked    map[string]state.Stamp
	Version  uint64 // rises when the configuration or what is told of a replica changes
	index    index
}

// Keeper keeps the table.
type Router struct {
	deps             Deps
	gossip           *gossip.Table
	clock            tick.Clock
	group            *run.Group
	actor            *run.Actor
	current          atomic.Pointer[Snapshot]
	lives            map[string]*Live
	reports          map[string]report
	entries          map[string]*entry // of each replica's entry, by its key
	loadingEntries   map[string]*entry // those of told to which something is on its way
	cursor           uint64            // how far the news has been followed
	confPending      bool              // a configuration has come that was not read yet
	confRest         rest.Rest         // of configurations
	predictionExpiry predictionExpiry
	renewedAt        atomic.Int64           // when the table was brought up to date last, on our clock
	departed         map[string]struct{}    // replicas that have left the table, of which something is kept
	lastFull         map[bool]time.Duration // when a replica was last seen full: of models, of services
	renewSoon        *run.Nudge
	onTable          atomic.Pointer[func()]
	prefixes         *prefixMemory
	bulk             *bulkDetector
	// cacheRoom is what all replicas' caches hold of this proxy's prompts, in tokens, where they evict by last use alone.
	cacheCapacity atomic.Int64

	predictor Predictor

	pressureMu sync.Mutex
	pressure   map[string]pressureCount
	work       map[string]time.Duration // of each model: replicas' time to read its prompts, so far
}

// Deps is what a keeper needs from the rest of the proxy.
type Deps struct {
	Group    *run.Group
	Gossip   *gossip.Table
	Clock    tick.Clock
	Replicas backend.Client
	Zone     func() string
	// HeardFor is how long ago anyone was heard who would know of leaving replicas.
	SinceContact func() time.Duration
	// Edges is how many share the replicas.
	Edges func() int
	// Ask says that this proxy asks replicas for their reports itself.
	PollReplicas bool
	// Log is told what is decided seldom; nil is nobody.
	Log *slog.Logger
	// Deaf is how long nobody may be heard before nothing is sent any more; 0 is the default.
	Deaf time.Duration
}

// NewKeeper keeps a table fresh.
func NewRouter(d Deps) *Router {
	if d.Deaf == 0 {
		d.Deaf = defaultIsolationLimit
	}
	k := &Router{deps: d, gossip: d.Gossip, clock: d.Clock, group: d.Group, lives: map[string]*Live{}, reports: map[string]report{},
		entries: map[string]*entry{}, loadingEntries: map[string]*entry{}, confRest: conf.ReadingRest(),
		departed: map[string]struct{}{},
		lastFull: map[bool]time.Duration{true: -1 << 61, false: -1 << 61},
		prefixes: newPrefixMemory(), bulk: newBulkDetector(d.Log), pressure: map[string]pressureCount{}, work: map[string]time.Duration{}}
	k.current.Store(&Snapshot{Conf: conf.Empty()})
	k.actor = run.NewActor(d.Group, 256, renewInterval, k.renew)
	// Why: a configuration and a withdrawn item are in force at once, not at the next interval; news that comes
	// together makes one table.
	k.renewSoon = run.NewNudge(k.actor, k.renew)
	d.Gossip.OnNew(func(gossip.Entry) { k.renewSoon.Now() })
	if !d.PollReplicas {
		return k
	}
	d.Group.Every(pollInterval, func(ctx context.Context) { k.poll(ctx, func(*Replica) bool { return true }) })
	// Why: a replica just learned of is of no use until it has been looked at, nor is one whose room we have used up.
	d.Group.Every(renewInterval, func(ctx context.Context) {
		k.poll(ctx, func(r *Replica) bool { return r.Live.wantsReport.Swap(false) })
	})
	return k
}

// OnTable names what is called after each new table.
func (k *Router) OnTable(f func()) { k.onTable.Store(&f) }

// Now is the table as it is.
func (k *Router) Current() *Snapshot { return k.current.Load() }

// Target is what a request needs.
type Target struct {
	Route  conf.Route
	Item   conf.Item
	Prompt Prompt
	Avoid  string // a replica that is taken only where no other can be
	// Counted says that the work of this request has been counted while it waited.
	Counted bool
}

// Lane groups requests that need the same.
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

// Sendable says whether a request may go to a replica at this very moment.
func (k *Router) Sendable(id string) bool {
	// Why: a mark may have come since the table was made, and a proxy that hears nobody cannot know of marks.
	return !inventory.Marked(k.gossip, id) && !k.Isolated()
}

// Since is the clock that Coming is told by.
func (k *Router) MonotonicNow() time.Duration { return k.clock.Since() }

// Deaf says that nobody is heard who would tell of leaving replicas.
func (k *Router) Isolated() bool { return k.deps.SinceContact() >= k.deps.Deaf }
