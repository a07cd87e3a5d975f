package capacity

import (
	"context"
	"net"
	"sync/atomic"

	"drumstall.example/internal/kernel/wire"
)

// counted counts the bytes of connections and datagrams, headers of HTTP included, those of TCP and IP not.
type counted struct {
	wire.Net
	out, in, gramsOut, gramBytes, dials atomic.Int64
}
type conn struct {
	net.Conn
	c *counted
}
type packets struct {
	net.PacketConn
	c *counted
}

func (c *counted) Dial(ctx context.Context, n, a string) (net.Conn, error) {
	x, err := c.Net.Dial(ctx, n, a)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	return conn{x, c}, nil
}
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.in.Add(int64(n))
	return n, err
}
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.out.Add(int64(n))
	return n, err
}
func (c *counted) ListenPacket(a string) (net.PacketConn, error) {
	p, err := c.Net.ListenPacket(a)
	return packets{p, c}, err
}
func (p packets) WriteTo(b []byte, a net.Addr) (int, error) {
	p.c.gramsOut.Add(1)
	p.c.gramBytes.Add(int64(len(b)))
	return p.PacketConn.WriteTo(b, a)
}
