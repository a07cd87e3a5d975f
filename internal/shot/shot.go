// Package shot sends one request to one replica, once, and says for sure
// whether it ran, did not run, or may have run.
package shot

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/kernel/wire"
)

// Outcome of a shot.
type Outcome string

// The three outcomes.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Problem is a shot that brought no answer to pass on.
type Problem struct {
	Outcome Outcome
	Refused bool // no conn was to be had
	Said    bool // the replica itself said that it would not run it
	Why     string
}

func (p *Problem) Error() string { return "shot: " + string(p.Outcome) + ": " + p.Why }

var errWithdrawn = errors.New("shot: withdrawn before its first byte")

// pass lets a request's first byte leave, or not; it is decided once.
type pass struct {
	state atomic.Int32 // 0 armed, 1 sent, 2 withdrawn
	check func() bool
}

func (p *pass) send() bool {
	if p.state.Load() == 1 {
		return true
	}
	// Why: the last look at a leaving mark is right before the first byte.
	if !p.check() {
		p.state.CompareAndSwap(0, 2)
	}
	return p.state.CompareAndSwap(0, 1)
}

// withdraw says whether no byte has left, and makes sure that none will.
func (p *pass) withdraw() bool { return p.state.CompareAndSwap(0, 2) || p.state.Load() == 2 }

// conn asks its pass before it writes.
type conn struct {
	net.Conn
	pass atomic.Pointer[pass]
}

func (c *conn) Write(b []byte) (int, error) {
	if p := c.pass.Load(); p == nil || !p.send() {
		return 0, errWithdrawn
	}
	return c.Conn.Write(b)
}

// Shooter sends requests to replicas.
type Shooter struct {
	http  *http.Client
	stall time.Duration
}

// NewShooter dials through n. A stream that brings nothing for stall is given up.
func NewShooter(n wire.Net, stall time.Duration) *Shooter {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := n.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Shooter{stall: stall, http: &http.Client{
		Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second,
			DisableCompression: true, MaxResponseHeaderBytes: 64 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close lets go of idle conns.
func (s *Shooter) Close() { s.http.CloseIdleConnections() }

// Request is what a replica is sent.
type Request struct {
	Addr        string
	Model       string
	Adapter     string
	Ticket      string
	ContentType string
	Body        []byte
	Shot        int
	FirstBy     time.Time   // the first byte of the answer must have come by then
	Sendable    func() bool // asked right before the first byte leaves
}

// Reply is a stream that has begun.
type Reply struct {
	ContentType string
	body        *bufio.Reader
	raw         io.ReadCloser
	cancel      context.CancelFunc
	stall       time.Duration
	beat        *time.Timer
	once        sync.Once
}

// Read reads pieces as they come; a stream that stalls or breaks off is an error.
func (r *Reply) Read(p []byte) (int, error) {
	r.beat.Reset(r.stall)
	n, err := r.body.Read(p)
	r.beat.Stop()
	return n, err
}

// Close ends the shot.
func (r *Reply) Close() error {
	r.once.Do(func() {
		r.beat.Stop()
		r.cancel()
		_ = r.raw.Close()
	})
	return nil
}

// Shoot sends the request once and waits for the first piece of the answer.
func (s *Shooter) Shoot(ctx context.Context, q Request) (*Reply, *Problem) {
	ctx, cancel := context.WithCancel(ctx)
	p := &pass{check: q.Sendable}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*conn); ok {
			c.pass.Store(p)
		}
	}}
	u := url.URL{Scheme: "http", Host: q.Addr, Path: backend.RunPath}
	v := url.Values{}
	if q.Model != "" {
		v.Set("model", q.Model)
	}
	if q.Adapter != "" {
		v.Set("adapter", q.Adapter)
	}
	u.RawQuery = v.Encode()
	// Why: a body without GetBody, a POST and no idempotency header keep net/http from replaying by itself.
	body := struct{ io.Reader }{bytes.NewReader(q.Body)}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, u.String(), body)
	if err != nil {
		cancel()
		return nil, &Problem{Outcome: NotRun, Why: err.Error()}
	}
	req.ContentLength = int64(len(q.Body))
	if len(q.Body) == 0 {
		req.Body = nil
	}
	req.Header.Set("Content-Type", q.ContentType)
	req.Header.Set(backend.HeaderShot, strconv.Itoa(q.Shot))
	if q.Ticket != "" {
		req.Header.Set(backend.HeaderTicket, q.Ticket)
	}
	late := time.AfterFunc(time.Until(q.FirstBy), cancel)
	res, err := s.http.Do(req)
	if err != nil {
		late.Stop()
		cancel()
		if p.withdraw() {
			return nil, &Problem{Outcome: NotRun, Refused: !errors.Is(err, errWithdrawn) && !errors.Is(err, context.Canceled), Why: err.Error()}
		}
		return nil, &Problem{Outcome: Unknown, Why: err.Error()}
	}
	fail := func(o Outcome, why string) (*Reply, *Problem) {
		late.Stop()
		cancel()
		_ = res.Body.Close()
		return nil, &Problem{Outcome: o, Why: why}
	}
	if res.Header.Get(backend.HeaderOutcome) == backend.NotRun && res.StatusCode >= 400 {
		_, err := fail(NotRun, "replica answered not-run, status "+strconv.Itoa(res.StatusCode))
		err.Said = true
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return fail(Ran, "replica answered status "+strconv.Itoa(res.StatusCode))
	}
	// Why: an answer that ends with its conn looks the same whether whole or cut.
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return fail(Ran, "replica's answer has no end that can be told")
	}
	r := &Reply{ContentType: res.Header.Get("Content-Type"), body: bufio.NewReaderSize(res.Body, 16<<10), raw: res.Body, cancel: cancel, stall: s.stall}
	if _, err := r.body.Peek(1); err != nil && err != io.EOF {
		return fail(Unknown, "broke off before the first piece: "+err.Error())
	}
	if !late.Stop() && ctx.Err() != nil {
		return fail(Unknown, "the first piece came too late")
	}
	r.beat = time.AfterFunc(s.stall, cancel)
	r.beat.Stop()
	return r, nil
}

// Budget bounds retries to a service: a token bucket that fills by a fifth of
// the first shots and never holds more than this edge's share of the allowance.
// So retries in any span are at most a fifth of that span's shots and the share.
type Budget struct {
	mu    sync.Mutex
	purse map[string]purse
}

// purse is what one service's retries may still take.
type purse struct {
	tokens float64
	kept   int // set aside by shots that may need one
}

// Fifth is the share of traffic that may be retried.
const Fifth = 0.2

// NewBudget starts empty: a restart gives no new allowance.
func NewBudget() *Budget { return &Budget{purse: map[string]purse{}} }

func (b *Budget) change(service string, f func(p purse) (purse, bool)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := f(b.purse[service])
	b.purse[service] = p
	return ok
}

// First notes a first shot to a service.
func (b *Budget) First(service string, share float64) {
	b.change(service, func(p purse) (purse, bool) {
		// Why: what is set aside may be spent at any time, so it counts against the share.
		p.tokens = max(0, min(p.tokens+Fifth, share-float64(p.kept)))
		return p, true
	})
}

func (b *Budget) take(service string, kept int) bool {
	return b.change(service, func(p purse) (purse, bool) {
		if p.tokens < 1 {
			return p, false
		}
		p.tokens--
		p.kept += kept
		return p, true
	})
}

// Retry takes one retry, if there is one.
func (b *Budget) Retry(service string) bool { return b.take(service, 0) }

// Keep sets one retry aside, if there is one, until it is spent or given back.
func (b *Budget) Keep(service string) bool { return b.take(service, 1) }

// Spend uses a retry that was set aside.
func (b *Budget) Spend(service string) {
	b.change(service, func(p purse) (purse, bool) { p.kept--; return p, true })
}

// Return gives back a retry that was set aside and not needed.
func (b *Budget) Return(service string) {
	b.change(service, func(p purse) (purse, bool) { p.kept--; p.tokens++; return p, true })
}
