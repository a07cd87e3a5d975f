package member

import (
	"slices"
	"strings"
)

// snapshot is what is known of the nodes at one moment, as it is asked for from
// outside the actor. It is never changed; its slices are shared by all who ask.
type snapshot struct {
	self  Node
	nodes []Node // all, by name
	live  map[string][]Node
	peers []string // addresses of the live nodes but this one
}

// anyRole is the key of the live nodes of all roles.
const anyRole = ""

// publish makes what is known now readable from outside the actor.
func (t *Table) publish() {
	s := &snapshot{self: t.self, nodes: make([]Node, 0, len(t.nodes)+1), live: map[string][]Node{}}
	if !t.nameTaken {
		s.nodes = append(s.nodes, t.self)
	}
	for _, e := range t.nodes {
		s.nodes = append(s.nodes, e.node)
	}
	slices.SortFunc(s.nodes, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	for _, n := range s.nodes {
		if !n.PresumedAlive() {
			continue
		}
		s.live[anyRole] = append(s.live[anyRole], n)
		s.live[n.Role] = append(s.live[n.Role], n)
		if n.Name != t.self.Name {
			s.peers = append(s.peers, n.Addr)
		}
	}
	t.snapshot.Store(s)
}

// Self is this node as the others are told of it.
func (t *Table) Self() Node { return t.snapshot.Load().self }

// Nodes are all known nodes, this one among them, by name. The slice is not to be changed.
func (t *Table) Nodes() []Node { return t.snapshot.Load().nodes }

// Live are the nodes of a role thought to be there; "" is any role. The slice is not to be changed.
func (t *Table) Live(role string) []Node { return slices.Clip(t.snapshot.Load().live[role]) }

// Peers are the addresses of the live nodes other than this one. The slice is not to be changed.
func (t *Table) Peers() []string { return slices.Clip(t.snapshot.Load().peers) }
