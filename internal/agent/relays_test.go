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
func TestWhichCorePassesReportsOn(t *testing.T) {
	var r relays
	if got := r.choose(self, fleet(gossip.AllTold), 0); got != "" {
		t.Errorf("%q in a small fleet", got)
	}
	large := fleet(gossip.AllTold + 1)
	if got := r.choose(self, large, 0); got != "core-1" {
		t.Errorf("%q, want the one of the own zone", got)
	}
	r.avoid("core-1", time.Second)
	second := r.choose(self, large, time.Second)
	if second != "core-2" && second != "core-3" {
		t.Errorf("%q while core-1 does not answer", second)
	}
	if got := r.choose(self, large, time.Second+avoidedFor); got != "core-1" {
		t.Errorf("%q when core-1 may be asked again", got)
	}
	large[0].State = member.Suspect
	if got := r.choose(self, large, time.Second+avoidedFor); got != second {
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
func TestCoresThatNobodyVouchesForAreTold(t *testing.T) {
	large := fleet(gossip.AllTold + 1)
	cores := large[:3]
	var r relays
	check := func(when, core, wantFirst, wantOthers string) {
		t.Helper()
		if first, others := r.split(cores, core); names(first) != wantFirst || names(others) != wantOthers {
			t.Errorf("%s: %s are told first, %s left", when, names(first), names(others))
		}
	}
	check("in a small fleet", "", "123", "")
	core := r.choose(self, large, 0)
	check("at first", core, "123", "")
	r.vouched = []uint32{relay.Key("core-2"), relay.Key("core-3")}
	check("when all are vouched for", core, "1", "23")
	r.vouched = r.vouched[:1]
	check("when core-3 is not", core, "13", "2")
	if got := names(r.unvouched(cores[1:])); got != "3" {
		t.Errorf("%s are told after", got)
	}
	r.avoid(core, 0)
	check("when the core did not answer", r.choose(self, large, 0), "123", "")
}
