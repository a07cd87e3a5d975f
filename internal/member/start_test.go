package member_test

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simnet"
)

// syncPath is where whole tables are exchanged.
const syncPath = "/member/sync"

// node takes part in nothing but the membership.
type node struct {
	members *member.Table
	mux     *wire.Mux
	ip      string
	stop    func()
}

// startNode starts one on a simulated network.
func startNode(t *testing.T, group *run.Group, fabric *simnet.Fabric, number int, role string, seeds []string) node {
	ip := fmt.Sprintf("10.0.%d.%d", number/200, number%200+1)
	host, addr := fabric.Host(ip), ip+":7000"
	listener, err := host.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	packets, err := host.ListenPacket(addr)
	if err != nil {
		t.Fatal(err)
	}
	n := node{mux: wire.NewMux(), ip: ip}
	clock, post, caller := simhost.NewClock(), wire.NewPost(packets), wire.NewCaller(host)
	self := member.Node{Name: fmt.Sprintf("node-%d", number), Role: role, Zone: "zone", Addr: addr, Boot: fmt.Sprintf("boot-of-node-%d", number), Inc: 1}
	n.members = member.New(group, clock, ring.New(io.Discard, 10).Logger(), post, caller, n.mux, self, seeds, touch.New(clock))
	group.Go(post.Run)
	server := wire.NewServer(listener, n.mux)
	group.Go(server.Run)
	n.stop = func() {
		post.Close()
		server.Close()
		caller.Close()
	}
	return n
}

// When a large fleet starts, all of it asks the seeds, whose links and processors are as small as any.
func TestSeedsAreNotAskedForWholeTablesWhileTheyStillAnswer(t *testing.T) {
	const (
		cores    = 3
		agents   = 117
		seedLink = 400_000 // bytes a second
		// tables is how many whole tables of the fleet a node may be told by the seeds, and tableBytes the size of one.
		tables     = 5
		tableBytes = (cores + agents) * 70
	)
	synctest.Test(t, func(t *testing.T) {
		group := run.NewGroup(t.Context())
		fabric := simnet.New(1, func(string, string) time.Duration { return time.Millisecond })
		seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
		var nodes []node
		defer func() {
			for _, n := range nodes {
				n.stop()
			}
			group.Stop()
			// Why: net/http lets dials go on that nobody waits for any more; they end within their own 2 s.
			time.Sleep(3 * time.Second)
		}()
		for i := range cores + agents {
			role := member.RoleAgent
			if i < cores {
				role = member.RoleCore
			}
			nodes = append(nodes, startNode(t, group, fabric, i, role, seeds))
			fabric.Rate(nodes[i].ip, seedLink)
		}
		time.Sleep(4 * time.Second)
		told := int64(0)
		for _, n := range nodes[:cores] {
			told += n.mux.Served()[syncPath].Out
		}
		t.Logf("%d bytes told by the seeds, %d a node", told, told/(cores+agents))
		if most := int64(cores+agents) * tables * tableBytes; told > most {
			t.Errorf("%d bytes told by the seeds, %d at most", told, most)
		}
		for _, n := range nodes {
			if live := len(n.members.Live("")); live != cores+agents {
				t.Errorf("%s knows %d of %d nodes", n.ip, live, cores+agents)
			}
		}
	})
}
