package attempt

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

var errWithdrawn = errors.New("attempt: withdrawn before its first byte")

// States of a pass.
const (
	undecided int32 = iota
	sent
	withdrawn
)

// pass lets a request's first byte leave, or not; it is decided once.
type sendGate struct {
	state    atomic.Int32
	conn     atomic.Pointer[gatedConn] // the one that the first byte left on
	sendable func() bool
}

func (p *sendGate) allowWrite(c *gatedConn) bool {
	if p.state.Load() == sent {
		// Why: net/http begins some requests anew on another connection by itself; that would be a second attempt.
		return p.conn.Load() == c
	}
	// Why: the last look at a leaving mark is right before the first byte.
	if !p.sendable() {
		p.state.CompareAndSwap(undecided, withdrawn)
	}
	if !p.state.CompareAndSwap(undecided, sent) {
		return false
	}
	p.conn.Store(c)
	return true
}

// withdraw says whether no byte has left, and makes sure that none will.
func (p *sendGate) withdraw() bool {
	return p.state.CompareAndSwap(undecided, withdrawn) || p.state.Load() == withdrawn
}

// connection asks its pass before it writes.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[sendGate]
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if p := c.gate.Load(); p == nil || !p.allowWrite(c) {
		return 0, errWithdrawn
	}
	return c.Conn.Write(b)
}
