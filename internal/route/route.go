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
	interval     = 100 * time.Millisecond
	lookInterval = 500 * time.Millisecond
	lookFor      = 450 * time.Millisecond
	// dark is how old a replica's own report may be while it is still routed to.
	dark = 2 * time.Second
	// deaf is how long this proxy may hear nothing that could tell of a leaving
	// replica before it sends nothing any more.
	deaf = 2500 * time.Millisecond
	// crowded is how long after a replica was full it is taken for granted that many want their places.
	crowded = 5 * time.Second
	// fewToo of its places is what a replica may be sent too many at once.
	fewToo = 4
	// patient times what a first piece may well take is longer than chance makes it.
	patient = 3
	// leastPatience is what a machine may well stand still for by itself.
	leastPatience = 40 * time.Millisecond
)

// Replica is one row of the table. It stays the same until what is told of its
// replica changes, or the configuration.
type Replica struct {
	Listed   inventory.Listed
	Slots    int
	elsewher int // requests of other edges on it, as of its report
	room     int // requests we may have on it until its next report
	ServeFor time.Duration
	Ready    map[string]bool
	heard    time.Duration
	Told     bool // what is known of it comes from its controller and its answers, not from reports to us
	Dark     bool // its controller says that it does not answer
	Live     *Live
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
type Keeper struct {
	d        Deps
	gossip   *gossip.Table
	clock    tick.Clock
	group    *run.Group
	actor    *run.Actor
	snap     atomic.Pointer[Snapshot]
	lives    map[string]*Live
	heard    map[string]report
	told     map[string]*told // of each replica's entry, by its key
	bringing map[string]*told // those of told to which something is on its way
	cursor   uint64           // how far the news has been followed
	confNews bool             // a configuration has come that was not read yet
	reading  rest.Rest        // of configurations
	expects  expects
	renewed  atomic.Int64           // when the table was brought up to date last, on our clock
	gone     map[string]struct{}    // replicas that have left the table, of which something is kept
	full     map[bool]time.Duration // when a replica was last seen full: of models, of services
	fresh    *run.Nudge
	onNew    atomic.Pointer[func()]
	warmth   *memory
	bulk     *bulk
	// cacheRoom is what all replicas' caches hold of this proxy's prompts, in tokens, where they evict by last use alone.
	cacheRoom atomic.Int64

	predictor Predictor

	pressMu  sync.Mutex
	pressing map[string]pressing
	work     map[string]time.Duration // of each model: replicas' time to read its prompts, so far
}

// Deps is what a keeper needs from the rest of the proxy.
type Deps struct {
	Group    *run.Group
	Gossip   *gossip.Table
	Clock    tick.Clock
	Replicas backend.Client
	Zone     func() string
	// HeardFor is how long ago anyone was heard who would know of leaving replicas.
	HeardFor func() time.Duration
	// Edges is how many share the replicas.
	Edges func() int
	// Ask says that this proxy asks replicas for their reports itself.
	Ask bool
	// Log is told what is decided seldom; nil is nobody.
	Log *slog.Logger
	// Deaf is how long nobody may be heard before nothing is sent any more; 0 is the default.
	Deaf time.Duration
}

// NewKeeper keeps a table fresh.
func NewKeeper(d Deps) *Keeper {
	if d.Deaf == 0 {
		d.Deaf = deaf
	}
	k := &Keeper{d: d, gossip: d.Gossip, clock: d.Clock, group: d.Group, lives: map[string]*Live{}, heard: map[string]report{},
		told: map[string]*told{}, bringing: map[string]*told{}, reading: conf.ReadingRest(),
		gone:   map[string]struct{}{},
		full:   map[bool]time.Duration{true: -1 << 61, false: -1 << 61},
		warmth: newMemory(), bulk: newBulk(d.Log), pressing: map[string]pressing{}, work: map[string]time.Duration{}}
	k.snap.Store(&Snapshot{Conf: conf.Empty()})
	k.actor = run.NewActor(d.Group, 256, interval, k.renew)
	// Why: a configuration and a withdrawn item are in force at once, not at the next interval; news that comes
	// together makes one table.
	k.fresh = run.NewNudge(k.actor, k.renew)
	d.Gossip.OnNew(func(gossip.Entry) { k.fresh.Now() })
	if !d.Ask {
		return k
	}
	d.Group.Every(lookInterval, func(ctx context.Context) { k.look(ctx, func(*Replica) bool { return true }) })
	// Why: a replica just learned of is of no use until it has been looked at, nor is one whose room we have used up.
	d.Group.Every(interval, func(ctx context.Context) { k.look(ctx, func(r *Replica) bool { return r.Live.look.Swap(false) }) })
	return k
}

// OnTable names what is called after each new table.
func (k *Keeper) OnTable(f func()) { k.onNew.Store(&f) }

// Now is the table as it is.
func (k *Keeper) Now() *Snapshot { return k.snap.Load() }

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
func (k *Keeper) Sendable(id string) bool {
	// Why: a mark may have come since the table was made, and a proxy that hears nobody cannot know of marks.
	return !inventory.Marked(k.gossip, id) && !k.Deaf()
}

// Since is the clock that Coming is told by.
func (k *Keeper) Since() time.Duration { return k.clock.Since() }

// Deaf says that nobody is heard who would tell of leaving replicas.
func (k *Keeper) Deaf() bool { return k.d.HeardFor() >= k.d.Deaf }
