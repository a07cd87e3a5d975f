// Package bounds defines the guaranteed limits of a deployment, and the intervals and time limits
// with which its components work together. Every program gets them with its
// settings; they do not change at run time.
package bounds

import "time"

// Bounds are the guarantees that the rules of docs/rules.md are checked against.
type Bounds struct {
	// Drain is how long requests may still be sent to a replica after it is known to leave.
	Drain time.Duration
	// Lease is the minimum time between orders of two different controllers to one replica.
	Lease time.Duration
	// Grace is how long a planned stop may take before the process is killed; 0 means no limit.
	Grace time.Duration
	// Retry limits the repeated attempts of the whole fleet.
	Retry Retry
	// Store limits the loads that start at the weight store.
	Store Store
	// ToleratedCores is how many cores may be down at the same time.
	ToleratedCores int
}

// Retry limits the attempts beyond the first of each request to a service: in any
// window, at most Ratio times the number of its requests, plus Extra.
type Retry struct {
	Ratio float64
	// Extra applies to the whole fleet; if 0, the configuration's limits.retryAllowance applies.
	Extra float64
}

// Store limits load starts: in any Window, at most the store's rate times
// Window times Overrun, plus Extra.
type Store struct {
	Window  time.Duration
	Overrun float64
	Extra   int
}

// Default returns the bounds of a deployment that sets none.
func Default() Bounds {
	return Bounds{Drain: 3 * time.Second, Lease: 3 * time.Second, Retry: Retry{Ratio: 0.2},
		Store: Store{Window: 5 * time.Second, Overrun: 1}, ToleratedCores: 1}
}

// OrDefault returns b with default values for fields that are zero.
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

// MaxStarts returns how many loads may start in any window at a store with the given rate per second.
func (s Store) MaxStarts(perSecond float64) int {
	return max(1, int(perSecond*s.Window.Seconds()*s.Overrun)+s.Extra)
}

// Cadence holds the intervals and time limits with which the components of the system work together.
type Cadence struct {
	// ReplicaIdle and ReplicaBusy are the intervals at which a controller polls its replica for
	// a report: while it has no order to execute there, and while it executes one.
	ReplicaIdle time.Duration
	ReplicaBusy time.Duration
	// ProxiesPoll makes each proxy poll each replica for its report too;
	// otherwise proxies use the reports of controllers and the replicas' responses to requests.
	ProxiesPoll bool
	// List is the interval at which a core lists the replicas of the platform.
	List time.Duration
	// ListFallback is how long an agent has no contact with the list, by itself or through a core, before it
	// queries the platform itself; if 0, every agent queries as often as a core.
	ListFallback time.Duration
	// Plan is the interval at which misses are processed, and DecisionInterval the minimum time between
	// two decisions about one item.
	Plan             time.Duration
	DecisionInterval time.Duration
	// SharePredictions is the interval at which planners exchange their predictions.
	SharePredictions time.Duration
	// Report is the interval at which an agent sends its proxy's report to the cores.
	Report time.Duration
	// PersistDemand is the interval at which demand history is written to the control state.
	PersistDemand time.Duration
	// AskTimeout is how long a planner waits for the response of a controller.
	AskTimeout time.Duration
	// MaxLoads is the maximum number of loads that one controller accepts at a time.
	MaxLoads int
	// HandbackDelay is how long a core keeps a slot for which another core is preferred.
	HandbackDelay time.Duration
	// NoHolderTimeout is how long a request waits for an item that no replica holds, without a
	// message from a controller about it.
	NoHolderTimeout time.Duration
	// StartupHold is how long a proxy that has just started queues requests, rather than rejecting them,
	// until its routing table is current enough to serve from; 0 disables it.
	StartupHold time.Duration
}

// DefaultCadence returns the cadence of a fleet whose replicas may be polled at any time.
func DefaultCadence() Cadence {
	return Cadence{ReplicaIdle: 200 * time.Millisecond, ReplicaBusy: 200 * time.Millisecond, ProxiesPoll: true,
		List: 500 * time.Millisecond, Plan: 250 * time.Millisecond, DecisionInterval: time.Second, SharePredictions: 2 * time.Second,
		Report: 500 * time.Millisecond, PersistDemand: 20 * time.Second, NoHolderTimeout: 2500 * time.Millisecond, AskTimeout: 1500 * time.Millisecond, MaxLoads: 8, HandbackDelay: 4 * time.Second}
}

// OrDefault returns c, or the default cadence if c is zero.
func (c Cadence) OrDefault() Cadence {
	if c == (Cadence{}) {
		return DefaultCadence()
	}
	return c
}
