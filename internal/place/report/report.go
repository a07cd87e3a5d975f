// Package report is what edges tell the cores of their traffic: requests
// counted per item, those in flight and those waiting, and what is in force.
package report

import (
	"sync/atomic"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/state"
)

// Fresh is how long a report counts as the present.
const Fresh = 2 * time.Second

// Report is one edge's word; counts only ever grow under one boot.
type Report struct {
	Agent    string                    `cbor:"1,keyasint"`
	Boot     string                    `cbor:"2,keyasint"` // of the proxy: who did the counting
	Serial   uint64                    `cbor:"3,keyasint"` // of reports under this boot
	Conf     uint64                    `cbor:"4,keyasint"` // serial of the configuration in force
	Demand   map[string]uint64         `cbor:"5,keyasint"` // item: requests so far
	Inflight map[string]map[string]int `cbor:"6,keyasint"` // replica: item: requests now
	Waiting  map[string]int            `cbor:"7,keyasint"` // item: requests held now for want of a replica
	Acked    map[string]state.Stamp    `cbor:"8,keyasint"` // replica: its news in force at the proxy
	Zone     string                    `cbor:"9,keyasint"`
	Serving  bool                      `cbor:"10,keyasint"`
	Pressed  map[string]int            `cbor:"11,keyasint,omitempty"` // item: requests that went where many are, of late
	WorkMs   map[string]uint64         `cbor:"12,keyasint,omitempty"` // model: replicas' time to read its prompts, so far
	Base     uint64                    `cbor:"13,keyasint,omitempty"` // serial of the report that this one is the difference from; 0 is a whole one
	Unacked  []string                  `cbor:"14,keyasint,omitempty"` // replicas that are no longer in Acked, in a difference
}

// Taken is a core's answer to a report.
type Taken struct {
	Touch touch.Word `cbor:"1,keyasint,omitempty"` // how long the core has been out of touch
	Whole bool       `cbor:"2,keyasint,omitempty"` // the core does not have what the report is the difference from
	// Differences says that the core reads differences; one of an earlier version does not.
	Differences bool `cbor:"3,keyasint,omitempty"`
}

// Dated is a report and when it came, on this core's clock.
type Dated struct {
	Report
	At time.Duration
}

// Table holds the newest report of each agent; a reader gets a snapshot.
type Table struct {
	snap atomic.Pointer[map[string]Dated]
}

// NewTable holds none.
func NewTable() *Table {
	t := &Table{}
	t.snap.Store(&map[string]Dated{})
	return t
}

// Outcome is what became of a report.
type Outcome int

const (
	// Kept says that the report is the newest of its agent now.
	Kept Outcome = iota
	// Stale says that one as new was there.
	Stale
	// NoBase says that the report is a difference from one that is not there.
	NoBase
)

// Put keeps a report if it is newer; its one caller is the planner's desk.
func (t *Table) Put(r Report, at time.Duration) Outcome {
	old := *t.snap.Load()
	was, found := old[r.Agent]
	if found && was.Boot == r.Boot && was.Serial >= r.Serial {
		return Stale
	}
	whole, ok := r.On(was.Report)
	if !ok {
		return NoBase
	}
	next := make(map[string]Dated, len(old)+1)
	for k, v := range old {
		if at-v.At < time.Hour {
			next[k] = v
		}
	}
	next[r.Agent] = Dated{whole, at}
	t.snap.Store(&next)
	return Kept
}

// All is a snapshot that is never changed.
func (t *Table) All() map[string]Dated { return *t.snap.Load() }

// Inflight is the number of requests of an item on a replica by all edges heard
// lately; an edge that went silent counts until it is heard again or an age passes.
func (t *Table) Inflight(replica, item string, now time.Duration) int {
	sum := 0
	for _, r := range t.All() {
		if now-r.At < 5*Fresh {
			sum += r.Report.Inflight[replica][item]
		}
	}
	return sum
}

// InflightOn is the number of requests on a replica.
func (t *Table) InflightOn(replica string, now time.Duration) int {
	sum := 0
	for _, r := range t.All() {
		if now-r.At < Fresh {
			for _, n := range r.Report.Inflight[replica] {
				sum += n
			}
		}
	}
	return sum
}

// Pressed sums the requests that had to go where many are, by item.
func (t *Table) Pressed(now time.Duration) map[conf.Item]int {
	return t.sum(now, func(r Report) map[string]int { return r.Pressed })
}

// Waiting sums what waits, by item.
func (t *Table) Waiting(now time.Duration) map[conf.Item]int {
	return t.sum(now, func(r Report) map[string]int { return r.Waiting })
}

// sum adds up what the edges heard lately count, by item.
func (t *Table) sum(now time.Duration, counts func(Report) map[string]int) map[conf.Item]int {
	out := map[conf.Item]int{}
	for _, r := range t.All() {
		if now-r.At >= Fresh {
			continue
		}
		for item, n := range counts(r.Report) {
			out[conf.ParseItem(item)] += n
		}
	}
	return out
}
