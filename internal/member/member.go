// Package member knows the nodes of the system: probes to a few peers in turn,
// second opinions through third parties, suspicion before removal.
//
// Every core and agent makes one Table; whoever there needs to know which nodes
// are there, and where, asks it. It owns the opinions alone: nothing is kept on
// disk, nobody's vote rests on them, and a node's state is only ever raised above
// what others say of it by the node itself.
package member

import (
	"time"
)

const (
	probeInterval       = 200 * time.Millisecond  // between two probes
	directTimeout       = 300 * time.Millisecond  // how long a probe may take before others are asked to probe too
	probeTimeout        = 900 * time.Millisecond  // how long it may take altogether
	suspectTimeout      = 1500 * time.Millisecond // how long a suspect may clear itself
	retention           = 10 * time.Minute        // how long a node that is gone is remembered
	indirectProbers     = 3                       // third parties asked for a second opinion
	updateTransmissions = 8                       // times a change is told
	syncIntervalTicks   = 10                      // intervals between two exchanges of whole tables
	syncTimeout         = time.Second             // for such an exchange
	syncPath            = "/member/sync"
	maxNodes            = 4096 // bound on the table
	updatesPerDatagram  = 5    // updates riding on one datagram
)

// State of a node as others see it; a later one wins under one incarnation.
type State uint8

// The states.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String is the state's name in logs and in the status.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[min(s, 3)] }

// Roles of nodes.
const (
	RoleCore  = "core"
	RoleAgent = "agent"
)

// Node is what is known of one node.
type Node struct {
	Name  string `cbor:"1,keyasint"`
	Role  string `cbor:"2,keyasint"`
	Zone  string `cbor:"3,keyasint"`
	Addr  string `cbor:"4,keyasint"`
	Inc   uint64 `cbor:"5,keyasint"` // incarnation: only the node itself raises it
	State State  `cbor:"6,keyasint"`
	Boot  string `cbor:"7,keyasint"`            // differs with each start of the process
	Disk  string `cbor:"8,keyasint,omitempty"`  // of a core: its data folder's identity
	Phase string `cbor:"9,keyasint,omitempty"`  // of a core: how far it has come towards voting
	API   string `cbor:"10,keyasint,omitempty"` // where operators or callers reach it
	Build string `cbor:"11,keyasint,omitempty"`
}

// Thought says whether the node is thought to be there.
func (n Node) PresumedAlive() bool { return n.State == Alive || n.State == Suspect }
