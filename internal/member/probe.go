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
	name         string
	addr         string
	at           time.Duration
	indirect     bool
	requester    string // the probe is a second opinion for this peer
	requesterSeq uint64
}

// ping probes a node.
func (t *Table) ping(n Node, now time.Duration) {
	t.seq++
	t.probes[t.seq] = probe{name: n.Name, addr: n.Addr, at: now}
	t.send(n.Addr, "ping", message{Seq: t.seq, Name: n.Name})
}

// probeNext probes the nodes in a shuffled turn, the dead more seldom.
func (t *Table) probeNext(now time.Duration) {
	for range 2 {
		if len(t.probeOrder) == 0 {
			for name := range t.nodes {
				t.probeOrder = append(t.probeOrder, name)
			}
			sort.Strings(t.probeOrder)
			rand.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
		}
		if len(t.probeOrder) == 0 {
			return
		}
		name := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
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
	if len(t.coreProbeOrder) == 0 {
		for name, e := range t.nodes {
			if e.node.Role == RoleCore && e.node.State == Alive {
				t.coreProbeOrder = append(t.coreProbeOrder, name)
			}
		}
		rand.Shuffle(len(t.coreProbeOrder), func(i, j int) { t.coreProbeOrder[i], t.coreProbeOrder[j] = t.coreProbeOrder[j], t.coreProbeOrder[i] })
	}
	if len(t.coreProbeOrder) == 0 {
		return
	}
	name := t.coreProbeOrder[0]
	t.coreProbeOrder = t.coreProbeOrder[1:]
	if e := t.nodes[name]; e != nil && e.node.State == Alive {
		t.ping(e.node, now)
	}
}

// some picks up to n live nodes by chance, without the one of a name.
func (t *Table) randomLive(n int, not string) []Node {
	picked := sample.NewReservoir[Node](n)
	for _, e := range t.nodes {
		if e.node.State == Alive && e.node.Name != not {
			picked.Show(e.node)
		}
	}
	return picked.Picked()
}

// someOf picks a live node of a role by chance; no name means that there is none.
func (t *Table) randomLiveOfRole(role string) Node {
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
		case p.requester != "" && age > probeTimeout:
			delete(t.probes, seq)
		case p.requester == "" && age > probeTimeout:
			delete(t.probes, seq)
			// Why: a long gap means that we slept, not that the other did.
			if e := t.nodes[p.name]; e != nil && e.node.State == Alive && age < 2*probeTimeout {
				e.node.State, e.since, e.transmitsLeft = Suspect, now, updateTransmissions
				changed = true
				t.send(e.node.Addr, "ping", message{Name: e.node.Name, Nodes: []Node{e.node}})
			}
		case p.requester == "" && age > directTimeout && !p.indirect:
			p.indirect = true
			t.probes[seq] = p
			for _, h := range t.randomLive(indirectProbers, p.name) {
				t.send(h.Addr, "ask", message{Seq: seq, Target: p.addr, Name: p.name})
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
		case e.node.State == Suspect && now-e.since > suspectTimeout:
			e.node.State, e.since, e.transmitsLeft = Dead, now, updateTransmissions
			changed = true
			t.log.Info("member", "name", name, "state", "dead", "inc", e.node.Inc)
		case !e.node.PresumedAlive() && now-e.since > retention:
			delete(t.nodes, name)
			if _, found := (*t.lastAcked.Load())[name]; found {
				next := maps.Clone(*t.lastAcked.Load())
				delete(next, name)
				t.lastAcked.Store(&next)
			}
			changed = true
		}
	}
	return changed
}
