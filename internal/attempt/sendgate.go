package attempt

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

var errWithdrawn = errors.New("attempt: withdrawn before its first byte")

// States of a sendGate.
const (
	undecided int32 = iota
	sent
	withdrawn
)

// sendGate decides once whether the first byte of a request may be sent.
type sendGate struct {
	state             atomic.Int32
	conn              atomic.Pointer[gatedConn] // connection that the first byte was sent on
	refusedConnection atomic.Bool               // net/http offered a connection that does not suit the request
	connections       *Connections              // connections of earlier attempts of the request
	sendable          func() bool
}

// trace returns the hooks that put the gate on the connection that net/http picks for the request.
func (g *sendGate) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*gatedConn); ok {
			c.gate.Store(g)
		}
	}}
}

// allowWrite reports whether a write on c may proceed; the first call decides.
func (g *sendGate) allowWrite(c *gatedConn) bool {
	if g.state.Load() == sent {
		// net/http may replay some requests on another connection by itself; that would be a second attempt.
		return g.conn.Load() == c
	}
	if g.connections.contains(c) {
		g.refusedConnection.Store(true)
		return false
	}
	// The last check for a draining replica is right before the first byte.
	if !g.sendable() {
		g.state.CompareAndSwap(undecided, withdrawn)
	}
	if !g.state.CompareAndSwap(undecided, sent) {
		return false
	}
	g.conn.Store(c)
	g.connections.add(c)
	return true
}

// withdraw reports whether no byte has been sent and ensures that none will be.
func (g *sendGate) withdraw() bool {
	return g.state.CompareAndSwap(undecided, withdrawn) || g.state.Load() == withdrawn
}

// gatedConn consults its gate before each write.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[sendGate]
}

// Write writes b if the gate allows it.
func (c *gatedConn) Write(b []byte) (int, error) {
	if g := c.gate.Load(); g == nil || !g.allowWrite(c) {
		return 0, errWithdrawn
	}
	return c.Conn.Write(b)
}
