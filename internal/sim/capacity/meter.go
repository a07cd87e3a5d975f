package capacity

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/wire"
)

// Traffic is what was counted of one kind of message: headers of HTTP included, those of TCP, UDP and IP not.
type Traffic struct {
	Messages int64
	Out      int64 // bytes that left
	In       int64 // bytes that came
}

// Plus adds another count.
func (t Traffic) Plus(o Traffic) Traffic {
	return Traffic{t.Messages + o.Messages, t.Out + o.Out, t.In + o.In}
}

// Minus takes an earlier count away.
func (t Traffic) Minus(o Traffic) Traffic {
	return Traffic{t.Messages - o.Messages, t.Out - o.Out, t.In - o.In}
}

// Prefixes of a kind: a call that was made, one that was answered, and datagrams.
const (
	Asked    = "asks "
	Answered = "answers "
	Datagram = "datagram "
)

// Meter is a machine's network that counts by kind and may be cut off from others.
type Meter struct {
	wire.Network
	// Blocked says that nothing passes between this machine and an address now; nil is never.
	Blocked func(addr net.Addr) bool
	counts  *counts
}

// NewMeter counts on a network.
func NewMeter(n wire.Network) *Meter {
	return &Meter{Network: n, counts: &counts{kinds: map[string]*counter{}}}
}

// As is another machine's network whose traffic is counted with this one's.
func (m *Meter) As(n wire.Network, blocked func(addr net.Addr) bool) *Meter {
	return &Meter{Network: n, Blocked: blocked, counts: m.counts}
}

// counts is what has been counted.
type counts struct {
	mu    sync.Mutex
	kinds map[string]*counter
	open  atomic.Int64
}

// counter is the traffic of one kind as it grows.
type counter struct{ messages, out, in atomic.Int64 }

// Counts is the traffic by kind so far.
func (m *Meter) Counts() map[string]Traffic {
	m.counts.mu.Lock()
	defer m.counts.mu.Unlock()
	out := make(map[string]Traffic, len(m.counts.kinds))
	for kind, c := range m.counts.kinds {
		out[kind] = Traffic{c.messages.Load(), c.out.Load(), c.in.Load()}
	}
	return out
}

// Open is how many connections are open.
func (m *Meter) Open() int64 { return m.counts.open.Load() }

func (m *Meter) kind(name string) *counter {
	m.counts.mu.Lock()
	defer m.counts.mu.Unlock()
	c := m.counts.kinds[name]
	if c == nil {
		c = &counter{}
		m.counts.kinds[name] = c
	}
	return c
}

func (m *Meter) blocked(addr net.Addr) bool { return m.Blocked != nil && m.Blocked(addr) }

// Dial opens a connection; to a machine that is cut off it fails after a while.
func (m *Meter) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	to, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	for waited := time.Duration(0); m.blocked(to); waited += blockedLook {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if waited > dialLimit {
			return nil, os.ErrDeadlineExceeded
		}
		time.Sleep(blockedLook)
	}
	c, err := m.Network.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return m.counted(c, Asked), nil
}

// Listen opens a port whose connections are counted.
func (m *Meter) Listen(addr string) (net.Listener, error) {
	l, err := m.Network.Listen(addr)
	return countedListener{l, m}, err
}

// ListenPacket opens a port for datagrams that are counted.
func (m *Meter) ListenPacket(addr string) (net.PacketConn, error) {
	p, err := m.Network.ListenPacket(addr)
	return countedPackets{p, m}, err
}

const (
	// blockedLook is how often a connection that is cut looks whether it still is.
	blockedLook = 20 * time.Millisecond
	// dialLimit is how long a machine that is cut off is dialled.
	dialLimit = 2 * time.Second
)

// request gives the path of an HTTP request that begins here.
func request(b []byte) (path string, begins bool) {
	line, _, found := strings.Cut(string(b[:min(len(b), maxLine)]), " HTTP/1.1\r\n")
	method, path, two := strings.Cut(line, " ")
	if !found || !two || method != "POST" && method != "GET" {
		return "", false
	}
	return path, true
}

// maxLine is the longest first line of a request that is looked at, in bytes.
const maxLine = 120
