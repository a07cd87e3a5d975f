package attempt

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

var errWithdrawn = errors.New("attempt: withdrawn before its first byte")

// States of a pass.
const (
	armed int32 = iota
	sent
	withdrawn
)

// pass lets a request's first byte leave, or not; it is decided once.
type pass struct {
	state atomic.Int32
	by    atomic.Pointer[connection] // the one that the first byte left on
	check func() bool
}

func (p *pass) send(c *connection) bool {
	if p.state.Load() == sent {
		// Why: net/http begins some requests anew on another connection by itself; that would be a second attempt.
		return p.by.Load() == c
	}
	// Why: the last look at a leaving mark is right before the first byte.
	if !p.check() {
		p.state.CompareAndSwap(armed, withdrawn)
	}
	if !p.state.CompareAndSwap(armed, sent) {
		return false
	}
	p.by.Store(c)
	return true
}

// withdraw says whether no byte has left, and makes sure that none will.
func (p *pass) withdraw() bool {
	return p.state.CompareAndSwap(armed, withdrawn) || p.state.Load() == withdrawn
}

// connection asks its pass before it writes.
type connection struct {
	net.Conn
	pass atomic.Pointer[pass]
}

func (c *connection) Write(b []byte) (int, error) {
	if p := c.pass.Load(); p == nil || !p.send(c) {
		return 0, errWithdrawn
	}
	return c.Conn.Write(b)
}
