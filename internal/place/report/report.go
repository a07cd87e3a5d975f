// Package report defines the periodic traffic reports that edges send to the cores: request
// counts per item, requests in flight and waiting, and the configuration in force. It also owns
// the table in which a core keeps the latest report of each agent.
package report

import (
	"sync"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/state"
)

// FreshFor is how long a report counts as current.
const FreshFor = 2 * time.Second

// Report is the status of one edge. Its counters never decrease under one boot.
type Report struct {
	Agent        string                    `cbor:"1,keyasint"`
	Boot         string                    `cbor:"2,keyasint"` // boot ID of the proxy, which maintains the counters
	Version      uint64                    `cbor:"3,keyasint"` // increases with each report under this boot
	ConfigSerial uint64                    `cbor:"4,keyasint"` // serial of the configuration in force
	Demand       map[string]uint64         `cbor:"5,keyasint"` // item: total requests so far
	Inflight     map[string]map[string]int `cbor:"6,keyasint"` // replica: item: requests in flight
	Waiting      map[string]int            `cbor:"7,keyasint"` // item: requests waiting for a replica
	Acked        map[string]state.Stamp    `cbor:"8,keyasint"` // replica: stamp of the status in force at the proxy
	Zone         string                    `cbor:"9,keyasint"`
	Serving      bool                      `cbor:"10,keyasint"`
	Contended    map[string]int            `cbor:"11,keyasint,omitempty"` // item: recent requests sent to highly loaded replicas
	WorkMs       map[string]uint64         `cbor:"12,keyasint,omitempty"` // model: total time replicas spent reading its prompts
	Base         uint64                    `cbor:"13,keyasint,omitempty"` // version of the report that this delta applies to; 0 for a full report
	RemovedAcks  []string                  `cbor:"14,keyasint,omitempty"` // in a delta: replicas no longer in Acked
	// InflightIsDelta means that Inflight of a delta holds only changed entries; a count of 0 removes an entry.
	InflightIsDelta bool              `cbor:"15,keyasint,omitempty"`
	Tenants         map[string]Tenant `cbor:"16,keyasint,omitempty"`
	// TenantsVersion changes whenever Tenants does; a delta omits Tenants when its base has the same version.
	TenantsVersion uint64 `cbor:"17,keyasint,omitempty"`
	// RelayRequested asks the core to relay the report to the other cores.
	RelayRequested bool `cbor:"18,keyasint,omitempty"`
	// AgentBoot and Sequence order an agent's reports regardless of the path each arrived by: Sequence increases under
	// one boot of the agent. Agents of earlier versions send neither.
	AgentBoot string `cbor:"19,keyasint,omitempty"`
	Sequence  uint64 `cbor:"20,keyasint,omitempty"`
}

// Tenant holds the statistics of one tenant at one proxy.
type Tenant struct {
	Share           int    `cbor:"1,keyasint"`
	CachedPrefixes  int    `cbor:"2,keyasint"` // prompt prefixes recorded as warm
	EvictedPrefixes uint64 `cbor:"3,keyasint"` // prefixes evicted so far
	PromptTokens    uint64 `cbor:"4,keyasint"` // prompt tokens sent so far
	WarmTokens      uint64 `cbor:"5,keyasint"` // of PromptTokens, those expected to be cached at the chosen replica
	Bulk            bool   `cbor:"6,keyasint"` // sends more new prompt tokens than its share of the replicas' caches
}

// Response is a core's response to a report.
type Response struct {
	ContactAge      touch.Age `cbor:"1,keyasint,omitempty"` // how long the core has been without contact
	NeedsFullReport bool      `cbor:"2,keyasint,omitempty"` // the core lacks the base of the delta
	// SupportsDeltas means that the core reads deltas; cores of earlier versions do not.
	SupportsDeltas bool `cbor:"3,keyasint,omitempty"`
	// SupportsInflightDeltas means that the core also reads deltas of Inflight.
	SupportsInflightDeltas bool `cbor:"4,keyasint,omitempty"`
	// RelayedTo lists the keys (relay.CoreKey) of the other cores that hold a recent report of the agent.
	RelayedTo []uint32 `cbor:"5,keyasint,omitempty"`
	// ConfigStamp is the stamp of the core's configuration; an agent with an older one fetches it from this core.
	ConfigStamp state.Stamp `cbor:"6,keyasint,omitempty"`
	// Busy means that the core has no spare processor time; agents should send it only what is required.
	Busy bool `cbor:"7,keyasint,omitempty"`
}

// Received is a report with its arrival time on this core's clock.
type Received struct {
	Report
	At time.Duration
}

// Table holds the latest report of each agent and totals over these reports.
// Its methods are safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	latest    map[string]*Received // by agent; stored reports are immutable
	totals    totals
	recent    window
	extended  window
	lastPrune time.Duration // when expired agents were last removed
}

const (
	// pruneInterval is the time between two scans for expired agents.
	pruneInterval = time.Minute
	// extendedFreshFor is how long the in-flight requests of an edge that no longer reports still count.
	extendedFreshFor = 5 * FreshFor
	// retention is how long the last report of an agent is kept.
	retention = time.Hour
)

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{latest: map[string]*Received{}, totals: newTotals()}
	t.recent = newWindow(FreshFor, t.totals.accumulateRecent)
	t.extended = newWindow(extendedFreshFor, t.totals.accumulateExtended)
	return t
}

// Outcome is the result of Table.Put.
type Outcome int

const (
	// Stored means that the report is now the latest of its agent.
	Stored Outcome = iota
	// Stale means that the table already holds a report that is at least as new.
	Stale
	// MissingBase means that the report is a delta whose base is not in the table.
	MissingBase
)

// isNewerThan reports whether the agent produced r after other. The versions do not show this
// across boots of the proxy, and a relayed report may arrive after a later one that was sent directly.
func (r Report) isNewerThan(other Report) bool {
	return r.AgentBoot != "" && r.AgentBoot == other.AgentBoot && r.Sequence > other.Sequence
}

// Put stores a report if it is newer than the stored one. Its only caller is the planner's actor, so at never decreases.
func (t *Table) Put(r Report, at time.Duration) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, found := t.latest[r.Agent]
	switch {
	case !found:
		previous = &Received{}
	case previous.Boot == r.Boot && previous.Version >= r.Version, previous.isNewerThan(r):
		return Stale
	}
	full, ok := r.ApplyTo(previous.Report)
	if !ok {
		return MissingBase
	}
	d := &Received{full, at}
	t.prune(at)
	t.latest[r.Agent] = d
	t.recent.put(d)
	t.extended.put(d)
	return Stored
}

// prune removes agents that have sent no report within the retention time.
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

// All returns the latest report of each agent.
func (t *Table) All() map[string]Received {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Received, len(t.latest))
	for agent, d := range t.latest {
		out[agent] = *d
	}
	return out
}

// Get returns the latest report of an agent, or an empty one if there is none.
func (t *Table) Get(agent string) Received {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.latest[agent]; d != nil {
		return *d
	}
	return Received{}
}

// Inflight returns the number of in-flight requests for an item on a replica over all edges. The last
// report of an edge counts until its next report arrives or extendedFreshFor has passed.
func (t *Table) Inflight(replica, item string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extended.expire(now)
	return t.totals.inflightByItem[replicaItem{replica, item}]
}

// InflightOn returns the number of in-flight requests on a replica, from fresh reports.
func (t *Table) InflightOn(replica string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.expire(now)
	return t.totals.inflightByReplica[replica]
}

// Contended returns, by item, the number of requests that had to be sent to highly loaded replicas.
func (t *Table) Contended(now time.Duration) map[conf.Item]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.expire(now)
	return copyCounters(t.totals.contended)
}

// Waiting returns the number of waiting requests by item.
func (t *Table) Waiting(now time.Duration) map[conf.Item]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.expire(now)
	return copyCounters(t.totals.waiting)
}

// WaitingAndContended returns the waiting and the contended requests of one item. A controller queries the
// few items of its replica many times a second; copying the totals of all items in a large fleet took half
// of its processor time.
func (t *Table) WaitingAndContended(item conf.Item, now time.Duration) (waiting, pressed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.expire(now)
	return t.totals.waiting[item], t.totals.contended[item]
}
