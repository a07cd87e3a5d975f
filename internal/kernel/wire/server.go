package wire

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
)

// Server runs an HTTP server on a listener and tracks the state of its connections.
type Server struct {
	http     *http.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]connState
}

// connState is the state of a connection and the time at which it was entered.
type connState struct {
	state http.ConnState
	since time.Time
}

// NewServer returns a server; Run serves until Close or Drain.
func NewServer(ln net.Listener, h http.Handler) *Server {
	s := &Server{listener: ln, conns: map[net.Conn]connState{}}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
		MaxHeaderBytes: 64 << 10, ConnState: s.trackConn,
	}
	return s
}

// trackConn records the state of a connection; it is the http.Server's ConnState hook.
func (s *Server) trackConn(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{st, time.Now()}
}

// hasBusyConn reports whether any connection is not idle, or has been idle for less than the given time.
func (s *Server) hasBusyConn(idle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state != http.StateIdle || time.Since(c.since) < idle {
			return true
		}
	}
	return false
}

// Quiesce closes the listener and waits until each open connection has been idle
// for the given time, after which its client does not write to it any more.
func (s *Server) Quiesce(ctx context.Context, idle time.Duration) {
	_ = s.listener.Close()
	for s.hasBusyConn(idle) && run.Sleep(ctx, 50*time.Millisecond) {
	}
}

// Run serves requests until the server is closed. It blocks; call it in a group.
func (s *Server) Run(context.Context) { _ = s.http.Serve(s.listener) }

// Close closes the listener and all connections at once.
func (s *Server) Close() { _ = s.http.Close() }

// Drain closes the listener and waits for accepted requests to finish.
func (s *Server) Drain(ctx context.Context) error {
	// Quiesce may already have closed the listener.
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
