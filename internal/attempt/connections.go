package attempt

import (
	"net"
	"slices"
	"sync"
)

// Connections records the connections that the attempts of one request were sent on. The zero value is empty.
//
// A response names the request that it belongs to but not the attempt, and a replica may send a response a second time,
// late, where the next one on the connection is due. On a connection that carried an earlier attempt, such a response could
// be taken for that of a later attempt: a refusal would be proof that the request did not run while it runs.
type Connections struct {
	mu   sync.Mutex
	used []net.Conn
}

// contains reports whether an attempt was sent on c.
func (r *Connections) contains(c net.Conn) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.used, c)
}

// add records that an attempt is sent on c.
func (r *Connections) add(c net.Conn) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used = append(r.used, c)
}
