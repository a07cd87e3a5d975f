package gossip

import (
	"slices"

	"drumstall.example/internal/kernel/sample"
)

// Tree holds the addresses to which a node of a large fleet sends entries: a new entry
// goes from its author to all cores, and from each core to the agents below it. An agent forwards what it
// received to one neighbour, whose core may be unavailable; digest comparisons supply the rest.
type Tree struct {
	IsCore     bool     // this node is a core
	Cores      []string // the other live cores
	Agents     []string // of a core: the agents that it sends to
	Neighbours []string // of an agent: other live nodes of its zone
}

// usable reports whether entries can be sent along the tree.
func (t Tree) usable() bool { return t.IsCore || len(t.Cores) > 0 }

// rounds returns the number of rounds in which this node sends an entry.
func (t Tree) rounds() *roundsByOrigin {
	if t.IsCore {
		return &treeCoreRounds
	}
	return &treeAgentRounds
}

// refreshTree returns the tree of this round and stores it as the last one.
func (s *Disseminator) refreshTree() Tree {
	var tree Tree
	if s.tree != nil {
		tree = s.tree()
	}
	s.lastTree.Store(&tree)
	return tree
}

// propagateAlongTree sends pending entries along the tree.
func (s *Disseminator) propagateAlongTree(tree Tree) {
	s.table.rounds.Store(tree.rounds())
	toCores, onward := s.table.takeDueInTree(tree)
	s.send(tree.Cores, toCores)
	if tree.IsCore {
		s.send(tree.Agents, onward)
		return
	}
	if next := s.pickNeighbour(tree); len(next) > 0 {
		s.send(next, onward)
	}
}

// pickNeighbour returns the node that an agent forwards entries to: at most one, none if no peer is known.
func (s *Disseminator) pickNeighbour(tree Tree) []string {
	if len(tree.Neighbours) > 0 {
		return sample.Of(tree.Neighbours, 1)
	}
	return sample.Of(s.peers(), 1)
}

// takeDueInTree returns the entries to send now: those for the cores, and those for the nodes that this one
// forwards to, which are sent once. Entries for the cores are sent twice: a datagram lost between two cores
// would keep an entry from all agents below one of them.
func (t *Table) takeDueInTree(tree Tree) (toCores, onward []Entry) {
	limits := tree.rounds()
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, h := range t.pending {
		h.roundsLeft = min(h.roundsLeft, limits[h.origin])
		e := withoutLargeValue(h.entry)
		if limits[h.origin] == directRepeats {
			toCores = append(toCores, e)
		}
		if h.roundsLeft == limits[h.origin] {
			onward = append(onward, e)
		}
		if h.roundsLeft--; h.roundsLeft <= 0 {
			delete(t.pending, key)
		}
	}
	return toCores, onward
}

// originOf returns the origin of entries that a peer sent.
func (s *Disseminator) originOf(addr string) origin {
	if tree := s.lastTree.Load(); tree != nil && slices.Contains(tree.Cores, addr) {
		return originCore
	}
	return originPeer
}
