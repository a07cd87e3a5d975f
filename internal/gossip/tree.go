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
	Below      []string // of a core: the agents that it is to tell
	Neighbours []string // of an agent: other live nodes of its zone
}

// stands says whether news can go down the tree.
func (t Tree) stands() bool { return t.IsCore || len(t.Cores) > 0 }

// rounds is in how many rounds this node passes an entry on.
func (t Tree) rounds() *rounds {
	if t.IsCore {
		return &treeCoreRounds
	}
	return &treeAgentRounds
}

// treeNow is the tree of this round.
func (s *Spreader) treeNow() Tree {
	var tree Tree
	if s.tree != nil {
		tree = s.tree()
	}
	s.known.Store(&tree)
	return tree
}

// passDown sends what is new along the tree.
func (s *Spreader) passDown(tree Tree) {
	s.t.rounds.Store(tree.rounds())
	toCores, onward := s.t.dueInTree(tree)
	s.send(tree.Cores, toCores)
	if tree.IsCore {
		s.send(tree.Below, onward)
		return
	}
	if next := s.neighbour(tree); len(next) > 0 {
		s.send(next, onward)
	}
}

// neighbour picks whom an agent tells what it was told: one, or none if it knows nobody.
func (s *Spreader) neighbour(tree Tree) []string {
	if len(tree.Neighbours) > 0 {
		return sample.Of(tree.Neighbours, 1)
	}
	return sample.Of(s.peers(), 1)
}

// dueInTree takes the entries that are to be passed on now: those for the cores, and
// those for whom this node passes them on to, which are told once. Why: a datagram lost between two cores would
// keep an entry from all agents below one of them, so cores are told twice.
func (t *Table) dueInTree(tree Tree) (toCores, onward []Entry) {
	limits := tree.rounds()
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, h := range t.hot {
		h.tell = min(h.tell, limits[h.from])
		e := headline(h.e)
		if limits[h.from] == retellDirect {
			toCores = append(toCores, e)
		}
		if h.tell == limits[h.from] {
			onward = append(onward, e)
		}
		if h.tell--; h.tell <= 0 {
			delete(t.hot, key)
		}
	}
	return toCores, onward
}

// originOf is the origin of what a peer has sent in a datagram.
func (s *Spreader) originOf(addr string) origin {
	if tree := s.known.Load(); tree != nil && slices.Contains(tree.Cores, addr) {
		return fromCore
	}
	return fromPeer
}
