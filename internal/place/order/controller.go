// Package order is the controller of one replica. It tracks what the replica holds, selects
// idle items as victims with the penalty test of the paper, and is the only sender of load and
// unload orders to the replica, under the lease of the replica's key.
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
	// maxReportAge is how old the last report may be when a load is ordered. A replica that has just stopped answering
	// may read the order much later, when it resumes.
	maxReportAge = 400 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	orderTimeout = 900 * time.Millisecond
	// minOrderTime is the minimum time that an order gets to be sent and answered.
	minOrderTime        = 20 * time.Millisecond
	ackTimeout          = 3 * time.Second  // a proxy that has not acknowledged a withdrawal by then is regarded as fenced
	idleTimeout         = 10 * time.Second // the task is dropped if its victims stay in use for this long
	unloadTimeout       = 20 * time.Second
	waitTimeout         = 60 * time.Second
	outstandingInterval = time.Second
	etaTolerance        = 500 * time.Millisecond // an estimate is republished only if it changes by at least this much
	// outcomeTimeout is how long an order with an unknown outcome counts as executed. outcomeMargin is added to
	// the report lag instead where reports show orders that are being executed.
	outcomeTimeout = 3 * time.Second
	outcomeMargin  = 150 * time.Millisecond
)

// Key returns the key of a replica in the control state and in gossip.
func Key(id string) string { return "replica/" + id }

// Entry states besides those that a replica reports.
const (
	Reserved  = "reserved"  // room is kept for a pending load
	Withdrawn = "withdrawn" // routes must not use the item any more; it is about to be unloaded
)

// Entry is the stored state of one item of a replica.
type Entry struct {
	State   string `cbor:"1,keyasint"`
	SizeMib int    `cbor:"2,keyasint"`
	// SizeGuessed says that the size is not known, and that the largest known size is assumed.
	SizeGuessed bool `cbor:"3,keyasint,omitempty"`
}

// Contents is what a replica holds, or will hold. It is stored in the control state before any order based on it is sent.
type Contents struct {
	Incarnation string           `cbor:"1,keyasint"`
	Entries     map[string]Entry `cbor:"2,keyasint"`
}

// Deps holds the dependencies of a controller.
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
	PredictedRequests func(item string) float64 // predicted requests for an item over the horizon
	Statuses          func() Statuses
	LiveAgents        func() map[string]bool // agents that are considered alive
	PlatformAge       func() time.Duration   // time since the last contact with the platform
	Grant             func(ctx context.Context, r GrantRequest) (wait time.Duration, ok bool)
	ReportOutstanding func(ctx context.Context, loadID string) // reports a load that may still start to the rate limiter of the store
}

// entry is an Entry with the facts that are not stored.
type entry struct {
	Entry
	orderedAt time.Duration // when its load was last ordered
	lastUsed  time.Duration
	loadedAt  time.Duration // when its load was first seen to have completed; 0 if none was
	inflight  int
	// inherited says that a previous lease holder may have ordered its load.
	inherited bool
	// unanswered says that its load was ordered and that the order got no answer.
	unanswered bool
}

// Controller controls one replica. Its state is owned by its actor.
type Controller struct {
	d                     Deps
	listed                inventory.Listed
	actor                 *run.Actor
	report                backend.Report
	reportAt              time.Duration // when the last report was requested
	reportsSince          time.Duration // since when reports have arrived without a long gap
	hasReport             bool          // a report has arrived since the takeover
	entries               map[conf.Item]*entry
	tasks                 deque.Deque[*task]
	epoch                 uint64
	published             []byte                   // the encoded status that was last published, with etas
	outstandingReportedAt time.Duration            // when a load that may still start was last reported to the rate limiter of the store
	etas                  map[string]time.Duration // published estimate of when a pending item will be loaded, by item
	version               uint64
	orderCount            uint64
	startCount            int // load starts for which a grant was requested
	stayingSince          time.Duration
	closed                bool
	msPerMib              float64       // observed load time in ms per MiB; 0 if unknown
	adapterLoadTime       time.Duration // moving average of the load time of an adapter; 0 until one was loaded
	// msPerMibReload is the same for models that the replica has held before; heldBefore names those models.
	msPerMibReload float64
	heldBefore     map[string]bool
	failedReports  int
	polledAt       time.Duration
	wake           *run.Trigger
	nextPoll       *run.Timer
	traits         backend.Traits
	delay          reportDelay
}

// NewController starts a controller of a replica.
func NewController(g *run.Group, d Deps, l inventory.Listed) *Controller {
	d.Group = g
	c := &Controller{d: d, listed: l, entries: map[conf.Item]*entry{}, reportAt: -1 << 62, polledAt: -1 << 62, stayingSince: -1, heldBefore: map[string]bool{}, traits: d.Replicas.Traits()}
	c.actor = run.NewActor(g, 64, 0, nil)
	c.wake = run.NewTrigger(c.actor, c.reconcile)
	c.nextPoll = run.NewTimer(c.actor, c.reconcile)
	c.nextPoll.Reset(d.Cadence.ReplicaBusy)
	return c
}

// SetListed passes the current listing of the replica by the platform to the controller.
func (c *Controller) SetListed(l inventory.Listed) { _ = c.actor.TryEnqueue(func() { c.listed = l }) }

// leaving reports whether the replica is leaving, by its listing, its report, a mark in gossip or a configured drain.
func (c *Controller) leaving() bool {
	return c.listed.Leaving || c.report.Leaving || inventory.MarkedLeaving(c.d.Gossip, c.listed.ID) || c.d.Conf().Drained(c.listed.Labels, c.listed.Zone)
}

// reconcile polls the replica, advances the tasks and publishes the status.
func (c *Controller) reconcile() {
	key := Key(c.listed.ID)
	if c.closed {
		return
	}
	defer func() { c.nextPoll.Reset(c.untilNextPoll()) }()
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

// takeOver starts from the contents that the previous lease holder stored.
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
	if found && wire.Unmarshal(rec.Value, &b) == nil {
		for item, e := range b.Entries {
			// A load that may have been ordered counts until the replica's own report shows otherwise.
			c.entries[conf.ParseItem(item)] = &entry{Entry: e, orderedAt: now, lastUsed: now, inherited: true}
		}
	}
}

// Close stops the controller. gone says that the platform no longer lists the replica; otherwise another core holds its lease.
func (c *Controller) Close(ctx context.Context, gone bool) {
	_ = c.actor.Do(ctx, func() {
		c.closed = true
		if gone && c.epoch > 0 {
			c.version++
			c.d.Gossip.Put(gossip.Entry{Key: Key(c.listed.ID), Stamp: c.currentStamp(), Deleted: true})
		}
	})
}
