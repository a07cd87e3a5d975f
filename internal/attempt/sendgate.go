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

// sendGate decides once whether the first byte of a request may be sent, and keeps whether its response belonged to it.
type sendGate struct {
	state             atomic.Int32
	conn              atomic.Pointer[gatedConn] // connection that the first byte was sent on
	refusedConnection atomic.Bool               // net/http offered a connection that does not suit the request
	connections       *Connections              // connections of earlier attempts of the request
	sendable          func() bool
	settled           chan struct{} // closed by settle
	matched           bool          // the response is known to belong to the request; set before settled is closed
}

func newSendGate(q Request) *sendGate {
	return &sendGate{sendable: q.Sendable, connections: q.Connections, settled: make(chan struct{})}
}

// settle records whether the response is known to belong to the request. It must be called once.
func (g *sendGate) settle(matched bool) {
	g.matched = matched
	close(g.settled)
}

// awaitMatch waits until the gate is settled and reports whether the response belonged to the request.
func (g *sendGate) awaitMatch() bool {
	<-g.settled
	return g.matched
}

// suits reports whether the request may be sent on c. A connection whose last response may belong to another request is
// out of step: the response that is due on it is that of the earlier request.
func (g *sendGate) suits(c *gatedConn) bool {
	// net/http offers a connection again before the head of a response without a body has been decoded.
	if previous := c.previous.Load(); previous != nil && !previous.awaitMatch() {
		return false
	}
	return !g.connections.contains(c)
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
	if !g.suits(c) {
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
	c.previous.Store(g)
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
	gate     atomic.Pointer[sendGate] // gate of the request that net/http picked the connection for
	previous atomic.Pointer[sendGate] // gate of the last request that was sent
}

// Write writes b if the gate allows it.
func (c *gatedConn) Write(b []byte) (int, error) {
	if g := c.gate.Load(); g == nil || !g.allowWrite(c) {
		return 0, errWithdrawn
	}
	return c.Conn.Write(b)
}

// Close closes the connection and lets go of its requests: a request refers to the connections of its attempts, and without
// this a chain of ended requests and closed connections would stay in memory.
func (c *gatedConn) Close() error {
	c.gate.Store(nil)
	c.previous.Store(nil)
	return c.Conn.Close()
}
