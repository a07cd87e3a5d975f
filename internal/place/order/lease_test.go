package order

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simnet"
	"drumstall.example/internal/stand"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
	"drumstall.example/internal/state/owner"
)

// recordingNet is a network that records when each order is sent.
type recordingNet struct {
	wire.Network
	mu     sync.Mutex
	sentAt []time.Time
}

// recordingConn is a connection of a recordingNet.
type recordingConn struct {
	net.Conn
	net *recordingNet
}

func (n *recordingNet) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return recordingConn{c, n}, nil
}

func (c recordingConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("POST /orders")) {
		c.net.mu.Lock()
		c.net.sentAt = append(c.net.sentAt, time.Now())
		c.net.mu.Unlock()
	}
	return c.Conn.Write(b)
}

// A lease expires while the controller waits for the answers of a distant replica and a distant rate limiter.
// The order that it was going to send must not be sent any more.
func TestNoOrderIsSentAfterLeaseExpires(t *testing.T) {
	orders := 0
	for try := range 40 {
		// A synctest bubble that fails ends the test that it runs in, so each try is a subtest.
		t.Run(fmt.Sprint("try=", try), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fabric := simnet.New(uint64(try), func(string, string) time.Duration { return 60 * time.Millisecond })
				g, held := run.NewGroup(t.Context()), run.NewGroup(t.Context())
				clk, log := simhost.NewClock(), ring.New(io.Discard, 100).Logger()
				rec := stand.NewRecord(time.Now(), nil)
				replica, err := stand.StartReplica(stand.ReplicaSettings{ID: "r", Addr: "10.0.0.2:9000", Model: true, CapacityMib: 100_000, Slots: 4, LoadMibPerS: 10_000}, fabric.Host("10.0.0.2"), rec)
				if err != nil {
					t.Fatal(err)
				}
				out := &recordingNet{Network: fabric.Host("10.0.0.1")}
				acc, err := acceptor.Open(g, "d", acceptor.FolderOwner{Node: "a"}, vfs.NewMem(), clk, log)
				if err != nil {
					t.Fatal(err)
				}
				self := state.Core{Name: "a", DiskID: acc.DiskID(), Addr: "10.0.0.1:7000"}
				if _, err := acc.UpdateMembership(t.Context(), func(acceptor.Membership) (acceptor.Membership, bool) {
					return acceptor.Membership{Phase: acceptor.Voter, Set: state.CoreSet{Version: 1, Cores: []state.Core{self}}}, true
				}); err != nil {
					t.Fatal(err)
				}
				own := owner.New(owner.Deps{Self: func() state.Core { return self }, Group: held, Clock: clk, Log: log, Caller: wire.NewClient(out), Acceptor: acc,
					Addr: func(state.Core) (string, bool) { return "", false }, Rank: func(int) []state.Core { return []state.Core{self} }, OnVoterBehind: func(state.Core) {}})
				cfg := conf.Empty()
				cfg.Models = map[string]conf.Model{}
				for i := range 12 {
					cfg.Models[fmt.Sprint("m", i)] = conf.Model{SizeMib: 1000, ExpectedLoadTime: 100 * time.Millisecond, ExpectedServeTime: time.Second}
				}
				conn := backend.NewNative(out)
				ctl := NewController(g, Deps{Clock: clk, Log: log, Self: "a", Boot: "b", Cadence: bounds.DefaultCadence(), Replicas: conn, Owner: own, Gossip: gossip.NewTable(), Reports: report.NewTable(),
					Conf: func() conf.Effective { return cfg }, PredictedRequests: func(string) float64 { return 0 }, Statuses: func() Statuses { return Statuses{} },
					LiveAgents: func() map[string]bool { return nil }, PlatformAge: func() time.Duration { return 0 }, ReportOutstanding: func(context.Context, string) {},
					Grant: func(context.Context, GrantRequest) (time.Duration, bool) {
						time.Sleep(200 * time.Millisecond) // the rate limiter is distant
						return 0, true
					}}, inventory.Listed{ID: "r", Addr: "10.0.0.2:9000", Model: true})
				for accepted := 0; accepted < bounds.DefaultCadence().MaxLoads; {
					time.Sleep(50 * time.Millisecond)
					for i := range 12 {
						if a, err := ctl.Consider(t.Context(), ConsiderRequest{Replica: "r", Item: fmt.Sprint("m", i), SkipTest: true}); err == nil && a.Accepted {
							accepted++
						}
					}
				}
				time.Sleep(time.Duration(100+37*try) * time.Millisecond)
				// From here on nothing renews the lease, and the controller continues with its tasks.
				held.Freeze()
				_, left, _ := own.MayOrder(Key("r"))
				expiry := time.Now().Add(left)
				time.Sleep(8 * time.Second)
				out.mu.Lock()
				for _, at := range out.sentAt {
					orders++
					if at.After(expiry) {
						t.Errorf("try %d: an order was sent %v after the lease expired", try, at.Sub(expiry))
					}
				}
				out.mu.Unlock()
				held.Stop()
				replica.Crash()
				g.Stop()
				conn.Close()
				_ = acc.Close()
				time.Sleep(3 * time.Second)
			})
		})
	}
	if orders < 40 {
		t.Errorf("only %d orders were sent, want at least 40 for a meaningful test", orders)
	}
}
