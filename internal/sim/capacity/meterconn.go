package capacity

import (
	"net"
	"sync/atomic"
	"time"
)

// countedConn counts one connection, by the requests that pass on it.
type countedConn struct {
	net.Conn
	meter  *Meter
	side   string // Asked or Answered
	kind   atomic.Pointer[counter]
	closed atomic.Bool
	lone   []byte // a byte that was read alone; who reads is one at a time
}

func (m *Meter) counted(c net.Conn, side string) net.Conn {
	m.counts.open.Add(1)
	return &countedConn{Conn: c, meter: m, side: side}
}

// begins notes a request that begins with b.
func (c *countedConn) begins(b []byte) {
	path, begins := request(b)
	if !begins {
		return
	}
	k := c.meter.kind(c.side + path)
	k.messages.Add(1)
	c.kind.Store(k)
}

// pass waits while the machines are cut off from one another: what was sent meanwhile comes later.
func (c *countedConn) pass() {
	for c.meter.blocked(c.RemoteAddr()) && !c.closed.Load() {
		time.Sleep(blockedLook)
	}
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pass()
	if c.side == Answered && n == 1 && len(c.lone) == 0 {
		// Why: a server that waits for the next request reads its first byte alone.
		c.lone = []byte{b[0]}
		return n, err
	}
	came := append(c.lone, b[:min(n, maxLine)]...)
	lone := len(c.lone)
	c.lone = nil
	if c.side == Answered {
		c.begins(came)
	}
	if k := c.kind.Load(); k != nil {
		k.in.Add(int64(lone + n))
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.pass()
	if c.side == Asked {
		c.begins(b)
	}
	n, err := c.Conn.Write(b)
	if k := c.kind.Load(); k != nil {
		k.out.Add(int64(n))
	}
	return n, err
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.meter.counts.open.Add(-1)
	}
	return c.Conn.Close()
}

// countedListener counts the connections that it takes.
type countedListener struct {
	net.Listener
	meter *Meter
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.counted(c, Answered), nil
}

// countedPackets counts datagrams; those to and from machines that are cut off are lost.
type countedPackets struct {
	net.PacketConn
	meter *Meter
}

func (p countedPackets) WriteTo(b []byte, to net.Addr) (int, error) {
	k := p.meter.kind(Datagram + gramKind(b))
	k.messages.Add(1)
	k.out.Add(int64(len(b)))
	if p.meter.blocked(to) {
		return len(b), nil
	}
	return p.PacketConn.WriteTo(b, to)
}

func (p countedPackets) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := p.PacketConn.ReadFrom(b)
		if err != nil {
			return n, from, err
		}
		if p.meter.blocked(from) {
			continue
		}
		p.meter.kind(Datagram + gramKind(b[:n])).in.Add(int64(n))
		return n, from, nil
	}
}

// gramKind reads the kind of a datagram: the second text of three in a map with keys 1, 2 and 3.
func gramKind(b []byte) string {
	const at = 5 // after the head of the map, key 1, its text of one byte and key 2
	if len(b) <= at || b[0] != 0xa3 || b[at]&0xe0 != 0x60 {
		return "unread"
	}
	n := int(b[at] & 0x1f)
	if len(b) < at+1+n {
		return "unread"
	}
	return string(b[at+1 : at+1+n])
}
