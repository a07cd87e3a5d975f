// Package report is what edges tell the cores of their traffic: requests
// counted per item, those in flight and those waiting, and what is in force.
package report

import (
	"sync"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/state"
)

// Fresh is how long a report counts as the present.
const FreshFor = 2 * time.Second

// Report is one edge's word; counts only ever grow under one boot.
type Report struct {
	Agent        string                    `cbor:"1,keyasint"`
	Boot         string                    `cbor:"2,keyasint"` // of the proxy: who did the counting
	Version      uint64                    `cbor:"3,keyasint"` // of reports under this boot
	ConfigSerial uint64                    `cbor:"4,keyasint"` // serial of the configuration in force
	Demand       map[string]uint64         `cbor:"5,keyasint"` // item: requests so far
	Inflight     map[string]map[string]int `cbor:"6,keyasint"` // replica: item: requests now
	Waiting      map[string]int            `cbor:"7,keyasint"` // item: requests held now for want of a replica
	Acked        map[string]state.Stamp    `cbor:"8,keyasint"` // replica: its status in force at the proxy
	Zone         string                    `cbor:"9,keyasint"`
	Serving      bool                      `cbor:"10,keyasint"`
	Contended    map[string]int            `cbor:"11,keyasint,omitempty"` // item: requests that went where many are, of late
	WorkMs       map[string]uint64         `cbor:"12,keyasint,omitempty"` // model: replicas' time to read its prompts, so far
	Base         uint64                    `cbor:"13,keyasint,omitempty"` // version of the report that this one is the difference from; 0 is a whole one
	RemovedAcks  []string                  `cbor:"14,keyasint,omitempty"` // replicas that are no longer in Acked, in a difference
	// InflightSince says that Inflight holds, in a difference, only what has changed; 0 is no longer in flight.
	InflightIsDelta bool              `cbor:"15,keyasint,omitempty"`
	Tenants         map[string]Tenant `cbor:"16,keyasint,omitempty"`
	// TenantsVersion is another one whenever Tenants is; a difference leaves out what its base has.
	TenantsVersion uint64 `cbor:"17,keyasint,omitempty"`
	// Relay asks the core to pass the report on to the other cores.
	RelayRequested bool `cbor:"18,keyasint,omitempty"`
	// AgentBoot and Order tell which of an agent's reports is newer, whichever way each came: Order rises under one
	// boot of the agent. Agents of earlier versions send neither.
	AgentBoot string `cbor:"19,keyasint,omitempty"`
	Sequence  uint64 `cbor:"20,keyasint,omitempty"`
}

// Tenant is what one tenant has at one proxy.
type Tenant struct {
	Share           int    `cbor:"1,keyasint"`
	CachedPrefixes  int    `cbor:"2,keyasint"` // prefixes remembered as warm
	EvictedPrefixes uint64 `cbor:"3,keyasint"` // prefixes that gave way, so far
	PromptTokens    uint64 `cbor:"4,keyasint"` // of prompts that were sent, so far
	WarmTokens      uint64 `cbor:"5,keyasint"` // of those, expected warm where they were sent
	Bulk            bool   `cbor:"6,keyasint"` // it sends more new prompts than its share of the replicas' caches
}

// Taken is a core's answer to a report.
type Response struct {
	ContactAge      touch.Age `cbor:"1,keyasint,omitempty"` // how long the core has been out of touch
	NeedsFullReport bool      `cbor:"2,keyasint,omitempty"` // the core does not have what the report is the difference from
	// Differences says that the core reads differences; one of an earlier version does not.
	SupportsDeltas bool `cbor:"3,keyasint,omitempty"`
	// InflightDifferences says that it reads those of Inflight too.
	SupportsInflightDeltas bool `cbor:"4,keyasint,omitempty"`
	// Relayed are the keys of the other cores that have the agent's report of a moment before (package relay).
	RelayedTo []uint32 `cbor:"5,keyasint,omitempty"`
	// Conf is the stamp of the configuration that the core has, so that an agent whose is older gets it there.
	ConfigStamp state.Stamp `cbor:"6,keyasint,omitempty"`
	// Busy says that the core has no processor time to spare: it is to be told no more than it must.
	Busy bool `cbor:"7,keyasint,omitempty"`
}

// Dated is a report and when it came, on this core's clock.
type Received struct {
	Report
	At time.Duration
}

// Table holds the newest report of each agent, and what they count together.
// Its methods may be called from anywhere.
type Table struct {
	mu        sync.Mutex
	latest    map[string]*Received // by agent; a report is never changed
	totals    totals
	recent    window
	extended  window
	lastPrune time.Duration // when agents that were not heard for long were last let go of
}

const (
	// forgetEvery is the time between two looks for agents that were not heard for long.
	pruneInterval = time.Minute
	// latelyFresh is how long what an edge that went silent had in flight counts.
	extendedFreshFor = 5 * FreshFor
	// keptFor is how long an agent's report is kept that has sent no other.
	retention = time.Hour
)

// NewTable holds none.
func NewTable() *Table {
	t := &Table{latest: map[string]*Received{}, totals: newTotals()}
	t.recent = newWindow(FreshFor, t.totals.accumulateRecent)
	t.extended = newWindow(extendedFreshFor, t.totals.accumulateExtended)
	return t
}

// Outcome is what became of a report.
type Outcome int

const (
	// Kept says that the report is the newest of its agent now.
	Stored Outcome = iota
	// Stale says that one as new was there.
	Stale
	// NoBase says that the report is a difference from one that is not there.
	MissingBase
)

// follows says that a report was made by its agent after another. Why: reports
// that are passed on may come after later ones that were not.
func (r Report) isNewerThan(other Report) bool {
	return r.AgentBoot != "" && r.AgentBoot == other.AgentBoot && r.Sequence > other.Sequence
}

// Put keeps a report if it is newer; its one caller is the planner's actor, so times never go back.
func (t *Table) Put(r Report, at time.Duration) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	was, found := t.latest[r.Agent]
	switch {
	case !found:
		was = &Received{}
	case was.Boot == r.Boot && was.Version >= r.Version, was.isNewerThan(r):
		return Stale
	}
	whole, ok := r.ApplyTo(was.Report)
	if !ok {
		return MissingBase
	}
	d := &Received{whole, at}
	t.prune(at)
	t.latest[r.Agent] = d
	t.recent.put(d)
	t.extended.put(d)
	return Stored
}

// forget lets go of agents that were not heard for long.
func (t *Table) prune(now time.Duration) {
	if now-t.lastPrune < pruneInterval {
		return
	}
	t.lastPrune = now
	for agent, d := range t.latest {
		if now-d.At >= retention {
			delete(t.latest, agent)
		}
	}
}

// All is the newest report of each agent.
func (t *Table) All() map[string]Received {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Received, len(t.latest))
	for agent, d := range t.latest {
		out[agent] = *d
	}
	return out
}

// Of is the newest report of an agent; an empty one if there is none.
func (t *Table) Get(agent string) Received {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.latest[agent]; d != nil {
		return *d
	}
	return Received{}
}

// Inflight is the number of requests of an item on a replica by all edges heard
// lately; an edge that went silent counts until it is heard again or an age passes.
func (t *Table) Inflight(replica, item string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extended.expire(now)
	return t.totals.inflightByItem[replicaItem{replica, item}]
}

// InflightOn is the number of requests on a replica.
func (t *Table) InflightOn(replica string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.expire(now)
	return t.totals.inflightByReplica[replica]
}

// Pressed sums the requests that had to go where many are, by item.
func (t *Table) Contended(now time.Duration) map[conf.Item]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.expire(now)
	return copyCounters(t.totals.contended)
}

// Waiting sums what waits, by item.
func (t *Table) Waiting(now time.Duration) map[conf.Item]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.expire(now)
	return copyCounters(t.totals.waiting)
}

// Demand is how many requests for an item wait, and how many had to go where many
// are. Why: a controller asks about the few items of its replica, many times a second;
// copies of all that wait in a large fleet took half of its time.
func (t *Table) WaitingAndContended(item conf.Item, now time.Duration) (waiting, pressed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.expire(now)
	return t.totals.waiting[item], t.totals.contended[item]
}
