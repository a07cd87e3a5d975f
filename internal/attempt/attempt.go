// Package attempt sends one request to one replica, once, and says for sure
// whether it ran, did not run, or may have run.
package attempt

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
)

// Outcome of an attempt.
type Outcome string

// The three outcomes.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// maxWhole bounds an answer that is read whole before it is passed on.
const maxWhole = 4 << 20

// Failure is an attempt that brought no answer to pass on.
type Failure struct {
	Outcome Outcome
	Refused bool // no connection was to be had
	Said    bool // the replica itself said that it would not run it
	Missing bool // and that was because it does not hold what was asked for
	Why     string
	Load    Load
}

func (f *Failure) Error() string { return "attempt: " + string(f.Outcome) + ": " + f.Why }

// Load is what a replica says of itself with an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Protocol is how requests to replicas and the heads of their answers are written.
type Protocol interface {
	// Encode writes a request; its body must not be one that net/http can rewind.
	Encode(ctx context.Context, q Request) (*http.Request, error)
	// Decode reads the head of an answer.
	Decode(q Request, res *http.Response) Decision
}

// Decision is what the head of an answer says.
type Decision struct {
	Outcome Outcome
	Relay   bool // the answer is to be passed on
	Said    bool // the replica itself said that it would not run the request
	Missing bool // and that was because it does not hold what was asked for
	Failed  bool // the answer is a failure of the replica's own
	Why     string
	Load    Load
	Header  http.Header // to be passed on
}

// Sender sends requests to replicas.
type Sender struct {
	http     *http.Client
	protocol Protocol
	stall    time.Duration
}

// NewSender dials through n. A stream that brings nothing for stall is given up.
func NewSender(n wire.Net, protocol Protocol, stall time.Duration) *Sender {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := n.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: c}, nil
	}
	return &Sender{stall: stall, protocol: protocol, http: &http.Client{
		Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second,
			DisableCompression: true, MaxResponseHeaderBytes: 64 << 10, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close lets go of idle connections.
func (s *Sender) Close() { s.http.CloseIdleConnections() }

// Identity is whose key a caller has borne.
type Identity struct {
	Required bool   // callers bear keys here: theirs is no replica's business
	Tenant   string // whose key it is; "" bore none that is known
}

// Request is what a replica is sent.
type Request struct {
	ID          string // of the replica
	Addr        string
	Item        conf.Item
	Ticket      string // the caller's own number for the request
	ContentType string
	Method      string
	Path        string // with the query, as the caller wrote it
	Host        string
	Header      http.Header
	Body        []byte
	Number      int    // 1 for the first attempt
	Rank        int    // 0 is the most urgent
	Tenant      string // whose it is; "" where there are no tenants
	Share       int    // weight of the tenant
	Identity    Identity
	Urgency     int           // step of urgency within the tenant; 0 is the first
	Left        time.Duration // that the caller will wait
	LastEvent   string        // the event after which a stream goes on
	Whole       bool          // the answer is read to its end before it is passed on
	Stall       time.Duration // longest silence within the answer; 0 is the sender's own
	FirstBy     time.Time     // the first byte of the answer must have come by then
	Until       time.Time     // an answer that has begun is broken off then; zero is never
	// Alive says that the replica has been heard of late, on whatever request.
	// While it is, a silence before FirstAtLast or within the answer is borne; nil bears none.
	Alive       func() bool
	FirstAtLast time.Time
	// Only says that no other replica could answer. While it does, a silence before
	// OnlyUntil is borne; nil bears none.
	Only      func() bool
	OnlyUntil time.Time
	// GoneOn is asked when an answer that has begun is silent for too long: has another
	// replica begun to go on with it? Until it has, the silence is borne; nil ends the answer at once.
	GoneOn   func() bool
	Heard    func()      // called whenever a piece comes
	Again    bool        // another attempt may be made after a failure
	Sendable func() bool // asked right before the first byte leaves
}

// Reply is an answer that has begun.
type Reply struct {
	Status      int
	Header      http.Header
	ContentType string
	Length      int64 // of the body; -1 is not known
	Load        Load
	body        io.Reader
	raw         io.ReadCloser
	cancel      context.CancelFunc
	until       time.Time // it is broken off then; zero is never
	stall       time.Duration
	alive       func() bool
	goneOn      func() bool
	heard       func()
	begunAt     time.Time
	reading     atomic.Bool
	readAt      atomic.Int64 // when the last read began, since begunAt
	silence     *time.Timer  // runs on from piece to piece, and looks how long a read has lasted
	closed      atomic.Bool
	once        sync.Once
}

// patienceStep is how often a silence that is borne is looked at again.
const patienceStep = 50 * time.Millisecond

// Read reads pieces as they come; a stream that stalls or breaks off is an error.
func (r *Reply) Read(p []byte) (int, error) {
	r.readAt.Store(int64(time.Since(r.begunAt)))
	r.reading.Store(true)
	n, err := r.body.Read(p)
	r.reading.Store(false)
	if n > 0 && r.heard != nil {
		r.heard()
	}
	return n, err
}

// watch has silences, and the end of the answer's time, looked for from now on.
func (r *Reply) watch() {
	r.begunAt = time.Now()
	// Why: the timer is in its place before it can go off.
	r.silence = time.AfterFunc(time.Hour, r.look)
	r.lookIn(r.stall)
}

// lookIn has the answer looked at after a while, or when its time is over.
func (r *Reply) lookIn(while time.Duration) {
	if !r.until.IsZero() {
		while = min(while, time.Until(r.until))
	}
	r.silence.Reset(while)
}

// look ends an answer whose time is over, and one that brings nothing.
func (r *Reply) look() {
	switch {
	case r.closed.Load():
	case !r.until.IsZero() && !time.Now().Before(r.until):
		r.cancel()
	default:
		r.stalled()
	}
}

// stalled ends an answer that brings nothing, unless its replica is heard on others, or
// nobody has gone on with it.
func (r *Reply) stalled() {
	if !r.reading.Load() {
		r.lookIn(r.stall)
		return
	}
	if left := r.stall - time.Since(r.begunAt) + time.Duration(r.readAt.Load()); left > 0 {
		r.lookIn(left)
		return
	}
	if r.alive != nil && r.alive() || r.goneOn != nil && !r.goneOn() {
		r.lookIn(patienceStep)
		return
	}
	r.cancel()
}

// Close ends the attempt.
func (r *Reply) Close() error {
	r.once.Do(func() {
		r.closed.Store(true)
		r.silence.Stop()
		r.cancel()
		_ = r.raw.Close()
	})
	return nil
}

// Send sends the request once and waits for the first piece of the answer.
func (s *Sender) Send(ctx context.Context, q Request) (*Reply, *Failure) {
	ctx, cancel := context.WithCancel(ctx)
	p := &pass{check: q.Sendable}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*connection); ok {
			c.pass.Store(p)
		}
	}}
	req, err := s.protocol.Encode(httptrace.WithClientTrace(ctx, trace), q)
	if err != nil {
		cancel()
		return nil, &Failure{Outcome: NotRun, Why: err.Error()}
	}
	late := newLateness(q, cancel)
	res, err := s.http.Do(req)
	if err != nil {
		late.end()
		cancel()
		if p.withdraw() {
			return nil, &Failure{Outcome: NotRun, Refused: !errors.Is(err, errWithdrawn) && !errors.Is(err, context.Canceled), Why: err.Error()}
		}
		return nil, &Failure{Outcome: Unknown, Why: err.Error()}
	}
	d := s.protocol.Decode(q, res)
	fail := func(f Failure) (*Reply, *Failure) {
		late.end()
		cancel()
		_ = res.Body.Close()
		f.Load = d.Load
		return nil, &f
	}
	if !d.Relay {
		return fail(Failure{Outcome: d.Outcome, Said: d.Said, Missing: d.Missing, Why: d.Why})
	}
	if d.Failed && q.Again {
		return fail(Failure{Outcome: Unknown, Why: d.Why})
	}
	// Why: an answer that ends with its connection looks the same whether whole or cut.
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return fail(Failure{Outcome: Ran, Why: "replica's answer has no end that can be told"})
	}
	r := &Reply{Status: res.StatusCode, Header: d.Header, ContentType: res.Header.Get("Content-Type"), Length: res.ContentLength, Load: d.Load,
		raw: res.Body, cancel: cancel, until: q.Until, stall: s.stall, alive: q.Alive, goneOn: q.GoneOn, heard: q.Heard}
	if q.Stall > 0 {
		r.stall = q.Stall
	}
	if err := r.begin(res.Body, q.Whole); err != nil {
		return fail(Failure{Outcome: Unknown, Why: "broke off before the first piece: " + err.Error()})
	}
	if !late.end() {
		return fail(Failure{Outcome: Unknown, Why: "the first piece came too late"})
	}
	if q.Heard != nil {
		q.Heard()
	}
	r.watch()
	return r, nil
}

// begin waits for the first piece, or for the whole answer.
func (r *Reply) begin(body io.Reader, whole bool) error {
	if whole {
		b, err := io.ReadAll(io.LimitReader(body, maxWhole+1))
		if err != nil {
			return err
		}
		if len(b) > maxWhole {
			return errors.New("it is too large to be read whole")
		}
		r.body, r.Length = bytes.NewReader(b), int64(len(b))
		return nil
	}
	first := bufio.NewReaderSize(body, 4<<10)
	r.body = first
	if _, err := first.Peek(1); err != nil && err != io.EOF {
		return err
	}
	return nil
}
