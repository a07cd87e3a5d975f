// Package wire carries cbor between drumstall's own processes: calls as HTTP
// POSTs by net/http, small news as datagrams. It makes up no transport.
package wire

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
)

// Speaks is the version of the messages this build sends and reads.
const Speaks = "1"

// MaxMessage bounds one message, either way.
const MaxMessage = 32 << 20

// Net is the network as a node sees it.
type Net interface {
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
	ListenPacket(addr string) (net.PacketConn, error)
}

type host struct{ dialer net.Dialer }

// Host is the network of this machine.
func Host() Net {
	return &host{dialer: net.Dialer{Timeout: 2 * time.Second, KeepAlive: 5 * time.Second}}
}

func (h *host) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return h.dialer.DialContext(ctx, network, addr)
}
func (h *host) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
func (h *host) ListenPacket(addr string) (net.PacketConn, error) {
	return net.ListenPacket("udp", addr)
}

// Problems of this layer.
var (
	ErrUnreachable = errors.New("wire: partner not reached")
	ErrGarbled     = errors.New("wire: message cannot be read")
	ErrVersion     = errors.New("wire: partner speaks another version")
	// ErrNotServed says that the partner does not know the call; one of an earlier version does not.
	ErrNotServed = errors.New("wire: partner does not serve the call")
)

// Refused is a partner's considered no.
type Refused struct {
	Code   string
	Detail string
}

func (r Refused) Error() string { return "partner refused: " + r.Code + ": " + r.Detail }

// Drop makes a considered no with a code.
func Drop(code, detail string) error { return Refused{Code: code, Detail: detail} }

// Code is the code of a considered no, or "".
func Code(err error) string {
	var r Refused
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

var enc = must(cbor.CoreDetEncOptions().EncMode())
var dec = must(cbor.DecOptions{
	// Why: a garbled or hostile message must not make us allocate without bound.
	MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20,
	DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
}.DecMode())

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Pack encodes a message of ours; such values always encode.
func Pack(v any) []byte { return must(enc.Marshal(v)) }

// Unpack decodes a message and turns any problem into ErrGarbled.
func Unpack(b []byte, v any) error {
	if err := dec.Unmarshal(b, v); err != nil {
		return errors.Wrap(ErrGarbled, err.Error())
	}
	return nil
}

// Caller makes calls to partners.
type Caller struct {
	client  *http.Client
	garbled atomic.Int64
	calls   atomic.Int64
	bytes   atomic.Int64
}

// NewCaller dials through n.
func NewCaller(n Net) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		DialContext: n.Dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second,
		DisableCompression: true, ResponseHeaderTimeout: 10 * time.Second,
	}}}
}

// Close lets go of idle conns.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Sent counts calls made and the bytes in them and in their answers.
func (c *Caller) Sent() (calls, bytes int64) { return c.calls.Load(), c.bytes.Load() }

// Garbled counts answers that could not be read.
func (c *Caller) Garbled() int64 { return c.garbled.Load() }

// Call asks a partner and waits for its answer.
func Call[Q, A any](ctx context.Context, c *Caller, addr, path string, q Q) (A, error) {
	var a A
	packed := Pack(q)
	c.calls.Add(1)
	c.bytes.Add(int64(len(packed)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(packed))
	if err != nil {
		return a, errors.Wrap(ErrUnreachable, err.Error())
	}
	req.Header.Set("Content-Type", "application/cbor")
	req.Header.Set("Drumstall-Speaks", Speaks)
	res, err := c.client.Do(req)
	if err != nil {
		return a, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxMessage+1))
	if err != nil {
		return a, errors.Wrap(ErrUnreachable, err.Error())
	}
	c.bytes.Add(int64(len(body)))
	switch {
	case len(body) > MaxMessage:
		c.garbled.Add(1)
		return a, errors.Wrap(ErrGarbled, "answer too large")
	case res.StatusCode == http.StatusOK:
		if err := Unpack(body, &a); err != nil {
			c.garbled.Add(1)
			return a, err
		}
		return a, nil
	case res.StatusCode == http.StatusHTTPVersionNotSupported:
		return a, errors.Wrap(ErrVersion, res.Header.Get("Drumstall-Speaks"))
	case res.StatusCode == http.StatusConflict:
		var r Refused
		if err := Unpack(body, &r); err != nil {
			c.garbled.Add(1)
			return a, err
		}
		return a, r
	}
	if res.StatusCode == http.StatusNotFound {
		return a, errors.Wrap(ErrNotServed, addr+path)
	}
	return a, errors.Wrapf(ErrUnreachable, "%s%s answered %d", addr, path, res.StatusCode)
}

// Mux serves the calls of partners.
type Mux struct {
	mux     *http.ServeMux
	garbled atomic.Int64
}

// NewMux serves nothing yet.
func NewMux() *Mux { return &Mux{mux: http.NewServeMux()} }

// ServeHTTP makes a Mux a handler.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.mux.ServeHTTP(w, r) }

// Garbled counts calls that could not be read.
func (m *Mux) Garbled() int64 { return m.garbled.Load() }

// Handle answers calls at path with f.
func Handle[Q, A any](m *Mux, path string, f func(context.Context, Q) (A, error)) {
	m.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Drumstall-Speaks", Speaks)
		// Why: a message of another version may mean something else; it is never half-applied.
		if v := r.Header.Get("Drumstall-Speaks"); v != Speaks {
			m.garbled.Add(1)
			w.WriteHeader(http.StatusHTTPVersionNotSupported)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessage))
		if err != nil {
			m.garbled.Add(1)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		var q Q
		if err := Unpack(body, &q); err != nil {
			m.garbled.Add(1)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a, err := f(r.Context(), q)
		if err != nil {
			var no Refused
			if !errors.As(err, &no) {
				no = Refused{Code: "problem", Detail: err.Error()}
			}
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write(Pack(no))
			return
		}
		_, _ = w.Write(Pack(a))
	})
}

// Server runs an HTTP server on a listener until stopped.
type Server struct {
	http  *http.Server
	ln    net.Listener
	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// NewServer prepares a server; Run serves until Close or Drain.
func NewServer(ln net.Listener, h http.Handler) *Server {
	s := &Server{ln: ln, conns: map[net.Conn]connState{}}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
		MaxHeaderBytes: 64 << 10, ConnState: s.note,
	}
	return s
}

func (s *Server) note(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{st, time.Now()}
}

// busy says whether a conn is at work, or was within idle.
func (s *Server) busy(idle time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state != http.StateIdle || time.Since(c.since) < idle {
			return true
		}
	}
	return false
}

// Quiesce takes no more conns and waits until each that is open has been idle
// for so long that its caller will not write to it any more.
func (s *Server) Quiesce(ctx context.Context, idle time.Duration) {
	_ = s.ln.Close()
	for s.busy(idle) && run.Wait(ctx, 50*time.Millisecond) {
	}
}

// Run serves; call it in a group.
func (s *Server) Run(context.Context) { _ = s.http.Serve(s.ln) }

// Close ends at once.
func (s *Server) Close() { _ = s.http.Close() }

// Drain takes no more conns and lets what was accepted finish.
func (s *Server) Drain(ctx context.Context) error {
	// Why: the listener may have been closed before, by Quiesce.
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
