package agent

import (
	"fmt"
	"testing"
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/member"
	"drumstall.example/internal/place/report/relay"
)

var self = member.Node{Name: "agent", Role: member.RoleAgent, Zone: "z1"}

// fleet is three cores, one of them in the agent's zone, among so many nodes.
func fleet(size int) []member.Node {
	nodes := []member.Node{
		{Name: "core-1", Role: member.RoleCore, Zone: "z1", Addr: "1"},
		{Name: "core-2", Role: member.RoleCore, Zone: "z2", Addr: "2"},
		{Name: "core-3", Role: member.RoleCore, Zone: "z3", Addr: "3"},
	}
	for i := len(nodes); i < size; i++ {
		nodes = append(nodes, member.Node{Name: fmt.Sprint("agent-", i), Role: member.RoleAgent, Zone: "z1"})
	}
	return nodes
}

func names(nodes []member.Node) string {
	out := ""
	for _, n := range nodes {
		out += n.Name[len("core-"):]
	}
	return out
}

// In a small fleet every core is told at once; in a large one a core of the own zone passes
// reports on, another while that one is not alive or has not answered.
func TestRelayCoreSelection(t *testing.T) {
	var r relayState
	if got := r.choose(self, fleet(gossip.MaxDirectPeers), 0); got != "" {
		t.Errorf("%q in a small fleet", got)
	}
	large := fleet(gossip.MaxDirectPeers + 1)
	if got := r.choose(self, large, 0); got != "core-1" {
		t.Errorf("%q, want the one of the own zone", got)
	}
	r.avoid("core-1", time.Second)
	second := r.choose(self, large, time.Second)
	if second != "core-2" && second != "core-3" {
		t.Errorf("%q while core-1 does not answer", second)
	}
	if got := r.choose(self, large, time.Second+avoidDuration); got != "core-1" {
		t.Errorf("%q when core-1 may be asked again", got)
	}
	large[0].State = member.Suspect
	if got := r.choose(self, large, time.Second+avoidDuration); got != second {
		t.Errorf("%q while core-1 is suspected", got)
	}
	for i := range 3 {
		large[i].State = member.Dead
	}
	if got := r.choose(self, large, 0); got != "" {
		t.Errorf("%q of none", got)
	}
}

// Only cores that are vouched for are not told from here, and only by the core that passes on now.
func TestUncoveredCoresGetDirectReports(t *testing.T) {
	large := fleet(gossip.MaxDirectPeers + 1)
	cores := large[:3]
	var r relayState
	check := func(when, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %q are told, want %q", when, got, want)
		}
	}
	first, others := r.split(cores, "")
	check("in a small fleet", names(first)+"|"+names(others), "123|")
	now := time.Second
	core := r.choose(self, large, now)
	first, others = r.split(cores, core)
	check("at first", names(first)+"|"+names(others), "1|23")
	check("before the core can have vouched", names(r.uncovered(others, now+relayGrace-1)), "")
	now += relayGrace
	check("when none is vouched for", names(r.uncovered(others, now)), "23")
	r.covered = []uint32{relay.CoreKey("core-2"), relay.CoreKey("core-3")}
	check("when all are", names(r.uncovered(others, now+directInterval)), "")
	r.covered = r.covered[:1]
	check("when core-3 is not, a moment later", names(r.uncovered(others, now+directInterval-1)), "")
	check("and when it is due", names(r.uncovered(others, now+directInterval)), "3")
	now += 2 * directInterval
	r.avoid(core, now)
	check("when the core did not answer", names(r.due(others, now)), "23")
	check("when the next does not either", names(r.due(cores, now+directInterval/2)), "1")
	now += directInterval
	r.markBusy("core-2", now)
	check("when core-2 has no time to spare", names(r.due(others, now)), "3")
}

// A core that answers slowly is given longer before another is asked in its place, up to a limit.
func TestRelayTimeoutFollowsLatency(t *testing.T) {
	var r relayState
	check := func(when string, want time.Duration) {
		t.Helper()
		if got := r.timeout(); got != want {
			t.Errorf("%s: %v, not %v", when, got, want)
		}
	}
	check("at first", relayMinTimeout)
	r.recordLatency(5 * time.Millisecond)
	check("when it is quick", relayMinTimeout)
	r.avoid("core-1", 0)
	check("after one that did not answer", 2*relayMinTimeout)
	r.avoid("core-2", 0)
	check("after two", callTimeout)
	for range 20 {
		r.recordLatency(5 * time.Millisecond)
	}
	check("when they are quick again", relayMinTimeout)
	for range 20 {
		r.recordLatency(150 * time.Millisecond)
	}
	if got := r.timeout(); got < 590*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("while answers take 150 ms: %v", got)
	}
}
