package member_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/member"
	"drumstall.example/internal/sim/simnet"
	"drumstall.example/internal/sim/simnode"
)

// syncPath is the path for table synchronization.
const syncPath = "/member/sync"

// startNode starts a node on a simulated network and also returns the IP address of its machine.
func startNode(t *testing.T, group *run.Group, fabric *simnet.Fabric, number int, role string, seeds []string) (*simnode.Node, string) {
	ip := fmt.Sprintf("10.0.%d.%d", number/200, number%200+1)
	self := member.Node{Name: fmt.Sprintf("node-%d", number), Role: role, Zone: "zone", Addr: ip + ":7000", Boot: fmt.Sprintf("boot-of-node-%d", number), Inc: 1}
	n, err := simnode.New(group, fabric.Host(ip), self, seeds)
	if err != nil {
		t.Fatal(err)
	}
	n.Serve()
	return n, ip
}

// When a large fleet starts, all nodes synchronize with the seeds, whose links and processors are no larger than those
// of other nodes. Guards against repeated requests to a seed that is still responding.
func TestSeedsAreNotAskedAgainBeforeTheyAnswer(t *testing.T) {
	const (
		cores    = 3
		agents   = 117
		seedLink = 400_000 // bytes a second
		// tables is how many whole tables the seeds may send per node, and tableBytes the size of one.
		tables     = 5
		tableBytes = (cores + agents) * 70
	)
	synctest.Test(t, func(t *testing.T) {
		group := run.NewGroup(t.Context())
		fabric := simnet.New(1, func(string, string) time.Duration { return time.Millisecond })
		seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
		var nodes []*simnode.Node
		defer func() {
			for _, n := range nodes {
				n.Stop()
			}
			group.Stop()
			// net/http continues dials after their requests have been canceled; they end within their own 2 s limit.
			time.Sleep(3 * time.Second)
		}()
		for i := range cores + agents {
			role := member.RoleAgent
			if i < cores {
				role = member.RoleCore
			}
			n, ip := startNode(t, group, fabric, i, role, seeds)
			nodes = append(nodes, n)
			fabric.Rate(ip, seedLink)
		}
		time.Sleep(4 * time.Second)
		sent := int64(0)
		for _, n := range nodes[:cores] {
			sent += n.Mux.Stats()[syncPath].Out
		}
		t.Logf("%d bytes sent by the seeds, %d per node", sent, sent/(cores+agents))
		if most := int64(cores+agents) * tables * tableBytes; sent > most {
			t.Errorf("%d bytes sent by the seeds, want at most %d", sent, most)
		}
		for _, n := range nodes {
			if live := len(n.Members.Live("")); live != cores+agents {
				t.Errorf("%s knows %d of %d nodes", n.Members.Self().Name, live, cores+agents)
			}
		}
	})
}
