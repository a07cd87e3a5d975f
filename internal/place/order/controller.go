// Package order is the controller of one replica: it keeps the book of what
// the replica holds, decides with the paper's test which idle items may go,
// and alone sends it orders, under the lease of the replica's key.
package order

import (
	"context"
	"log/slog"
	"time"

	"github.com/gammazero/deque"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/state/owner"
)

const (
	// justNow is how old a report may be when a load is ordered. Why: a replica that has just stopped answering
	// may read the order when it wakes, much later.
	maxReportAge = 400 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	orderTimeout = 900 * time.Millisecond
	// leastOrderTime is the least time that an order is given to be sent and answered.
	minOrderTime        = 20 * time.Millisecond
	ackTimeout          = 3 * time.Second  // fence for proxies that do not acknowledge
	idleTimeout         = 10 * time.Second // victims that do not get idle are let be
	unloadTimeout       = 20 * time.Second
	waitTimeout         = 60 * time.Second
	outstandingInterval = time.Second
	etaTolerance        = 500 * time.Millisecond // by how much an estimate may be off before another is told
	// doubt is how long an order with no known outcome counts as carried out, and doubtMargin what is added to a
	// report's age where reports tell of orders that are being carried out.
	outcomeTimeout = 3 * time.Second
	outcomeMargin  = 150 * time.Millisecond
)

// Key of a replica in the control state and in the gossip.
func Key(id string) string { return "replica/" + id }

// Line states in the book, besides those a replica reports.
const (
	Reserved  = "reserved" // room is kept for it
	Withdrawn = "withdrawn"
)

// Line is what the book says of one item.
type Entry struct {
	State   string `cbor:"1,keyasint"`
	SizeMib int    `cbor:"2,keyasint"`
	// Guessed says that nobody has told the size, and that it counts as the largest known.
	SizeGuessed bool `cbor:"3,keyasint,omitempty"`
}

// Book is kept in the control state before orders follow from it.
type Contents struct {
	Incarnation string           `cbor:"1,keyasint"`
	Entries     map[string]Entry `cbor:"2,keyasint"`
}

// Deps is what a controller needs from the core.
type Deps struct {
	Group             *run.Group
	Clock             tick.Clock
	Log               *slog.Logger
	Self              string
	Boot              string
	Replicas          backend.Client
	Cadence           bounds.Cadence
	Owner             *owner.Owner
	Gossip            *gossip.Table
	Reports           *report.Table
	Conf              func() conf.Effective
	PredictedRequests func(item string) float64 // predicted over the horizon
	Others            func() Statuses
	LiveAgents        func() map[string]bool // agents thought alive
	PlatformAge       func() time.Duration   // how long ago the platform was heard
	Grant             func(ctx context.Context, l GrantRequest) (wait time.Duration, ok bool)
	Afloat            func(ctx context.Context, who string) // tells the store's keeper of a load that may still start
}

type entry struct {
	Entry
	orderedAt time.Duration // when a load of it was last ordered
	lastUsed  time.Duration
	loadedAt  time.Duration // when a load of it was first seen to have ended; 0 where none was
	inflight  int
	// inherited: an owner before us may have ordered it.
	inherited bool
	// unsure: its load was ordered and not answered.
	unanswered bool
}

// Controller controls one replica.
type Controller struct {
	d                     Deps
	listed                inventory.Listed
	actor                 *run.Actor
	report                backend.Report
	reportAt              time.Duration // when the report we have was asked for
	reportsSince          time.Duration // since when reports have come without a long silence
	hasReport             bool          // a report came since we took over
	entries               map[conf.Item]*entry
	tasks                 deque.Deque[*task]
	epoch                 uint64
	published             []byte                   // what was published, with etas for what is on its way
	outstandingReportedAt time.Duration            // when the store\'s keeper was last told of a load that may still start
	etas                  map[string]time.Duration // what is on its way: when it will probably be there, as published
	version               uint64
	orderCount            uint64
	startCount            int // load starts that the store's leave was asked for
	stayingSince          time.Duration
	closed                bool
	msPerMib              float64       // observed ms per MiB loaded; 0 unknown
	adapterLoadTime       time.Duration // how long an adapter takes to load, on average of late; 0 until one was loaded
	// perMibAgain is the same for models that the replica has held before, and held which they are.
	msPerMibReload float64
	heldBefore     map[string]bool
	failedReports  int
	polledAt       time.Duration
	wake           *run.Nudge
	nextPoll       *run.Alarm
	traits         backend.Traits
	delay          reportDelay
}

// NewController starts to control a replica.
func NewController(g *run.Group, d Deps, l inventory.Listed) *Controller {
	d.Group = g
	c := &Controller{d: d, listed: l, entries: map[conf.Item]*entry{}, reportAt: -1 << 62, polledAt: -1 << 62, stayingSince: -1, heldBefore: map[string]bool{}, traits: d.Replicas.Traits()}
	c.actor = run.NewActor(g, 64, 0, nil)
	c.wake = run.NewNudge(c.actor, c.reconcile)
	c.nextPoll = run.NewAlarm(c.actor, c.reconcile)
	c.nextPoll.Move(d.Cadence.ReplicaBusy)
	return c
}

// Listed tells the controller what the platform says now.
func (c *Controller) SetListed(l inventory.Listed) { _ = c.actor.Tell(func() { c.listed = l }) }

func (c *Controller) leaving() bool {
	return c.listed.Leaving || c.report.Leaving || inventory.Marked(c.d.Gossip, c.listed.ID) || c.d.Conf().Drained(c.listed.Labels, c.listed.Zone)
}

// work looks at the replica and carries on with what is to be done there.
func (c *Controller) reconcile() {
	key := Key(c.listed.ID)
	if c.closed {
		return
	}
	defer func() { c.nextPoll.Move(c.untilNextPoll()) }()
	if !c.d.Owner.Holds(key) {
		return
	}
	epoch, _, _ := c.d.Owner.MayOrder(key)
	if epoch != c.epoch {
		c.takeOver(epoch)
	}
	c.polledAt = c.d.Clock.Since()
	c.poll()
	c.clearLeavingMark()
	c.advance()
	c.reportOutstanding()
	c.publish()
}

// takeOver starts from the book the owner before us kept.
func (c *Controller) takeOver(epoch uint64) {
	ctx, cancel := context.WithTimeout(c.d.Group.Context(), time.Second)
	defer cancel()
	rec, found, err := c.d.Owner.Get(ctx, Key(c.listed.ID))
	if err != nil {
		return
	}
	c.epoch, c.version, c.hasReport = epoch, 0, false
	c.tasks.Clear()
	c.entries = map[conf.Item]*entry{}
	now := c.d.Clock.Since()
	var b Contents
	if found && wire.Unpack(rec.Value, &b) == nil {
		for item, l := range b.Entries {
			// Why: what may have been ordered counts until the replica's own report says otherwise.
			c.entries[conf.ParseItem(item)] = &entry{Entry: l, orderedAt: now, lastUsed: now, inherited: true}
		}
	}
}

// Close ends control; the platform no longer lists the replica, or another core holds it.
func (c *Controller) Close(ctx context.Context, gone bool) {
	_ = c.actor.Ask(ctx, func() {
		c.closed = true
		if gone && c.epoch > 0 {
			c.version++
			c.d.Gossip.Put(gossip.Entry{Key: Key(c.listed.ID), Stamp: c.currentStamp(), Gone: true})
		}
	})
}
