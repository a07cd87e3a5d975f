// Package wire owns the exchange of CBOR messages between drumstall's own processes: calls are HTTP
// POST requests by net/http, small messages are UDP datagrams. It implements no transport of its own.
package wire

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ProtocolVersion is the version of the messages that this build sends and accepts.
const ProtocolVersion = "1"

// MaxMessage is the maximum size of a request or response in bytes.
const MaxMessage = 32 << 20

// Network opens connections and listeners for a node.
type Network interface {
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
	ListenPacket(addr string) (net.PacketConn, error)
}

type hostNetwork struct{ dialer net.Dialer }

// HostNetwork returns the network of this machine.
func HostNetwork() Network {
	return &hostNetwork{dialer: net.Dialer{Timeout: 2 * time.Second, KeepAlive: 5 * time.Second}}
}

func (h *hostNetwork) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return h.dialer.DialContext(ctx, network, addr)
}
func (h *hostNetwork) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
func (h *hostNetwork) ListenPacket(addr string) (net.PacketConn, error) {
	return net.ListenPacket("udp", addr)
}

// Errors of this package.
var (
	ErrUnreachable     = errors.New("wire: peer not reached")
	ErrMalformed       = errors.New("wire: message cannot be read")
	ErrVersionMismatch = errors.New("wire: peer speaks another version")
	// ErrNotServed means that the peer does not serve the path, for instance because it is of an earlier version.
	ErrNotServed = errors.New("wire: peer does not serve the call")
)

// Refusal is an error with a code with which a peer rejects a call.
type Refusal struct {
	Code   string
	Detail string
}

func (r Refusal) Error() string { return "peer refused: " + r.Code + ": " + r.Detail }

// Refuse returns a Refusal.
func Refuse(code, detail string) error { return Refusal{Code: code, Detail: detail} }

// Code returns the code of a Refusal in err's chain, or "" if there is none.
func Code(err error) string {
	var r Refusal
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

var encMode = must(cbor.CoreDetEncOptions().EncMode())
var decMode = must(cbor.DecOptions{
	// A malformed or hostile message must not cause unbounded allocation.
	MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20,
	DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
}.DecMode())

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes a message. It panics if the value cannot be encoded, which does not happen for message types.
func Marshal(v any) []byte { return must(encMode.Marshal(v)) }

// Unmarshal decodes a message; any error is wrapped in ErrMalformed.
func Unmarshal(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// Client calls peers.
type Client struct {
	http              *http.Client
	malformed         atomic.Int64
	calls             atomic.Int64
	bytes             atomic.Int64
	uncompressedSince sync.Map // address of a peer to the time at which it rejected a compressed message
}

// NewClient returns a client that dials through n.
func NewClient(n Network) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: n.Dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second,
		DisableCompression: true, ResponseHeaderTimeout: 10 * time.Second,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Sent returns the number of calls made and the bytes of their requests and responses.
func (c *Client) Sent() (calls, bytes int64) { return c.calls.Load(), c.bytes.Load() }

// Malformed returns the number of responses that could not be decoded.
func (c *Client) Malformed() int64 { return c.malformed.Load() }

// Call sends a request to a peer and waits for its response.
func Call[Q, A any](ctx context.Context, c *Client, addr, path string, q Q) (A, error) {
	return call[A](ctx, c, addr, path, Marshal(q), "")
}

// call sends an already encoded message, with the given content encoding if not empty, and reads the response.
func call[A any](ctx context.Context, c *Client, addr, path string, message []byte, coding string) (A, error) {
	var a A
	c.calls.Add(1)
	c.bytes.Add(int64(len(message)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(message))
	if err != nil {
		return a, errors.Wrap(ErrUnreachable, err.Error())
	}
	req.Header.Set("Content-Type", "application/cbor")
	req.Header.Set("Drumstall-Speaks", ProtocolVersion)
	req.Header.Set("Accept-Encoding", gzipEncoding)
	if coding != "" {
		req.Header.Set("Content-Encoding", coding)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return a, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer res.Body.Close()
	return readResponse[A](c, res, addr+path, coding)
}

// readResponse decodes a response. coding is the content encoding of the request.
func readResponse[A any](c *Client, res *http.Response, at, coding string) (A, error) {
	var a A
	sent, err := readBody(res.Body)
	if err != nil && !errors.Is(err, ErrMalformed) {
		return a, errors.Wrap(ErrUnreachable, err.Error())
	}
	c.bytes.Add(int64(len(sent)))
	var body []byte
	if err == nil {
		body, err = decode(sent, res.Header)
	}
	if err != nil {
		c.malformed.Add(1)
		return a, errors.Wrap(ErrMalformed, err.Error())
	}
	switch {
	case res.StatusCode == http.StatusOK:
		if err := Unmarshal(body, &a); err != nil {
			c.malformed.Add(1)
			return a, err
		}
		return a, nil
	case res.StatusCode == http.StatusHTTPVersionNotSupported:
		return a, errors.Wrap(ErrVersionMismatch, res.Header.Get("Drumstall-Speaks"))
	case res.StatusCode == http.StatusConflict:
		var r Refusal
		if err := Unmarshal(body, &r); err != nil {
			c.malformed.Add(1)
			return a, err
		}
		return a, r
	// Builds without support for content encodings treat a compressed message as malformed.
	case coding != "" && (res.StatusCode == http.StatusBadRequest || res.StatusCode == http.StatusUnsupportedMediaType):
		return a, errUnsupportedEncoding
	case res.StatusCode == http.StatusNotFound:
		return a, errors.Wrap(ErrNotServed, at)
	}
	return a, errors.Wrapf(ErrUnreachable, "%s answered %d", at, res.StatusCode)
}

// Mux dispatches the calls of peers by path.
type Mux struct {
	mux       *http.ServeMux
	malformed atomic.Int64
	stats     counters
}

// NewMux returns a mux without handlers.
func NewMux() *Mux { return &Mux{mux: http.NewServeMux()} }

// ServeHTTP implements http.Handler.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.mux.ServeHTTP(w, r) }

// Malformed returns the number of requests that could not be decoded or have another protocol version.
func (m *Mux) Malformed() int64 { return m.malformed.Load() }

// Stats returns the cost of the calls so far, by path.
func (m *Mux) Stats() map[string]Stats { return m.stats.snapshot() }

// Handle serves calls at path with f.
func Handle[Q, A any](m *Mux, path string, f func(context.Context, Q) (A, error)) {
	handle(m, path, f, func(w http.ResponseWriter, _ *http.Request, answer A) int { return writeResponse(w, Marshal(answer)) })
}

// writeResponse writes a response and returns the number of bytes written.
func writeResponse(w http.ResponseWriter, answer []byte) int {
	n, _ := w.Write(answer)
	return n
}

// handle serves calls at path: it decodes the request, calls f and passes the result to write, which returns the number
// of bytes written. Errors of f are sent as a Refusal.
func handle[Q, A any](m *Mux, path string, f func(context.Context, Q) (A, error), write func(http.ResponseWriter, *http.Request, A) int) {
	served := m.stats.get(path)
	m.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		began, in, out := time.Now(), 0, 0
		defer func() { served.add(in, out, time.Since(began)) }()
		w.Header().Set("Drumstall-Speaks", ProtocolVersion)
		// A message of another version may have another meaning, so it is rejected as a whole.
		if v := r.Header.Get("Drumstall-Speaks"); v != ProtocolVersion {
			m.malformed.Add(1)
			w.WriteHeader(http.StatusHTTPVersionNotSupported)
			return
		}
		var q Q
		read, status := readRequest(w, r, &q)
		in = read
		if status != http.StatusOK {
			m.malformed.Add(1)
			w.WriteHeader(status)
			return
		}
		a, err := f(r.Context(), q)
		if err != nil {
			var refusal Refusal
			if !errors.As(err, &refusal) {
				refusal = Refusal{Code: "problem", Detail: err.Error()}
			}
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write(Marshal(refusal))
			return
		}
		out = write(w, r, a)
	})
}

// readRequest decodes a request into q. It returns the number of bytes received and the HTTP status of the result.
func readRequest(w http.ResponseWriter, r *http.Request, q any) (bytes, status int) {
	sent, err := readBody(http.MaxBytesReader(w, r.Body, MaxMessage))
	if err != nil {
		return len(sent), http.StatusRequestEntityTooLarge
	}
	body, err := decode(sent, r.Header)
	if errors.Is(err, errUnsupportedEncoding) {
		return len(sent), http.StatusUnsupportedMediaType
	}
	if err != nil {
		return len(sent), http.StatusBadRequest
	}
	if err := Unmarshal(body, q); err != nil {
		return len(sent), http.StatusBadRequest
	}
	return len(sent), http.StatusOK
}
