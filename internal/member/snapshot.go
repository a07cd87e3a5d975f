package member

import (
	"slices"
	"strings"
)

// snapshot is a copy of the table for readers outside the actor. It is immutable; its slices are shared
// by all readers.
type snapshot struct {
	self  Node
	nodes []Node            // all known nodes, sorted by name
	live  map[string][]Node // nodes presumed alive, by role
	peers []string          // addresses of the other nodes presumed alive
}

// anyRole is the key in snapshot.live for nodes of all roles.
const anyRole = ""

// publish replaces the snapshot with the current state.
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

// Self returns this node's own entry.
func (t *Table) Self() Node { return t.snapshot.Load().self }

// Nodes returns all known nodes, including this one, sorted by name. The caller must not modify the slice.
func (t *Table) Nodes() []Node { return t.snapshot.Load().nodes }

// Live returns the nodes of a role that are presumed alive; "" selects all roles. The caller must not modify the slice.
func (t *Table) Live(role string) []Node { return slices.Clip(t.snapshot.Load().live[role]) }

// Peers returns the addresses of the other nodes presumed alive. The caller must not modify the slice.
func (t *Table) Peers() []string { return slices.Clip(t.snapshot.Load().peers) }
