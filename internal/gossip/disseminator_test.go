package gossip

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/sim/simnet"
)

// testPeers are the peers of one node; they count the entries received by key.
type testPeers struct {
	sender   *Disseminator
	addrs    []string
	mu       sync.Mutex
	received map[string]int
}

func listenPacket(t *testing.T, host *simnet.Host, addr string) net.PacketConn {
	pc, err := host.ListenPacket(addr)
	if err != nil {
		t.Fatal(err)
	}
	return pc
}

// runWithPeers runs f in a fleet of a node and some peers.
func runWithPeers(t *testing.T, peers int, f func(l *testPeers)) {
	synctest.Test(t, func(t *testing.T) {
		g := run.NewGroup(t.Context())
		fab := simnet.New(1, func(string, string) time.Duration { return time.Millisecond })
		l := &testPeers{received: map[string]int{}}
		posts := []*wire.DatagramSocket{wire.NewDatagramSocket(listenPacket(t, fab.Host("10.0.0.1"), "10.0.0.1:90"))}
		for i := range peers {
			ip := fmt.Sprintf("10.0.1.%d", i+1)
			p := wire.NewDatagramSocket(listenPacket(t, fab.Host(ip), ip+":90"))
			p.Handle("news", l.receive)
			g.Go(func(ctx context.Context) { p.Run(ctx) })
			posts, l.addrs = append(posts, p), append(l.addrs, ip+":90")
		}
		l.sender = &Disseminator{table: NewTable(), post: posts[0], self: func() string { return "10.0.0.1:90" }, peers: func() []string { return l.addrs }}
		l.sender.propagate(false)
		f(l)
		for _, p := range posts {
			p.Close()
		}
		g.Stop()
	})
}

func (l *testPeers) receive(body []byte) {
	var b bundle
	if wire.Unmarshal(body, &b) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range b.Entries {
		l.received[e.Key]++
	}
}

// propagate propagates pending entries and returns how many peers received a key.
func (l *testPeers) propagate(atOnce bool, key string) int {
	l.sender.propagate(atOnce)
	time.Sleep(10 * time.Millisecond) // virtual time: until the datagrams have arrived
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.received[key]
	l.received = map[string]int{}
	return n
}

func wantReceived(t *testing.T, when string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %d peers received the entry, want %d", when, got, want)
	}
}

func TestLocalEntrySentToAllAtOnceAndNextRound(t *testing.T) {
	for _, peers := range []int{1, 5, MaxDirectPeers} {
		runWithPeers(t, peers, func(l *testPeers) {
			l.sender.table.Put(entry("own", 1, 1))
			wantReceived(t, "at once", l.propagate(true, "own"), peers)
			wantReceived(t, "at once again", l.propagate(true, "own"), 0)
			wantReceived(t, "at the round", l.propagate(false, "own"), peers)
			wantReceived(t, "at the round after", l.propagate(false, "own"), 0)
			wantReceived(t, "at once after", l.propagate(true, "own"), 0)
		})
	}
}

func TestRoundBeforeNudgeCounts(t *testing.T) {
	runWithPeers(t, 5, func(l *testPeers) {
		l.sender.table.Put(entry("own", 1, 1))
		wantReceived(t, "at the first round", l.propagate(false, "own"), 5)
		wantReceived(t, "at once", l.propagate(true, "own"), 0)
		wantReceived(t, "at the second round", l.propagate(false, "own"), 5)
		wantReceived(t, "at the third round", l.propagate(false, "own"), 0)
	})
}

func TestRemoteEntryForwardedOnce(t *testing.T) {
	runWithPeers(t, 5, func(l *testPeers) {
		l.sender.table.PutRemote(entry("told", 1, 1))
		wantReceived(t, "at once", l.propagate(true, "told"), 0)
		wantReceived(t, "at the round", l.propagate(false, "told"), fanout)
		wantReceived(t, "at the round after", l.propagate(false, "told"), 0)
		if l.sender.table.PutRemote(entry("told", 1, 1)); len(l.sender.table.pending) != 0 {
			t.Error("an entry received again is pending again")
		}
	})
}

func TestNewerEntryIsSentAgain(t *testing.T) {
	runWithPeers(t, 5, func(l *testPeers) {
		l.sender.table.Put(entry("own", 1, 1))
		wantReceived(t, "the first", l.propagate(true, "own"), 5)
		l.sender.table.Put(entry("own", 1, 2))
		wantReceived(t, "the second", l.propagate(true, "own"), 5)
		wantReceived(t, "at the round", l.propagate(false, "own"), 5)
		wantReceived(t, "at the round after", l.propagate(false, "own"), 0)
	})
}

func TestLargeFleetGossipsToFanout(t *testing.T) {
	runWithPeers(t, MaxDirectPeers+1, func(l *testPeers) {
		l.sender.table.Put(entry("own", 1, 1))
		l.sender.table.PutRemote(entry("told", 1, 1))
		wantReceived(t, "at once", l.propagate(true, "own"), 0)
		for range gossipRepeats {
			wantReceived(t, "at a round", l.propagate(false, "own"), fanout)
		}
		wantReceived(t, "after all rounds", l.propagate(false, "told"), 0)
	})
}

func TestEntryStaysPendingWithoutPeers(t *testing.T) {
	runWithPeers(t, 0, func(l *testPeers) {
		l.sender.table.Put(entry("own", 1, 1))
		l.sender.propagate(true)
		l.sender.propagate(false)
		if len(l.sender.table.pending) != 1 {
			t.Error("an entry that was sent to no peer is no longer pending")
		}
	})
}

func TestLargeValueIsOmittedFromDatagram(t *testing.T) {
	s := &Disseminator{table: NewTable()}
	small, large := entry("small", 1, 1), entry("large", 1, 1)
	small.Value, large.Value = make([]byte, maxInlineBytes), make([]byte, maxInlineBytes+1)
	s.table.Put(small)
	s.table.Put(large)
	out := s.takeDue(func(*record) bool { return true })
	slices.SortFunc(out, func(a, b Entry) int { return len(a.Value) - len(b.Value) })
	if len(out) != 2 || !out[0].ValueOmitted || len(out[0].Value) != 0 || out[1].ValueOmitted || len(out[1].Value) != maxInlineBytes {
		t.Errorf("got %d entries", len(out))
	}
	if e, found := s.table.Get("large"); !found || e.ValueOmitted || len(e.Value) != maxInlineBytes+1 {
		t.Error("the table lost the value")
	}
}
