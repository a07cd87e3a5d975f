package member

import (
	"maps"
	"sort"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
)

// note is one datagram: a probe, its answer, or the wish for a second opinion.
type message struct {
	Seq    uint64 `cbor:"1,keyasint"`
	From   string `cbor:"2,keyasint"` // address to answer to
	Target string `cbor:"3,keyasint,omitempty"`
	Name   string `cbor:"4,keyasint,omitempty"` // whom the probe is for
	Boot   string `cbor:"5,keyasint,omitempty"`
	Nodes  []Node `cbor:"6,keyasint,omitempty"`
	// In an answer: how long its sender has been out of touch.
	ContactAge touch.Age `cbor:"7,keyasint,omitempty"`
}

// Roll is a whole table, given and taken, or its sum alone.
type SyncMessage struct {
	Nodes []Node `cbor:"1,keyasint"`
	// Sum stands for the live nodes of the sender's table; 0 is a sender of an earlier
	// version, which tells its nodes and wants all of ours.
	Checksum uint64 `cbor:"2,keyasint,omitempty"`
}

// same says that a sender's live nodes are those of a sum.
func (r SyncMessage) matches(sum uint64) bool { return r.Checksum == sum && len(r.Nodes) == 0 }

// returned says that a sender has our nodes already and tells its own in return.
func (r SyncMessage) isReturn() bool { return r.Checksum != 0 && len(r.Nodes) > 0 }

// none asks for nothing in particular.
type empty struct{}

// Who answers whose process listens at an address.
type Identity struct {
	Name string `cbor:"1,keyasint"`
	Boot string `cbor:"2,keyasint"`
}

// send sends a note with this node's own entry and the newest changes on it.
func (t *Table) send(addr, kind string, n message) {
	n.From = t.self.Addr
	if !t.nameTaken {
		n.Nodes = append(n.Nodes, t.self)
	}
	// Why: the least told go first, so that a change reaches all in a few intervals.
	hot := make([]*entry, 0, 8)
	for _, e := range t.nodes {
		if e.transmitsLeft > 0 {
			hot = append(hot, e)
		}
	}
	sort.Slice(hot, func(i, j int) bool { return hot[i].transmitsLeft > hot[j].transmitsLeft })
	for _, e := range hot[:min(len(hot), updatesPerDatagram)] {
		e.transmitsLeft--
		n.Nodes = append(n.Nodes, e.node)
	}
	t.post.Send(addr, kind, wire.Marshal(n))
}

// onPing answers a probe that is for this node.
func (t *Table) onPing(n message) {
	if n.Name != "" && n.Name != t.self.Name {
		return
	}
	t.send(n.From, "ack", message{Seq: n.Seq, Boot: t.self.Boot, Name: t.self.Name, ContactAge: t.contact.Age()})
}

// onAck takes the answer to a probe, or passes it on to whom it was sent for.
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
	// Why: a second opinion is no word between the two of us.
	if e != nil && e.node.Role == RoleCore && n.Name == p.name && !p.indirect {
		next := maps.Clone(*t.lastAcked.Load())
		next[p.name] = max(next[p.name], p.at)
		t.lastAcked.Store(&next)
	}
	if e != nil && e.node.State == Suspect {
		// Why: it answered, so it lives; only it may raise its incarnation, which our ping makes it do.
		t.send(e.node.Addr, "ping", message{Name: e.node.Name, Nodes: []Node{e.node}})
	}
}

// onAsk probes a third party for a peer.
func (t *Table) onIndirectProbe(n message) {
	t.seq++
	t.probes[t.seq] = probe{name: n.Name, addr: n.Target, at: t.clock.Since(), requester: n.From, requesterSeq: n.Seq}
	t.send(n.Target, "ping", message{Seq: t.seq, Name: n.Name})
}
