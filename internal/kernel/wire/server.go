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

// Server runs an HTTP server on a listener until stopped.
type Server struct {
	http     *http.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// NewServer prepares a server; Run serves until Close or Drain.
func NewServer(ln net.Listener, h http.Handler) *Server {
	s := &Server{listener: ln, conns: map[net.Conn]connState{}}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
		MaxHeaderBytes: 64 << 10, ConnState: s.trackConn,
	}
	return s
}

func (s *Server) trackConn(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{st, time.Now()}
}

// busy says whether a connection is at work, or was within idle.
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

// Quiesce takes no more connections and waits until each that is open has been idle
// for so long that its caller will not write to it any more.
func (s *Server) Quiesce(ctx context.Context, idle time.Duration) {
	_ = s.listener.Close()
	for s.hasBusyConn(idle) && run.Sleep(ctx, 50*time.Millisecond) {
	}
}

// Run serves; call it in a group.
func (s *Server) Run(context.Context) { _ = s.http.Serve(s.listener) }

// Close ends at once.
func (s *Server) Close() { _ = s.http.Close() }

// Drain takes no more connections and lets what was accepted finish.
func (s *Server) Drain(ctx context.Context) error {
	// Why: the listener may have been closed before, by Quiesce.
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
