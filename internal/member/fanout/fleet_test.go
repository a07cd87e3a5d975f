package fanout

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/member"
	"drumstall.example/internal/sim/simnet"
	"drumstall.example/internal/sim/simnode"
	"drumstall.example/internal/state"
)

const (
	coreCount  = 6
	agentCount = 64
	zoneCount  = 3
	gossipPort = ":7000"
)

// node is a core or an agent without anything but members and gossip.
type node struct {
	*simnode.Node
	name  string
	ip    string
	role  string
	table *gossip.Table
}

// simulated is a fleet of such nodes on a simulated network.
type testFleet struct {
	t       *testing.T
	fabric  *simnet.Fabric
	group   *run.Group
	nodes   []*node
	version uint64
}

func start(t *testing.T) *testFleet {
	s := &testFleet{t: t, group: run.NewGroup(t.Context()), fabric: simnet.New(1, func(string, string) time.Duration { return time.Millisecond })}
	seeds := []string{"10.0.0.1" + gossipPort, "10.0.0.2" + gossipPort, "10.0.0.3" + gossipPort}
	for i := range coreCount {
		s.startNode(fmt.Sprintf("core-%d", i), fmt.Sprintf("10.0.0.%d", i+1), member.RoleCore, i, seeds)
	}
	for i := range agentCount {
		s.startNode(fmt.Sprintf("agent-%d", i), fmt.Sprintf("10.0.1.%d", i+1), member.RoleAgent, i, seeds)
	}
	return s
}

func (s *testFleet) startNode(name, ip, role string, number int, seeds []string) {
	addr := ip + gossipPort
	self := member.Node{Name: name, Role: role, Zone: fmt.Sprintf("zone-%d", number%zoneCount), Addr: addr, Boot: name, Inc: 1}
	on, err := simnode.New(s.group, s.fabric.Host(ip), self, seeds)
	if err != nil {
		s.t.Fatal(err)
	}
	n := &node{Node: on, name: name, ip: ip, role: role, table: gossip.NewTable()}
	tree := func() gossip.Tree {
		return View{Self: n.Members.Self(), Nodes: n.Members.Nodes(), SinceLastAck: n.Members.SinceLastAck}.Tree()
	}
	gossip.NewDisseminator(n.Group, n.table, n.Log, n.Post, n.Caller, n.Mux, func() string { return addr }, n.Members.Peers, tree, n.Touch)
	n.Serve()
	s.nodes = append(s.nodes, n)
}

func (s *testFleet) stop() {
	for _, n := range s.nodes {
		n.Stop()
	}
	s.group.Stop()
}

// kill ends a node without a word.
func (s *testFleet) kill(name string) {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })
	s.nodes[i].Stop()
	s.nodes = slices.Delete(s.nodes, i, i+1)
}

// sent counts the datagrams of all nodes.
func (s *testFleet) sent() (count int64) {
	for _, n := range s.nodes {
		count += n.Post.Sent()
	}
	return count
}

// put enters something new at a node.
func (s *testFleet) put(at string) gossip.Entry {
	s.version++
	e := gossip.Entry{Key: fmt.Sprintf("replica/r-%d", s.version), Stamp: state.Stamp{Epoch: 1, Version: s.version}, Value: make([]byte, 300)}
	s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == at })].table.Put(e)
	return e
}

// lacking is the nodes that have not got an entry.
func (s *testFleet) missing(e gossip.Entry) (out []string) {
	for _, n := range s.nodes {
		if _, found := n.table.Get(e.Key); !found {
			out = append(out, n.name)
		}
	}
	return out
}

// arrives checks that an entry put at a node is everywhere within a time.
func (s *testFleet) checkDelivery(when, at string, within time.Duration) {
	s.t.Helper()
	e := s.put(at)
	time.Sleep(within)
	synctest.Wait()
	if lack := s.missing(e); len(lack) > 0 {
		s.t.Errorf("%s: %v after it was put at %s, %d nodes lack it: %v", when, within, at, len(lack), lack)
	}
}

const (
	// settled is until all nodes know one another.
	settleTime = 8 * time.Second
	// twoRounds and some time on the way is what an entry takes down the tree.
	twoRounds = 300 * time.Millisecond
	// mended is within what digests bring what the tree does not.
	repairTime = 6 * time.Second
)

func TestUpdatesPropagateAlongTheTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		defer s.stop()
		time.Sleep(settleTime)
		s.checkDelivery("at rest", "core-4", twoRounds)
		s.checkDelivery("at rest", "agent-17", twoRounds+100*time.Millisecond)
	})
}

// Each entry was once some 1000 datagrams, and a node of a fleet like this sent and took 130 a second.
func TestUpdatesTakeFewDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		defer s.stop()
		time.Sleep(settleTime)
		const span = 4 * time.Second
		before := s.sent()
		time.Sleep(span)
		atRest := s.sent() - before
		before = s.sent()
		const entries = 40
		for i := range entries {
			s.put(fmt.Sprintf("core-%d", i%coreCount))
			time.Sleep(span / entries)
		}
		each := float64(s.sent()-before-atRest) / entries
		if most := 2.5 * (coreCount + agentCount); each > most {
			t.Errorf("an entry takes %.0f datagrams, want at most %.0f", each, most)
		}
	})
}

// Every node once exchanged the whole table of members, 6 KB each way here, with another every 2 s.
func TestIdleFleetSendsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		defer s.stop()
		time.Sleep(settleTime)
		called := func() (bytes int64) {
			for _, n := range s.nodes {
				_, b := n.Caller.Sent()
				bytes += b
			}
			return bytes
		}
		const span = 10
		before := called()
		time.Sleep(span * time.Second)
		if each := float64(called()-before) / span / float64(len(s.nodes)); each > 2000 {
			t.Errorf("a node's calls take %.0f bytes a second", each)
		} else {
			t.Logf("a node's calls take %.0f bytes a second", each)
		}
	})
}

func TestAgentsReceiveUpdatesAfterACoreDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		defer s.stop()
		time.Sleep(settleTime)
		s.kill("core-1")
		s.checkDelivery("just after", "core-4", repairTime)
		s.checkDelivery("after suspicion", "core-2", twoRounds)
	})
}

func TestAgentsReceiveUpdatesWhenACoreIsPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		defer s.stop()
		time.Sleep(settleTime)
		for i := range coreCount {
			if i != 1 {
				s.fabric.Cut("10.0.0.2", fmt.Sprintf("10.0.0.%d", i+1), true)
				s.fabric.Cut(fmt.Sprintf("10.0.0.%d", i+1), "10.0.0.2", true)
			}
		}
		s.checkDelivery("just after", "core-4", repairTime)
		// Why: the core itself has no other way than digests; all others are told by the tree again.
		e := s.put("core-2")
		time.Sleep(twoRounds)
		synctest.Wait()
		if lack := s.missing(e); len(lack) > 1 || len(lack) == 1 && lack[0] != "core-1" {
			t.Errorf("%d nodes lack it: %v", len(lack), lack)
		}
	})
}
