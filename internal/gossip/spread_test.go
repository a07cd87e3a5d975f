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

// listeners are the peers of one node; they count the keys that reach them.
type listeners struct {
	s     *Spreader
	addrs []string
	mu    sync.Mutex
	got   map[string]int
}

func listen(t *testing.T, host *simnet.Host, addr string) net.PacketConn {
	pc, err := host.ListenPacket(addr)
	if err != nil {
		t.Fatal(err)
	}
	return pc
}

// among runs f in a fleet of a node and some peers.
func among(t *testing.T, peers int, f func(l *listeners)) {
	synctest.Test(t, func(t *testing.T) {
		g := run.NewGroup(t.Context())
		fab := simnet.New(1, func(string, string) time.Duration { return time.Millisecond })
		l := &listeners{got: map[string]int{}}
		posts := []*wire.DatagramSocket{wire.NewDatagramSocket(listen(t, fab.Host("10.0.0.1"), "10.0.0.1:90"))}
		for i := range peers {
			ip := fmt.Sprintf("10.0.1.%d", i+1)
			p := wire.NewDatagramSocket(listen(t, fab.Host(ip), ip+":90"))
			p.Handle("news", l.take)
			g.Go(func(ctx context.Context) { p.Run(ctx) })
			posts, l.addrs = append(posts, p), append(l.addrs, ip+":90")
		}
		l.s = &Spreader{t: NewTable(), post: posts[0], self: func() string { return "10.0.0.1:90" }, peers: func() []string { return l.addrs }}
		l.s.passOn(false)
		f(l)
		for _, p := range posts {
			p.Close()
		}
		g.Stop()
	})
}

func (l *listeners) take(body []byte) {
	var b bundle
	if wire.Unmarshal(body, &b) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range b.Entries {
		l.got[e.Key]++
	}
}

// pass passes news on and tells how many peers heard of a key by it.
func (l *listeners) pass(atOnce bool, key string) int {
	l.s.passOn(atOnce)
	time.Sleep(10 * time.Millisecond) // in the bubble: until the datagrams have come
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.got[key]
	l.got = map[string]int{}
	return n
}

func wantHeard(t *testing.T, when string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %d peers heard, want %d", when, got, want)
	}
}

func TestAnOwnEntryGoesToAllAtOnceAndAtTheNextRound(t *testing.T) {
	for _, peers := range []int{1, 5, AllTold} {
		among(t, peers, func(l *listeners) {
			l.s.t.Put(entry("own", 1, 1))
			wantHeard(t, "at once", l.pass(true, "own"), peers)
			wantHeard(t, "at once again", l.pass(true, "own"), 0)
			wantHeard(t, "at the round", l.pass(false, "own"), peers)
			wantHeard(t, "at the round after", l.pass(false, "own"), 0)
			wantHeard(t, "at once after", l.pass(true, "own"), 0)
		})
	}
}

func TestARoundBeforeTheNudgeCountsToo(t *testing.T) {
	among(t, 5, func(l *listeners) {
		l.s.t.Put(entry("own", 1, 1))
		wantHeard(t, "at the first round", l.pass(false, "own"), 5)
		wantHeard(t, "at once", l.pass(true, "own"), 0)
		wantHeard(t, "at the second round", l.pass(false, "own"), 5)
		wantHeard(t, "at the third round", l.pass(false, "own"), 0)
	})
}

func TestAToldEntryIsPassedOnOnce(t *testing.T) {
	among(t, 5, func(l *listeners) {
		l.s.t.Learn(entry("told", 1, 1))
		wantHeard(t, "at once", l.pass(true, "told"), 0)
		wantHeard(t, "at the round", l.pass(false, "told"), fanout)
		wantHeard(t, "at the round after", l.pass(false, "told"), 0)
		if l.s.t.Learn(entry("told", 1, 1)); len(l.s.t.hot) != 0 {
			t.Error("told again it is passed on again")
		}
	})
}

func TestANewerEntryIsToldAnew(t *testing.T) {
	among(t, 5, func(l *listeners) {
		l.s.t.Put(entry("own", 1, 1))
		wantHeard(t, "the first", l.pass(true, "own"), 5)
		l.s.t.Put(entry("own", 1, 2))
		wantHeard(t, "the second", l.pass(true, "own"), 5)
		wantHeard(t, "at the round", l.pass(false, "own"), 5)
		wantHeard(t, "at the round after", l.pass(false, "own"), 0)
	})
}

func TestInALargeFleetItGoesFromFewToFew(t *testing.T) {
	among(t, AllTold+1, func(l *listeners) {
		l.s.t.Put(entry("own", 1, 1))
		l.s.t.Learn(entry("told", 1, 1))
		wantHeard(t, "at once", l.pass(true, "own"), 0)
		for range retell {
			wantHeard(t, "at a round", l.pass(false, "own"), fanout)
		}
		wantHeard(t, "after all rounds", l.pass(false, "told"), 0)
	})
}

func TestNothingIsLostWithoutPeers(t *testing.T) {
	among(t, 0, func(l *listeners) {
		l.s.t.Put(entry("own", 1, 1))
		l.s.passOn(true)
		l.s.passOn(false)
		if len(l.s.t.hot) != 1 {
			t.Error("it is told to nobody and forgotten")
		}
	})
}

func TestOfALargeValueOnlyTheHeadlineIsDue(t *testing.T) {
	s := &Spreader{t: NewTable()}
	small, large := entry("small", 1, 1), entry("large", 1, 1)
	small.Value, large.Value = make([]byte, smallBytes), make([]byte, smallBytes+1)
	s.t.Put(small)
	s.t.Put(large)
	out := s.due(func(*held) bool { return true })
	slices.SortFunc(out, func(a, b Entry) int { return len(a.Value) - len(b.Value) })
	if len(out) != 2 || !out[0].Head || len(out[0].Value) != 0 || out[1].Head || len(out[1].Value) != smallBytes {
		t.Errorf("got %d entries", len(out))
	}
	if e, found := s.t.Get("large"); !found || e.Head || len(e.Value) != smallBytes+1 {
		t.Error("the table itself lost the value")
	}
}
