package member

import (
	"fmt"
	"testing"
	"time"

	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/sim/simhost"
)

// tableOf is a table that knows some nodes and takes part in nothing.
func tableOf(self string, others ...Node) *Table {
	t := &Table{clock: simhost.NewClock(), log: ring.New(nil, 10).Logger(), self: Node{Name: self, Addr: "at-" + self, Role: RoleAgent, Boot: self, Inc: 1}, nodes: map[string]*entry{}}
	for _, n := range others {
		t.nodes[n.Name] = &entry{node: n}
	}
	t.publish()
	return t
}

func some(count int) (out []Node) {
	for i := range count {
		name := fmt.Sprintf("node-%d", i)
		out = append(out, Node{Name: name, Addr: "at-" + name, Role: RoleAgent, Boot: name, Inc: 1})
	}
	return out
}

// bothKnow makes two tables that know all that a and b know of each other and of others.
func bothKnow(others ...Node) (a, b *Table) {
	a, b = tableOf("a", others...), tableOf("b", others...)
	a.nodes["b"], b.nodes["a"] = &entry{node: b.self}, &entry{node: a.self}
	return a, b
}

func TestTablesThatAreAlikeAreNotTold(t *testing.T) {
	a, b := bothKnow(some(70)...)
	if answer := b.onSync(Roll{Sum: a.sum()}); len(answer.Nodes) != 0 || answer.Sum != a.sum() {
		t.Errorf("%d nodes told", len(answer.Nodes))
	}
}

func TestTablesThatDifferAreTold(t *testing.T) {
	suspect, newer, moved := some(1)[0], some(1)[0], some(1)[0]
	suspect.State, newer.Inc, moved.Addr = Suspect, 2, "elsewhere"
	for name, n := range map[string]Node{"suspect": suspect, "newer": newer, "moved": moved, "unknown": {Name: "x", Addr: "at-x"}} {
		a, b := bothKnow(some(3)...)
		b.nodes[n.Name] = &entry{node: n}
		if answer := b.onSync(Roll{Sum: a.sum()}); len(answer.Nodes) != len(b.nodes)+1 {
			t.Errorf("%s: %d nodes told", name, len(answer.Nodes))
		}
	}
}

// A node that is gone is remembered by those who knew it; that alone is no difference.
func TestNodesThatAreGoneMakeNoDifference(t *testing.T) {
	a, b := bothKnow(some(3)...)
	b.nodes["gone"] = &entry{node: Node{Name: "gone", Addr: "at-gone", State: Dead}, since: time.Second}
	if a.sum() != b.sum() {
		t.Error("tables differ by a node that is gone")
	}
	c := tableOf("c", some(3)...)
	c.nodes["node-1"].node.State = Dead
	if c.sum() == tableOf("c", some(3)...).sum() {
		t.Error("a node that is gone for one and lives for another makes no difference")
	}
}

func TestWhoReturnsItsTableIsNotToldAgain(t *testing.T) {
	a, b := bothKnow(some(3)...)
	a.nodes["x"] = &entry{node: Node{Name: "x", Addr: "at-x"}}
	q := a.roll()
	q.Sum = a.sum()
	if answer := b.onSync(q); len(answer.Nodes) != 0 || b.nodes["x"] == nil {
		t.Errorf("%d nodes told; taken: %v", len(answer.Nodes), b.nodes["x"] != nil)
	}
}

// An earlier version tells its nodes without a sum and needs all of ours.
func TestAnEarlierVersionIsToldAll(t *testing.T) {
	a, b := bothKnow(some(3)...)
	if answer := b.onSync(a.roll()); len(answer.Nodes) != 5 {
		t.Errorf("%d nodes told", len(answer.Nodes))
	}
}
