package member

import (
	"maps"
	"math/rand/v2"
	"sort"
	"time"

	"drumstall.example/internal/kernel/sample"
)

// probe is a pending probe.
type probe struct {
	name         string
	addr         string
	at           time.Duration
	indirect     bool
	requester    string // address of the peer that asked for this indirect probe; empty for this node's own probes
	requesterSeq uint64
}

// ping sends a probe to a node.
func (t *Table) ping(n Node, now time.Duration) {
	t.seq++
	t.probes[t.seq] = probe{name: n.Name, addr: n.Addr, at: now}
	t.send(n.Addr, "ping", message{Seq: t.seq, Name: n.Name})
}

// probeNext probes the next node in a shuffled order, dead nodes less often.
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

// probeCore probes the next live core in a shuffled order.
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

// randomLive returns up to n random live nodes, without the named one.
func (t *Table) randomLive(n int, exclude string) []Node {
	picked := sample.NewReservoir[Node](n)
	for _, e := range t.nodes {
		if e.node.State == Alive && e.node.Name != exclude {
			picked.Add(e.node)
		}
	}
	return picked.Picked()
}

// randomLiveOfRole returns a random live node of a role, or an empty node if there is none.
func (t *Table) randomLiveOfRole(role string) Node {
	picked := sample.NewReservoir[Node](1)
	for _, e := range t.nodes {
		if e.node.State == Alive && e.node.Role == role {
			picked.Add(e.node)
		}
	}
	for _, n := range picked.Picked() {
		return n
	}
	return Node{}
}

// ageProbes requests indirect probes where a response is late and suspects nodes whose probes have timed
// out. It reports whether the table changed.
func (t *Table) ageProbes(now time.Duration) (changed bool) {
	for seq, p := range t.probes {
		age := now - p.at
		switch {
		case p.requester != "" && age > probeTimeout:
			delete(t.probes, seq)
		case p.requester == "" && age > probeTimeout:
			delete(t.probes, seq)
			// A much longer gap means that this process was paused, not that the other node failed.
			if e := t.nodes[p.name]; e != nil && e.node.State == Alive && age < 2*probeTimeout {
				e.node.State, e.since, e.transmitsLeft = Suspect, now, updateTransmissions
				changed = true
				t.send(e.node.Addr, "ping", message{Name: e.node.Name, Nodes: []Node{e.node}})
			}
		case p.requester == "" && age > directTimeout && !p.indirect:
			p.indirect = true
			t.probes[seq] = p
			for _, helper := range t.randomLive(indirectProbers, p.name) {
				t.send(helper.Addr, "ask", message{Seq: seq, Target: p.addr, Name: p.name})
			}
		}
	}
	return changed
}

// ageNodes declares expired suspects dead and removes nodes after their retention time. It reports
// whether the table changed.
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
