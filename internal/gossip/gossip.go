// Package gossip spreads small facts: a table of key to newest value,
// passed on to a few peers each interval, its gaps mended by comparing digests.
//
// Every core and agent makes one Table and one Spreader, and a proxy one Table
// that its agent feeds; whoever there has something for all nodes puts it in, and
// whoever wants to know reads it or is called. A fact has one author, whose stamp
// orders it. Nothing is kept on disk, nobody's acknowledgement rests on it, and it
// never runs backwards: an older stamp is never taken in place of a newer one.
package gossip

import (
	"strings"
	"time"

	"drumstall.example/internal/state"
)

const (
	interval       = 100 * time.Millisecond // between two rounds of passing on
	digestInterval = time.Second            // between two comparisons with a peer
	fanout         = 3                      // peers told in a round
	gossipRepeats  = 5                      // rounds in which a fact is told
	maxInlineBytes = 900                    // a larger value is pulled by who lacks it
	// AllTold is up to how many peers one who has something new tells all of them at once; others pass it
	// on once more. In a larger fleet it goes down a tree, or from few to few where no core is known.
	MaxDirectPeers  = 24
	directRepeats   = 2
	forwardRepeats  = 1
	numBuckets      = 64               // parts of the table that are compared
	maxEntries      = 200_000          // bound on the table
	purgeAfter      = 10 * time.Minute // how long a removed key is remembered
	maxReplyEntries = 256              // entries in one answer
)

// Entry is one fact; the newest stamp wins.
type Entry struct {
	Key          string      `cbor:"1,keyasint"`
	Stamp        state.Stamp `cbor:"2,keyasint"`
	Value        []byte      `cbor:"3,keyasint,omitempty"`
	Deleted      bool        `cbor:"4,keyasint,omitempty"` // the key was removed
	ValueOmitted bool        `cbor:"5,keyasint,omitempty"` // only a headline: the value has to be pulled
}

// origin is where a node has an entry from.
type origin uint8

// The origins of an entry.
const (
	originLocal origin = iota // this node made it
	originCore                // a core told it while it passed it down the tree
	originPeer                // any other node told it, or it came to mend a gap
	numOrigins
)

// rounds is in how many rounds an entry is passed on, by its origin.
type roundsByOrigin [numOrigins]int

var (
	directRounds    = roundsByOrigin{originLocal: directRepeats, originCore: forwardRepeats, originPeer: forwardRepeats}
	gossipRounds    = roundsByOrigin{originLocal: gossipRepeats, originCore: gossipRepeats, originPeer: gossipRepeats}
	treeCoreRounds  = roundsByOrigin{originLocal: directRepeats, originCore: forwardRepeats, originPeer: directRepeats}
	treeAgentRounds = roundsByOrigin{originLocal: directRepeats, originCore: forwardRepeats, originPeer: forwardRepeats}
)

// lasting says whether a removed key must be remembered for good: a leaving
// mark counts up from the last one, so forgetting it would make the next look old.
func keepsTombstone(key string) bool { return strings.HasPrefix(key, "mark/") }
