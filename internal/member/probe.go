package member

import (
	"maps"
	"math/rand/v2"
	"sort"
	"time"

	"drumstall.example/internal/kernel/sample"
)

// probe is one that has no answer yet.
type probe struct {
	name     string
	addr     string
	at       time.Duration
	indirect bool
	relayTo  string // the probe is a second opinion for this peer
	relaySeq uint64
}

// ping probes a node.
func (t *Table) ping(n Node, now time.Duration) {
	t.seq++
	t.probes[t.seq] = probe{name: n.Name, addr: n.Addr, at: now}
	t.send(n.Addr, "ping", note{Seq: t.seq, Name: n.Name})
}

// probeNext probes the nodes in a shuffled turn, the dead more seldom.
func (t *Table) probeNext(now time.Duration) {
	for range 2 {
		if len(t.turn) == 0 {
			for name := range t.nodes {
				t.turn = append(t.turn, name)
			}
			sort.Strings(t.turn)
			rand.Shuffle(len(t.turn), func(i, j int) { t.turn[i], t.turn[j] = t.turn[j], t.turn[i] })
		}
		if len(t.turn) == 0 {
			return
		}
		name := t.turn[0]
		t.turn = t.turn[1:]
		if e := t.nodes[name]; e != nil && e.node.State != Left {
			if e.node.State == Dead && rand.IntN(5) > 0 {
				continue
			}
			t.ping(e.node, now)
			return
		}
	}
}

// probeCore probes the other cores in turn.
func (t *Table) probeCore(now time.Duration) {
	if len(t.cores) == 0 {
		for name, e := range t.nodes {
			if e.node.Role == RoleCore && e.node.State == Alive {
				t.cores = append(t.cores, name)
			}
		}
		rand.Shuffle(len(t.cores), func(i, j int) { t.cores[i], t.cores[j] = t.cores[j], t.cores[i] })
	}
	if len(t.cores) == 0 {
		return
	}
	name := t.cores[0]
	t.cores = t.cores[1:]
	if e := t.nodes[name]; e != nil && e.node.State == Alive {
		t.ping(e.node, now)
	}
}

// some picks up to n live nodes by chance, without the one of a name.
func (t *Table) some(n int, not string) []Node {
	picked := sample.NewReservoir[Node](n)
	for _, e := range t.nodes {
		if e.node.State == Alive && e.node.Name != not {
			picked.Show(e.node)
		}
	}
	return picked.Picked()
}

// someOf picks a live node of a role by chance; no name means that there is none.
func (t *Table) someOf(role string) Node {
	picked := sample.NewReservoir[Node](1)
	for _, e := range t.nodes {
		if e.node.State == Alive && e.node.Role == role {
			picked.Show(e.node)
		}
	}
	for _, n := range picked.Picked() {
		return n
	}
	return Node{}
}

// ageProbes asks for second opinions where an answer is late, and suspects whom
// nobody has heard; it says whether that changed the table.
func (t *Table) ageProbes(now time.Duration) (changed bool) {
	for seq, p := range t.probes {
		age := now - p.at
		switch {
		case p.relayTo != "" && age > indirectFor:
			delete(t.probes, seq)
		case p.relayTo == "" && age > indirectFor:
			delete(t.probes, seq)
			// Why: a long gap means that we slept, not that the other did.
			if e := t.nodes[p.name]; e != nil && e.node.State == Alive && age < 2*indirectFor {
				e.node.State, e.since, e.tell = Suspect, now, retell
				changed = true
				t.send(e.node.Addr, "ping", note{Name: e.node.Name, Nodes: []Node{e.node}})
			}
		case p.relayTo == "" && age > directFor && !p.indirect:
			p.indirect = true
			t.probes[seq] = p
			for _, h := range t.some(helpers, p.name) {
				t.send(h.Addr, "ask", note{Seq: seq, Target: p.addr, Name: p.name})
			}
		}
	}
	return changed
}

// ageNodes declares suspects dead and forgets who is long gone; it says whether
// that changed the table.
func (t *Table) ageNodes(now time.Duration) (changed bool) {
	for name, e := range t.nodes {
		switch {
		case e.node.State == Suspect && now-e.since > suspectFor:
			e.node.State, e.since, e.tell = Dead, now, retell
			changed = true
			t.log.Info("member", "name", name, "state", "dead", "inc", e.node.Inc)
		case !e.node.Thought() && now-e.since > forgetAfter:
			delete(t.nodes, name)
			if _, found := (*t.acked.Load())[name]; found {
				next := maps.Clone(*t.acked.Load())
				delete(next, name)
				t.acked.Store(&next)
			}
			changed = true
		}
	}
	return changed
}
