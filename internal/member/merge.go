package member

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/wire"
)

// wholeTable returns all known nodes, including this one unless another process uses its name.
func (t *Table) wholeTable() SyncMessage {
	r := SyncMessage{}
	if !t.nameTaken {
		r.Nodes = append(r.Nodes, t.self)
	}
	for _, e := range t.nodes {
		r.Nodes = append(r.Nodes, e.node)
	}
	return r
}

// mergeAll merges node records received from others.
func (t *Table) mergeAll(nodes []Node) {
	changed := false
	for _, n := range nodes {
		changed = t.merge(n) || changed
	}
	if changed {
		t.publish()
	}
}

// merge merges one node record and reports whether it changed the table.
func (t *Table) merge(n Node) bool {
	if n.Name == "" || n.Addr == "" || n.State > Left {
		t.post.CountMalformed()
		return false
	}
	if n.Name == t.self.Name {
		t.handleSelfUpdate(n)
		return false
	}
	old := t.nodes[n.Name]
	if old == nil {
		if len(t.nodes) >= maxNodes || !n.PresumedAlive() {
			return false
		}
		t.nodes[n.Name] = &entry{node: n, since: t.clock.Since(), transmitsLeft: updateTransmissions}
		return true
	}
	if !n.overrides(old.node) {
		return false
	}
	if old.node.State != n.State {
		old.since = t.clock.Since()
		t.log.Info("member", "name", n.Name, "state", n.State.String(), "inc", n.Inc)
	}
	old.node, old.transmitsLeft = n, updateTransmissions
	return true
}

// overrides reports whether the record replaces another record of the same node.
func (n Node) overrides(old Node) bool {
	return n.Inc > old.Inc || n.Inc == old.Inc && n.State > old.State
}

// handleSelfUpdate handles a record of this node received from others: it refutes outdated ones and detects another
// process with the same name.
func (t *Table) handleSelfUpdate(n Node) {
	if n.Inc < t.self.Inc || t.self.State == Left || n.Boot == t.self.Boot && n.State == Alive {
		return
	}
	if n.Boot == t.self.Boot || n.Addr == t.self.Addr {
		t.self.Inc = n.Inc + 1
		t.publish()
		return
	}
	// Another process uses or used this node's name. If it responds, it has replaced this one; if not, the record is
	// of an earlier process of this node.
	t.self.Inc = max(t.self.Inc, n.Inc)
	t.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		w, err := wire.Call[empty, Identity](ctx, t.caller, n.Addr, "/member/who", empty{})
		_ = t.actor.TryEnqueue(func() {
			if err == nil && w.Name == t.self.Name && w.Boot != t.self.Boot {
				if !t.nameTaken {
					t.log.Error("another process has taken this node's name", "addr", n.Addr)
				}
				t.nameTaken = true
			} else {
				t.self.Inc++
			}
			t.publish()
		})
	})
}
