package gossip

import (
	"slices"

	"drumstall.example/internal/kernel/sample"
)

// Tree is whom a node of a large fleet tells its news, by their addresses: what is new
// goes from its author to all cores, and from each core to the agents below it. What an agent was told
// it tells one neighbour more, in case that one's core is away; digests mend the rest.
type Tree struct {
	IsCore     bool     // this node is a core
	Cores      []string // the other live cores
	Agents     []string // of a core: the agents that it is to tell
	Neighbours []string // of an agent: other live nodes of its zone
}

// stands says whether news can go down the tree.
func (t Tree) usable() bool { return t.IsCore || len(t.Cores) > 0 }

// rounds is in how many rounds this node passes an entry on.
func (t Tree) rounds() *roundsByOrigin {
	if t.IsCore {
		return &treeCoreRounds
	}
	return &treeAgentRounds
}

// treeNow is the tree of this round.
func (s *Disseminator) refreshTree() Tree {
	var tree Tree
	if s.tree != nil {
		tree = s.tree()
	}
	s.lastTree.Store(&tree)
	return tree
}

// passDown sends what is new along the tree.
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

// neighbour picks whom an agent tells what it was told: one, or none if it knows nobody.
func (s *Disseminator) pickNeighbour(tree Tree) []string {
	if len(tree.Neighbours) > 0 {
		return sample.Of(tree.Neighbours, 1)
	}
	return sample.Of(s.peers(), 1)
}

// dueInTree takes the entries that are to be passed on now: those for the cores, and
// those for whom this node passes them on to, which are told once. Why: a datagram lost between two cores would
// keep an entry from all agents below one of them, so cores are told twice.
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

// originOf is the origin of what a peer has sent in a datagram.
func (s *Disseminator) originOf(addr string) origin {
	if tree := s.lastTree.Load(); tree != nil && slices.Contains(tree.Cores, addr) {
		return originCore
	}
	return originPeer
}
