package member

import (
	"maps"
	"sort"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
)

// message is the body of a datagram: a probe, an acknowledgement or a request for an indirect probe.
type message struct {
	Seq    uint64 `cbor:"1,keyasint"`
	From   string `cbor:"2,keyasint"` // address to respond to
	Target string `cbor:"3,keyasint,omitempty"`
	Name   string `cbor:"4,keyasint,omitempty"` // name of the probed node
	Boot   string `cbor:"5,keyasint,omitempty"`
	Nodes  []Node `cbor:"6,keyasint,omitempty"`
	// ContactAge, in an acknowledgement, is how long its sender has been without contact.
	ContactAge touch.Age `cbor:"7,keyasint,omitempty"`
}

// SyncMessage is the request or response of a table synchronization: a whole table, or only its checksum.
type SyncMessage struct {
	Nodes []Node `cbor:"1,keyasint"`
	// Checksum covers the live nodes of the sender's table. It is 0 from a sender of an earlier version, which
	// sends its nodes and expects the whole table in return.
	Checksum uint64 `cbor:"2,keyasint,omitempty"`
}

// matches reports whether the sender's live nodes have the given checksum.
func (r SyncMessage) matches(checksum uint64) bool {
	return r.Checksum == checksum && len(r.Nodes) == 0
}

// isReturn reports whether the sender already has this node's table and sends the nodes missing from it.
func (r SyncMessage) isReturn() bool { return r.Checksum != 0 && len(r.Nodes) > 0 }

// empty is a request without parameters.
type empty struct{}

// Identity identifies the process that listens at an address.
type Identity struct {
	Name string `cbor:"1,keyasint"`
	Boot string `cbor:"2,keyasint"`
}

// send sends a message that also contains this node's own entry and the most recent changes.
func (t *Table) send(addr, kind string, n message) {
	n.From = t.self.Addr
	if !t.nameTaken {
		n.Nodes = append(n.Nodes, t.self)
	}
	// The changes sent least often go first, so that a change reaches all nodes within a few intervals.
	pending := make([]*entry, 0, 8)
	for _, e := range t.nodes {
		if e.transmitsLeft > 0 {
			pending = append(pending, e)
		}
	}
	sort.Slice(pending, func(i, j int) bool { return pending[i].transmitsLeft > pending[j].transmitsLeft })
	for _, e := range pending[:min(len(pending), updatesPerDatagram)] {
		e.transmitsLeft--
		n.Nodes = append(n.Nodes, e.node)
	}
	t.post.Send(addr, kind, wire.Marshal(n))
}

// onPing acknowledges a probe of this node.
func (t *Table) onPing(n message) {
	if n.Name != "" && n.Name != t.self.Name {
		return
	}
	t.send(n.From, "ack", message{Seq: n.Seq, Boot: t.self.Boot, Name: t.self.Name, ContactAge: t.contact.Age()})
}

// onAck processes the acknowledgement of a probe, or forwards that of an indirect probe to its requester.
func (t *Table) onAck(n message) {
	p, found := t.probes[n.Seq]
	if !found {
		return
	}
	delete(t.probes, n.Seq)
	if p.requester != "" {
		t.send(p.requester, "ack", message{Seq: p.requesterSeq, Name: n.Name, Boot: n.Boot})
		return
	}
	t.contact.Observe(p.at, n.ContactAge)
	e := t.nodes[p.name]
	// An indirect probe does not show that this node and the core can reach each other.
	if e != nil && e.node.Role == RoleCore && n.Name == p.name && !p.indirect {
		next := maps.Clone(*t.lastAcked.Load())
		next[p.name] = max(next[p.name], p.at)
		t.lastAcked.Store(&next)
	}
	if e != nil && e.node.State == Suspect {
		// The node responded, so it is alive, but only the node itself may raise its incarnation. A ping with the
		// suspicion makes it do so.
		t.send(e.node.Addr, "ping", message{Name: e.node.Name, Nodes: []Node{e.node}})
	}
}

// onIndirectProbe probes a node on behalf of a peer.
func (t *Table) onIndirectProbe(n message) {
	t.seq++
	t.probes[t.seq] = probe{name: n.Name, addr: n.Target, at: t.clock.Since(), requester: n.From, requesterSeq: n.Seq}
	t.send(n.Target, "ping", message{Seq: t.seq, Name: n.Name})
}
