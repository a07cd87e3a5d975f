// Package feed owns the messages exchanged between an agent and the proxy beside it over
// loopback: gossip in one direction, reports and what the proxy learned in the other.
package feed

import (
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/state"
)

// Path is the path of the exchange on the agent.
const Path = "/feed"

// UrgentPath is the path on the agent for a report that is forwarded at once.
const UrgentPath = "/feed/urgent"

// UrgentReply is the reply to an urgent report.
type UrgentReply struct{}

// Request is sent by a proxy.
type Request struct {
	Boot      string         `cbor:"1,keyasint"` // boot ID of the proxy
	AgentBoot string         `cbor:"2,keyasint"` // boot ID of the agent that issued the cursor
	Cursor    uint64         `cbor:"3,keyasint"`
	Entries   []gossip.Entry `cbor:"4,keyasint"` // entries that the agent may lack
	Report    report.Report  `cbor:"5,keyasint"`
	Confirmed bool           `cbor:"6,keyasint"`            // the proxy serves on a confirmed configuration
	Conf      state.Stamp    `cbor:"7,keyasint"`            // stamp of the configuration in force at the proxy
	Peers     []string       `cbor:"8,keyasint,omitempty"`  // for a new agent: peers known to its predecessor
	MaxWaitMs int            `cbor:"9,keyasint,omitempty"`  // how long the agent may delay the reply until there is something new
	NoReport  bool           `cbor:"10,keyasint,omitempty"` // Report is empty; the previous one still holds
}

// Reply is the agent's reply.
type Reply struct {
	AgentBoot      string         `cbor:"1,keyasint"`
	Cursor         uint64         `cbor:"2,keyasint"`
	Entries        []gossip.Entry `cbor:"3,keyasint"`
	Confirmed      bool           `cbor:"4,keyasint"` // the agent's configuration is known to be no older than any previously in force
	Conf           state.Stamp    `cbor:"5,keyasint"`
	SinceContactMs int64          `cbor:"6,keyasint"` // time since the last contact with the platform, a core or a peer
	Edges          int            `cbor:"7,keyasint"` // number of edges considered alive
	SendAll        bool           `cbor:"8,keyasint"` // the agent is new: the proxy must send everything
	Agent          string         `cbor:"9,keyasint"`
	Zone           string         `cbor:"10,keyasint"`
	Peers          []string       `cbor:"11,keyasint"` // peers to pull gossip from while the agent is unavailable
	// ReportVersion is the version of the report that the agent has from these exchanges; the next report may be the
	// difference from it. 0 means none.
	ReportVersion uint64 `cbor:"12,keyasint,omitempty"`
}
