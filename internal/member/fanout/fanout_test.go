package fanout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"drumstall.example/internal/member"
)

// fleet returns cores and agents, assigned to zones in turn.
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

// sendersPerAgent returns, by agent address, the number of given cores that send to the agent.
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
			t.Errorf("%s is assigned to %d cores, want 1", n.Name, got[n.Addr])
		}
	}
	for i := range 6 {
		tree := View{Self: nodes[i], Nodes: nodes, SinceLastAck: ackAges(nil)}.Tree()
		if len(tree.Cores) != 5 || !tree.IsCore || len(tree.Agents) < 4 {
			t.Errorf("%s sends to %d cores and %d agents", nodes[i].Name, len(tree.Cores), len(tree.Agents))
		}
		for _, n := range nodes[6:] {
			if slices.Contains(tree.Agents, n.Addr) && n.Zone != nodes[i].Zone {
				t.Errorf("%s in %s is assigned to %s in %s", n.Name, n.Zone, nodes[i].Name, nodes[i].Zone)
			}
		}
	}
}

func TestAgentsInAZoneWithoutCoresAreCovered(t *testing.T) {
	nodes := fleet(5, 3, 40)
	for addr, n := range sendersPerAgent(nodes, ackAges(nil), 0, 1, 2) {
		if n != 1 {
			t.Errorf("%s is assigned to %d cores, want 1", addr, n)
		}
	}
	if got := sendersPerAgent(nodes, ackAges(nil), 0, 1, 2); len(got) != 40 {
		t.Errorf("%d of 40 agents are assigned", len(got))
	}
}

func TestAgentsOfADepartedCoreAreReassigned(t *testing.T) {
	for _, state := range []member.State{member.Suspect, member.Dead, member.Left} {
		nodes := fleet(3, 6, 64)
		nodes[2].State = state
		if got := sendersPerAgent(nodes, ackAges(nil), 0, 1, 3, 4, 5); len(got) != 64 {
			t.Errorf("%v: %d of 64 agents are assigned", state, len(got))
		}
	}
}

// A core that the agents can reach but the other cores cannot appears alive to all nodes.
func TestAgentsOfAPartitionedCoreAreReassigned(t *testing.T) {
	nodes := fleet(3, 6, 64)
	cut := ackAges(map[string]time.Duration{nodes[2].Name: AckedWithin})
	if got := sendersPerAgent(nodes, cut, 0, 1, 3, 4, 5); len(got) != 64 {
		t.Errorf("%d of 64 agents are assigned to the other cores", len(got))
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
