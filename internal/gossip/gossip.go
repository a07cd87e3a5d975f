// Package gossip replicates small facts to all nodes: it owns a table from key to newest value,
// which is sent to some peers in each round and reconciled by comparing digests.
//
// Every core and agent has one Table and one Disseminator; a proxy has one Table
// that its agent fills. A component that publishes a fact puts it into the table; one that
// needs it reads the table or registers a callback. Each fact has one author, whose stamps
// order its versions. Nothing is stored on disk, no acknowledgement depends on the table, and a
// newer stamp is never replaced by an older one.
package gossip

import (
	"strings"
	"time"

	"drumstall.example/internal/state"
)

const (
	interval       = 100 * time.Millisecond // between two rounds of propagation
	digestInterval = time.Second            // between two digest comparisons with a peer
	fanout         = 3                      // peers per round
	gossipRepeats  = 5                      // rounds in which an entry is sent to fanout peers
	maxInlineBytes = 900                    // larger values are left out of datagrams and pulled by receivers
	// MaxDirectPeers is the largest number of peers to which the author of an entry sends it directly; other nodes
	// forward it once more. In a larger fleet entries go down a tree, or to fanout peers a round if no core is known.
	MaxDirectPeers  = 24
	directRepeats   = 2
	forwardRepeats  = 1
	numBuckets      = 64               // buckets of the digest
	maxEntries      = 200_000          // entries of a table
	purgeAfter      = 10 * time.Minute // how long the tombstone of a removed key is kept
	maxReplyEntries = 256              // entries in one reply
)

// Entry is one version of a fact; the newest stamp wins.
type Entry struct {
	Key          string      `cbor:"1,keyasint"`
	Stamp        state.Stamp `cbor:"2,keyasint"`
	Value        []byte      `cbor:"3,keyasint,omitempty"`
	Deleted      bool        `cbor:"4,keyasint,omitempty"` // the key was removed
	ValueOmitted bool        `cbor:"5,keyasint,omitempty"` // the value is too large for a datagram and has to be pulled
}

// origin is where a node got an entry from.
type origin uint8

// The origins of an entry.
const (
	originLocal origin = iota // published by this node
	originCore                // received from a core
	originPeer                // received from any other node, or by reconciliation
	numOrigins
)

// roundsByOrigin is the number of rounds in which an entry is sent, by its origin.
type roundsByOrigin [numOrigins]int

var (
	directRounds    = roundsByOrigin{originLocal: directRepeats, originCore: forwardRepeats, originPeer: forwardRepeats}
	gossipRounds    = roundsByOrigin{originLocal: gossipRepeats, originCore: gossipRepeats, originPeer: gossipRepeats}
	treeCoreRounds  = roundsByOrigin{originLocal: directRepeats, originCore: forwardRepeats, originPeer: directRepeats}
	treeAgentRounds = roundsByOrigin{originLocal: directRepeats, originCore: forwardRepeats, originPeer: forwardRepeats}
)

// keepsTombstone reports whether the tombstone of a removed key is kept for good. The stamp of a leave
// mark counts up from the last one, so after a purge the next mark would be taken for an older one.
func keepsTombstone(key string) bool { return strings.HasPrefix(key, "mark/") }
