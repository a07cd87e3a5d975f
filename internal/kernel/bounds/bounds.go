// Package bounds holds what a deployment promises about times and shares, and
// how often its parts look at one another. Every program gets them with its
// settings; nothing here is decided at run time.
package bounds

import "time"

// Bounds are the promises that the rules of docs/rules.md are checked against.
type Bounds struct {
	// Drain is how long after a replica is known to leave it may still be sent a request.
	Drain time.Duration
	// Lease is the least time between orders of two controllers to one replica.
	Lease time.Duration
	// Grace is how long a planned stop may take before the process is killed; 0 is no limit.
	Grace time.Duration
	// Retry bounds the repeated attempts of the whole fleet.
	Retry Retry
	// Store bounds the loads that begin at the weight store.
	Store Store
	// Tolerated is how many cores may be lost at one time.
	ToleratedCores int
}

// Retry bounds attempts beyond the first of each request to a service: in any
// window, at most Ratio times its requests, and Extra.
type Retry struct {
	Ratio float64
	// Extra is for the whole fleet; 0 leaves it to the configuration's limits.retryAllowance.
	Extra float64
}

// Store bounds load starts: in any Window, at most the store's rate times
// Window times Overrun, and Extra.
type Store struct {
	Window  time.Duration
	Overrun float64
	Extra   int
}

// Default is what holds where a deployment says nothing.
func Default() Bounds {
	return Bounds{Drain: 3 * time.Second, Lease: 3 * time.Second, Retry: Retry{Ratio: 0.2},
		Store: Store{Window: 5 * time.Second, Overrun: 1}, ToleratedCores: 1}
}

// OrDefault fills what was left out.
func (b Bounds) OrDefault() Bounds {
	d := Default()
	if b.Drain == 0 {
		b.Drain = d.Drain
	}
	if b.Lease == 0 {
		b.Lease = d.Lease
	}
	if b.Retry.Ratio == 0 {
		b.Retry.Ratio = d.Retry.Ratio
	}
	if b.Store.Window == 0 {
		b.Store.Window = d.Store.Window
	}
	if b.Store.Overrun == 0 {
		b.Store.Overrun = d.Store.Overrun
	}
	if b.ToleratedCores == 0 {
		b.ToleratedCores = d.ToleratedCores
	}
	return b
}

// Starts is how many loads may begin in any window at a store of some rate a second.
func (s Store) MaxStarts(perSecond float64) int {
	return max(1, int(perSecond*s.Window.Seconds()*s.Overrun)+s.Extra)
}

// Cadence is how often the parts of the system look at one another.
type Cadence struct {
	// ReplicaIdle and ReplicaBusy are how often a controller asks its replica for
	// a report: while it has nothing to do there, and while it carries something out.
	ReplicaIdle time.Duration
	ReplicaBusy time.Duration
	// ProxiesAsk says that each proxy asks each replica for its report too;
	// otherwise proxies go by what controllers tell and by what answers say.
	ProxiesPoll bool
	// List is how often a core asks the platform which replicas there are.
	List time.Duration
	// ListSpare is after how long without word of the list an agent asks by
	// itself; 0 lets every agent ask as often as a core.
	ListFallback time.Duration
	// Plan is how often misses are looked at, and Again the least time between
	// two decisions about one item.
	Plan             time.Duration
	DecisionInterval time.Duration
	// Share is how often planners tell one another their predictions.
	SharePredictions time.Duration
	// Report is how often an agent passes its proxy's report to the cores.
	Report time.Duration
	// Keep is how often demand history is written to the control state.
	PersistDemand time.Duration
	// Ask is how long a planner waits for a controller's answer.
	AskTimeout time.Duration
	// Tasks is how many loads one controller takes on at a time.
	MaxLoads int
	// Handback is how long a core keeps a slot that another is preferred for.
	HandbackDelay time.Duration
	// Hold is how long a request waits for an item that nobody holds without any
	// word from a controller.
	NoHolderTimeout time.Duration
	// Start is how long a proxy that has just started keeps requests waiting
	// until it knows what is in force, rather than turning them away; 0 is not at all.
	StartupHold time.Duration
}

// DefaultCadence is for a fleet whose replicas may be asked at any time.
func DefaultCadence() Cadence {
	return Cadence{ReplicaIdle: 200 * time.Millisecond, ReplicaBusy: 200 * time.Millisecond, ProxiesPoll: true,
		List: 500 * time.Millisecond, Plan: 250 * time.Millisecond, DecisionInterval: time.Second, SharePredictions: 2 * time.Second,
		Report: 500 * time.Millisecond, PersistDemand: 20 * time.Second, NoHolderTimeout: 2500 * time.Millisecond, AskTimeout: 1500 * time.Millisecond, MaxLoads: 8, HandbackDelay: 4 * time.Second}
}

// OrDefault is the default cadence where none was given.
func (c Cadence) OrDefault() Cadence {
	if c == (Cadence{}) {
		return DefaultCadence()
	}
	return c
}
