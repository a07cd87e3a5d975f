package owner

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simnet"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// cluster is a core set of three, of which the first owns all slots and the last is distant.
type cluster struct {
	group     *run.Group
	owner     *Owner
	farServer *wire.Server
	caller    *wire.Client
	servers   []*wire.Server
	acceptors []*acceptor.Acceptor
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterWithDelays(t, time.Millisecond, 30*time.Millisecond)
}

// newClusterWithDelays creates a cluster whose last member has the delay far to the others, which have the delay near.
func newClusterWithDelays(t *testing.T, near, far time.Duration) *cluster {
	t.Helper()
	const farOff = "10.0.0.3"
	fabric := simnet.New(1, func(from, to string) time.Duration {
		if from == farOff || to == farOff {
			return far
		}
		return near
	})
	v := &cluster{group: run.NewGroup(t.Context())}
	log, clk := ring.New(io.Discard, 100).Logger(), simhost.NewClock()
	set := state.CoreSet{Version: 1}
	for i := range 3 {
		host := fmt.Sprintf("10.0.0.%d", i+1)
		acc, err := acceptor.Open(v.group, "d", acceptor.FolderOwner{Fleet: "f", Node: host}, vfs.NewMem(), clk, log)
		if err != nil {
			t.Fatal(err)
		}
		ln, err := fabric.Host(host).Listen(host + ":7000")
		if err != nil {
			t.Fatal(err)
		}
		mux := wire.NewMux()
		acc.Serve(mux)
		server := wire.NewServer(ln, mux)
		v.group.Go(server.Run)
		v.servers, v.acceptors, v.farServer = append(v.servers, server), append(v.acceptors, acc), server
		set.Cores = append(set.Cores, state.Core{Name: host, DiskID: acc.DiskID(), Addr: host + ":7000"})
	}
	for _, acc := range v.acceptors {
		if _, err := acc.UpdateMembership(t.Context(), func(acceptor.Membership) (acceptor.Membership, bool) {
			return acceptor.Membership{Phase: acceptor.Voter, Set: set}, true
		}); err != nil {
			t.Fatal(err)
		}
	}
	v.caller = wire.NewClient(fabric.Host("10.0.0.1"))
	v.owner = New(Deps{
		Self: func() state.Core { return set.Cores[0] }, Group: v.group, Clock: clk, Log: log, Caller: v.caller, Acceptor: v.acceptors[0],
		Addr: func(c state.Core) (string, bool) { return c.Addr, true },
		Rank: func(int) []state.Core { return set.Cores }, OnVoterBehind: func(state.Core) {}, HandbackDelay: time.Second,
	})
	waitFor(t, 10*time.Second, func() bool { return v.owner.Holds(testKey) })
	return v
}

func (v *cluster) stop() {
	for _, s := range v.servers {
		s.Close()
	}
	v.group.Stop()
	// Dials in progress end by themselves in this time.
	time.Sleep(5 * time.Second)
	v.caller.Close()
	for _, a := range v.acceptors {
		_ = a.Close()
	}
}

func (v *cluster) write(t *testing.T, value byte) {
	t.Helper()
	if _, err := v.owner.Update(t.Context(), testKey, func(state.Record, bool) ([]byte, error) { return []byte{value}, nil }); err != nil {
		t.Fatal(err)
	}
}

// missedBy returns how many voters have not confirmed a write of the slot, as far as the owner knows.
func (v *cluster) missedBy(t *testing.T) (n int) {
	t.Helper()
	s := v.owner.slots[state.SlotOf(testKey)]
	if err := s.actor.Do(context.Background(), func() { n = len(s.missed) }); err != nil {
		t.Fatal(err)
	}
	return n
}

// A voter that confirms a write shortly after the majority does not count as having missed it, so
// its copy needs no check; a voter that does not answer does.
func TestLateReplyCountsAsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newCluster(t)
		defer v.stop()
		for i := range 20 {
			v.write(t, byte(i))
			if v.missedBy(t) != 1 {
				t.Fatalf("write %d: %d voters unconfirmed right after a majority confirmed, want 1", i, v.missedBy(t))
			}
			time.Sleep(200 * time.Millisecond)
			if n := v.missedBy(t); n != 0 {
				t.Fatalf("write %d: %d voters count as having missed it, want 0", i, n)
			}
		}
		v.farServer.Close()
		v.write(t, 100)
		v.write(t, 101)
		time.Sleep(5 * time.Second)
		if n := v.missedBy(t); n != 1 {
			t.Errorf("%d voters count as having missed a write, want 1, the stopped one", n)
		}
	})
}

// One late reply clears only one of two unconfirmed writes of a voter.
func TestLateReplyClearsOneMissedWrite(t *testing.T) {
	s := &slot{missed: map[string]map[state.Stamp]bool{}}
	first, second := state.Stamp{Epoch: 1, Version: 1}, state.Stamp{Epoch: 1, Version: 2}
	s.noteMissed("b", first)
	s.noteMissed("b", second)
	s.clearMissed("b", second)
	s.clearMissed("b", state.Stamp{Epoch: 2, Version: 1})
	if len(s.missed["b"]) != 1 {
		t.Errorf("unconfirmed writes of b: %v, want the first write", s.missed["b"])
	}
	s.clearMissed("b", first)
	if len(s.missed) != 0 {
		t.Errorf("unconfirmed writes: %v, want none", s.missed)
	}
}

// The unconfirmed writes of an absent voter take bounded memory, and late replies never
// clear a voter that exceeded the limit.
func TestMissedWritesAreBoundedUntilRepair(t *testing.T) {
	s := &slot{missed: map[string]map[state.Stamp]bool{}}
	for version := range uint64(10 * maxTrackedMisses) {
		s.noteMissed("b", state.Stamp{Epoch: 1, Version: version + 1})
	}
	if n := len(s.missed["b"]); n > maxTrackedMisses {
		t.Errorf("%d unconfirmed writes are tracked, more than the limit", n)
	}
	for version := range uint64(10 * maxTrackedMisses) {
		s.clearMissed("b", state.Stamp{Epoch: 1, Version: version + 1})
	}
	if len(s.missed["b"]) == 0 {
		t.Error("b has no unconfirmed writes left without a repair")
	}
}
