package check

import (
	"time"
)

// Event is one thing a stand-in saw. Only the fields of its kind are set.
type Event struct {
	At         time.Duration `json:"at"` // since the records' common zero
	Kind       string        `json:"kind"`
	Replica    string        `json:"replica,omitempty"`
	Node       string        `json:"node,omitempty"`
	Ticket     string        `json:"ticket,omitempty"` // of one request; a repeated one has another
	Of         string        `json:"of,omitempty"`     // the ticket under which the same caller asked before
	Service    string        `json:"service,omitempty"`
	Class      string        `json:"class,omitempty"`
	Attempt    int           `json:"shot,omitempty"` // which attempt at the request this is, from 1
	Repeatable bool          `json:"repeatable,omitempty"`
	Verb       string        `json:"verb,omitempty"`
	Item       string        `json:"item,omitempty"`
	Controller string        `json:"controller,omitempty"`
	Epoch      uint64        `json:"epoch,omitempty"`
	Warm       int           `json:"warm,omitempty"` // blocks of a prompt that were warm, of Used
	Used       int           `json:"used,omitempty"`
	Capacity   int           `json:"capacity,omitempty"`
	Status     int           `json:"status,omitempty"`
	Outcome    string        `json:"outcome,omitempty"`
	Serial     uint64        `json:"serial,omitempty"`
	Sum        string        `json:"sum,omitempty"`
	Why        string        `json:"why,omitempty"`
	Inflight   int           `json:"inflight,omitempty"` // requests that use what is ordered to go
	TookMs     int64         `json:"tookMs,omitempty"`
	FirstMs    int64         `json:"firstMs,omitempty"`
	Retry      bool          `json:"retry,omitempty"`  // Retry-After was given
	AgainS     int           `json:"againS,omitempty"` // and said so many seconds
}

// Kinds of events.
const (
	Arrived    = "arrived"     // a request reaches a back end, which may refuse it
	RunStart   = "run.start"   // a replica begins a request
	OrderCame  = "order"       // a replica was ordered something; Used is what it would then hold
	LoadStart  = "load.start"  // a replica begins to read from the weight store
	LoadDone   = "load.done"   // it has read an item; Used is its size
	UnloadDone = "unload.done" // it let an item go; no item: all of them
	Learned    = "mark.learnt" // one of our nodes was first told of a leaving replica, by the platform or, Why, by the replica
	Sent       = "sent"        // a caller sends a request
	Unlearned  = "mark.gone"   // the platform took a mark back
	Answer     = "answer"      // a caller has its final answer
	ConfAck    = "conf.ack"    // an operator got an acknowledgement
	ConfSeen   = "conf.seen"   // a proxy says what is in force there
	ConfNone   = "conf.none"   // a proxy says that it serves nobody yet
	ConfBack   = "conf.back"   // the configuration was read back
	EdgeDown   = "edge.down"   // a proxy or its machine is stopped, killed, frozen or cut off
	EdgeUp     = "edge.up"     // it is back
	Planned    = "planned"     // planned work on Node begins
	PlanEnd    = "planned.end"
	Back       = "machines.back" // the machines needed to serve are all there
)

// How a caller's answer ended.
const (
	Whole    = "whole"    // ended as it should, every piece in its place
	Broken   = "broken"   // visibly cut
	Spliced  = "spliced"  // looks whole and is not, or has wrong pieces
	TurnedNo = "not-run"  // said not to have run
	Unknown  = "unknown"  // said to be unknown
	Failed   = "failed"   // said to have run and failed
	NoConn   = "no-conn"  // the proxy was not there
	LeftOut  = "left-out" // the connection broke before an answer
)
