package member

import (
	"fmt"
	"testing"
	"time"

	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/sim/simhost"
)

// tableOf is a table that knows some nodes and takes part in nothing.
func newTestTable(self string, others ...Node) *Table {
	t := &Table{clock: simhost.NewClock(), log: ring.New(nil, 10).Logger(), self: Node{Name: self, Addr: "at-" + self, Role: RoleAgent, Boot: self, Inc: 1}, nodes: map[string]*entry{}}
	for _, n := range others {
		t.nodes[n.Name] = &entry{node: n}
	}
	t.publish()
	return t
}

func testNodes(count int) (out []Node) {
	for i := range count {
		name := fmt.Sprintf("node-%d", i)
		out = append(out, Node{Name: name, Addr: "at-" + name, Role: RoleAgent, Boot: name, Inc: 1})
	}
	return out
}

// bothKnow makes two tables that know all that a and b know of each other and of others.
func matchingTables(others ...Node) (a, b *Table) {
	a, b = newTestTable("a", others...), newTestTable("b", others...)
	a.nodes["b"], b.nodes["a"] = &entry{node: b.self}, &entry{node: a.self}
	return a, b
}

func TestEqualTablesAreNotTransferred(t *testing.T) {
	a, b := matchingTables(testNodes(70)...)
	if answer := b.onSync(SyncMessage{Checksum: a.checksum()}); len(answer.Nodes) != 0 || answer.Checksum != a.checksum() {
		t.Errorf("%d nodes told", len(answer.Nodes))
	}
}

func TestDifferingTablesAreTransferred(t *testing.T) {
	suspect, newer, moved := testNodes(1)[0], testNodes(1)[0], testNodes(1)[0]
	suspect.State, newer.Inc, moved.Addr = Suspect, 2, "elsewhere"
	for name, n := range map[string]Node{"suspect": suspect, "newer": newer, "moved": moved, "unknown": {Name: "x", Addr: "at-x"}} {
		a, b := matchingTables(testNodes(3)...)
		b.nodes[n.Name] = &entry{node: n}
		if answer := b.onSync(SyncMessage{Checksum: a.checksum()}); len(answer.Nodes) != len(b.nodes)+1 {
			t.Errorf("%s: %d nodes told", name, len(answer.Nodes))
		}
	}
}

// A node that is gone is remembered by those who knew it; that alone is no difference.
func TestDepartedNodesDoNotAffectTheChecksum(t *testing.T) {
	a, b := matchingTables(testNodes(3)...)
	b.nodes["gone"] = &entry{node: Node{Name: "gone", Addr: "at-gone", State: Dead}, since: time.Second}
	if a.checksum() != b.checksum() {
		t.Error("tables differ by a node that is gone")
	}
	c := newTestTable("c", testNodes(3)...)
	c.nodes["node-1"].node.State = Dead
	if c.checksum() == newTestTable("c", testNodes(3)...).checksum() {
		t.Error("a node that is gone for one and lives for another makes no difference")
	}
}

func TestReturnedTableIsNotAnsweredWithATable(t *testing.T) {
	a, b := matchingTables(testNodes(3)...)
	a.nodes["x"] = &entry{node: Node{Name: "x", Addr: "at-x"}}
	q := a.wholeTable()
	q.Checksum = a.checksum()
	if answer := b.onSync(q); len(answer.Nodes) != 0 || b.nodes["x"] == nil {
		t.Errorf("%d nodes told; taken: %v", len(answer.Nodes), b.nodes["x"] != nil)
	}
}

// An earlier version tells its nodes without a sum and needs all of ours.
func TestRequestWithoutChecksumReceivesTheWholeTable(t *testing.T) {
	a, b := matchingTables(testNodes(3)...)
	if answer := b.onSync(a.wholeTable()); len(answer.Nodes) != 5 {
		t.Errorf("%d nodes told", len(answer.Nodes))
	}
}
