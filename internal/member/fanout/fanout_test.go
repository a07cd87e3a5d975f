package fanout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"drumstall.example/internal/member"
)

// fleet is cores and agents, spread over zones in turn.
func fleet(zones, cores, agents int) []member.Node {
	var out []member.Node
	add := func(role string, count int) {
		for i := range count {
			name := fmt.Sprintf("%s-%d", role, i)
			out = append(out, member.Node{Name: name, Role: role, Zone: fmt.Sprintf("zone-%d", i%zones), Addr: "at-" + name})
		}
	}
	add(member.RoleCore, cores)
	add(member.RoleAgent, agents)
	return out
}

func ackAges(ages map[string]time.Duration) func(string) time.Duration {
	return func(core string) time.Duration { return ages[core] }
}

// told counts by how many cores each agent is told.
func sendersPerAgent(nodes []member.Node, heardFor func(string) time.Duration, cores ...int) map[string]int {
	out := map[string]int{}
	for _, i := range cores {
		for _, addr := range (View{Self: nodes[i], Nodes: nodes, SinceLastAck: heardFor}).Tree().Agents {
			out[addr]++
		}
	}
	return out
}

func TestEachAgentHasOneSendingCoreInItsZone(t *testing.T) {
	nodes := fleet(3, 6, 64)
	got := sendersPerAgent(nodes, ackAges(nil), 0, 1, 2, 3, 4, 5)
	for _, n := range nodes[6:] {
		if got[n.Addr] != 1 {
			t.Errorf("%s is told by %d cores", n.Name, got[n.Addr])
		}
	}
	for i := range 6 {
		tree := View{Self: nodes[i], Nodes: nodes, SinceLastAck: ackAges(nil)}.Tree()
		if len(tree.Cores) != 5 || !tree.IsCore || len(tree.Agents) < 4 {
			t.Errorf("%s tells %d cores and %d agents", nodes[i].Name, len(tree.Cores), len(tree.Agents))
		}
		for _, n := range nodes[6:] {
			if slices.Contains(tree.Agents, n.Addr) && n.Zone != nodes[i].Zone {
				t.Errorf("%s of %s is told by %s of %s", n.Name, n.Zone, nodes[i].Name, nodes[i].Zone)
			}
		}
	}
}

func TestAgentsInAZoneWithoutCoresAreCovered(t *testing.T) {
	nodes := fleet(5, 3, 40)
	for addr, n := range sendersPerAgent(nodes, ackAges(nil), 0, 1, 2) {
		if n != 1 {
			t.Errorf("%s is told by %d cores", addr, n)
		}
	}
	if got := sendersPerAgent(nodes, ackAges(nil), 0, 1, 2); len(got) != 40 {
		t.Errorf("%d agents of 40 are told", len(got))
	}
}

func TestAgentsOfADepartedCoreAreReassigned(t *testing.T) {
	for _, state := range []member.State{member.Suspect, member.Dead, member.Left} {
		nodes := fleet(3, 6, 64)
		nodes[2].State = state
		if got := sendersPerAgent(nodes, ackAges(nil), 0, 1, 3, 4, 5); len(got) != 64 {
			t.Errorf("%v: %d agents of 64 are told", state, len(got))
		}
	}
}

// A core that the other cores cannot reach, and the agents can, is alive to all.
func TestAgentsOfAPartitionedCoreAreReassigned(t *testing.T) {
	nodes := fleet(3, 6, 64)
	cut := ackAges(map[string]time.Duration{nodes[2].Name: AckedWithin})
	if got := sendersPerAgent(nodes, cut, 0, 1, 3, 4, 5); len(got) != 64 {
		t.Errorf("%d agents of 64 are told by the others", len(got))
	}
}

func TestAgentForwardsToLiveNeighboursInItsZone(t *testing.T) {
	nodes := fleet(3, 6, 64)
	nodes[9].State = member.Suspect
	tree := View{Self: nodes[6], Nodes: nodes}.Tree()
	if tree.IsCore || len(tree.Cores) != 6 || len(tree.Agents) != 0 {
		t.Errorf("an agent's tree: %+v", tree)
	}
	want := 0
	for _, n := range nodes[7:] {
		if n.Zone == nodes[6].Zone && n.State == member.Alive {
			want++
		}
	}
	if len(tree.Neighbours) != want || slices.Contains(tree.Neighbours, nodes[9].Addr) {
		t.Errorf("%d neighbours, want %d", len(tree.Neighbours), want)
	}
}
