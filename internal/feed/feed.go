// Package feed is what passes between an agent and the proxy beside it, over
// loopback: gossip one way, reports and what the proxy learned the other.
package feed

import (
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/state"
)

// Path of the exchange on the agent.
const Path = "/feed"

// UrgentPath takes a report that is to be passed on at once.
const UrgentPath = "/feed/urgent"

// Taken is the answer to an urgent report.
type UrgentReply struct{}

// Up is what a proxy sends.
type Request struct {
	Boot      string         `cbor:"1,keyasint"` // of the proxy
	AgentBoot string         `cbor:"2,keyasint"` // of the agent the cursor is from
	Cursor    uint64         `cbor:"3,keyasint"`
	Entries   []gossip.Entry `cbor:"4,keyasint"` // what the agent may not know
	Report    report.Report  `cbor:"5,keyasint"`
	Confirmed bool           `cbor:"6,keyasint"`            // the proxy serves on a confirmed configuration
	Conf      state.Stamp    `cbor:"7,keyasint"`            // the one in force there
	Peers     []string       `cbor:"8,keyasint,omitempty"`  // for an agent that is new: whom the one before it knew
	MaxWaitMs int            `cbor:"9,keyasint,omitempty"`  // how long the answer may be held back until there is something new
	NoReport  bool           `cbor:"10,keyasint,omitempty"` // nothing is said in Report; the one before counts
}

// Down is what the agent answers.
type Reply struct {
	AgentBoot      string         `cbor:"1,keyasint"`
	Cursor         uint64         `cbor:"2,keyasint"`
	Entries        []gossip.Entry `cbor:"3,keyasint"`
	Confirmed      bool           `cbor:"4,keyasint"` // the configuration here is known to be no older than any in force before
	Conf           state.Stamp    `cbor:"5,keyasint"`
	SinceContactMs int64          `cbor:"6,keyasint"` // since the platform, a core or a peer was heard
	Edges          int            `cbor:"7,keyasint"` // edges thought alive
	SendAll        bool           `cbor:"8,keyasint"` // the agent is new: send everything
	Agent          string         `cbor:"9,keyasint"`
	Zone           string         `cbor:"10,keyasint"`
	Peers          []string       `cbor:"11,keyasint"` // whom to ask for news while the agent is away
	// Holds is the version of the report that the agent has from these exchanges, from which the next may be the difference; 0 is none.
	ReportVersion uint64 `cbor:"12,keyasint,omitempty"`
}
