// Package member maintains the membership of nodes by a gossip protocol with failure detection: each
// node probes its peers in turn, asks third parties for indirect probes when a response is late, and
// suspects a node before it declares it dead.
//
// Every core and agent creates one Table, which answers which nodes are alive and at which address.
// The package owns only these observations: nothing is stored on disk and no vote depends on them. Only
// the node itself can override what others report about it, by raising its incarnation.
package member

import (
	"time"
)

const (
	probeInterval       = 200 * time.Millisecond  // time between two probes
	directTimeout       = 300 * time.Millisecond  // time without a response after which other nodes are asked to probe too
	probeTimeout        = 900 * time.Millisecond  // time after which a probe, direct or indirect, has failed
	suspectTimeout      = 1500 * time.Millisecond // time in which a suspect can refute the suspicion
	retention           = 10 * time.Minute        // how long a dead or departed node stays in the table
	indirectProbers     = 3                       // nodes asked for an indirect probe
	updateTransmissions = 8                       // datagrams that include each change
	syncIntervalTicks   = 10                      // probe intervals between two table synchronizations
	syncTimeout         = time.Second             // time limit of a table synchronization
	syncPath            = "/member/sync"
	maxNodes            = 4096 // maximum size of the table
	updatesPerDatagram  = 5    // changes in one datagram
)

// State is the state of a node as observed by others. Under one incarnation, a higher state overrides a lower one.
type State uint8

// States of a node.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the state's name, as in logs and in the status.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[min(s, 3)] }

// Roles of nodes.
const (
	RoleCore  = "core"
	RoleAgent = "agent"
)

// Node describes one node.
type Node struct {
	Name  string `cbor:"1,keyasint"`
	Role  string `cbor:"2,keyasint"`
	Zone  string `cbor:"3,keyasint"`
	Addr  string `cbor:"4,keyasint"`
	Inc   uint64 `cbor:"5,keyasint"` // incarnation, raised only by the node itself
	State State  `cbor:"6,keyasint"`
	Boot  string `cbor:"7,keyasint"`            // boot ID, different for each start of the process
	Disk  string `cbor:"8,keyasint,omitempty"`  // of a core: identity of its data folder
	Phase string `cbor:"9,keyasint,omitempty"`  // of a core: its progress towards becoming a voter
	API   string `cbor:"10,keyasint,omitempty"` // address for operators or clients
	Build string `cbor:"11,keyasint,omitempty"`
}

// PresumedAlive reports whether the node is alive or suspected.
func (n Node) PresumedAlive() bool { return n.State == Alive || n.State == Suspect }
