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
const maxBufferedResponse = 4 << 20

// Failure is an attempt that brought no answer to pass on.
type Failure struct {
	Outcome Outcome
	Refused bool // no connection was to be had
	Said    bool // the replica itself said that it would not run it
	Missing bool // and that was because it does not hold what was asked for
	Reason  string
	Load    Load
}

func (f *Failure) Error() string { return "attempt: " + string(f.Outcome) + ": " + f.Reason }

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
	Reason  string
	Load    Load
	Header  http.Header // to be passed on
}

// Sender sends requests to replicas.
type Sender struct {
	http         *http.Client
	protocol     Protocol
	stallTimeout time.Duration
}

// NewSender dials through n. A stream that brings nothing for stall is given up.
func NewSender(n wire.Net, protocol Protocol, stall time.Duration) *Sender {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := n.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: c}, nil
	}
	return &Sender{stallTimeout: stall, protocol: protocol, http: &http.Client{
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
	ReplicaID   string // of the replica
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
	TimeLeft    time.Duration // that the caller will wait
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
	OnData   func()      // called whenever a piece comes
	CanRetry bool        // another attempt may be made after a failure
	Sendable func() bool // asked right before the first byte leaves
}

// Reply is an answer that has begun.
type Reply struct {
	Status        int
	Header        http.Header
	ContentType   string
	Length        int64 // of the body; -1 is not known
	Load          Load
	body          io.Reader
	raw           io.ReadCloser
	cancel        context.CancelFunc
	cutoff        time.Time // it is broken off then; zero is never
	stallTimeout  time.Duration
	alive         func() bool
	failOver      func() bool
	onData        func()
	startedAt     time.Time
	reading       atomic.Bool
	readStartedAt atomic.Int64 // when the last read began, since begunAt
	stallTimer    *time.Timer  // runs on from piece to piece, and looks how long a read has lasted
	closed        atomic.Bool
	closeOnce     sync.Once
}

// patienceStep is how often a silence that is borne is looked at again.
const silenceCheckInterval = 50 * time.Millisecond

// Read reads pieces as they come; a stream that stalls or breaks off is an error.
func (r *Reply) Read(p []byte) (int, error) {
	r.readStartedAt.Store(int64(time.Since(r.startedAt)))
	r.reading.Store(true)
	n, err := r.body.Read(p)
	r.reading.Store(false)
	if n > 0 && r.onData != nil {
		r.onData()
	}
	return n, err
}

// watch has silences, and the end of the answer's time, looked for from now on.
func (r *Reply) watch() {
	r.startedAt = time.Now()
	// Why: the timer is in its place before it can go off.
	r.stallTimer = time.AfterFunc(time.Hour, r.check)
	r.checkAfter(r.stallTimeout)
}

// lookIn has the answer looked at after a while, or when its time is over.
func (r *Reply) checkAfter(while time.Duration) {
	if !r.cutoff.IsZero() {
		while = min(while, time.Until(r.cutoff))
	}
	r.stallTimer.Reset(while)
}

// look ends an answer whose time is over, and one that brings nothing.
func (r *Reply) check() {
	switch {
	case r.closed.Load():
	case !r.cutoff.IsZero() && !time.Now().Before(r.cutoff):
		r.cancel()
	default:
		r.checkStall()
	}
}

// stalled ends an answer that brings nothing, unless its replica is heard on others, or
// nobody has gone on with it.
func (r *Reply) checkStall() {
	if !r.reading.Load() {
		r.checkAfter(r.stallTimeout)
		return
	}
	if left := r.stallTimeout - time.Since(r.startedAt) + time.Duration(r.readStartedAt.Load()); left > 0 {
		r.checkAfter(left)
		return
	}
	if r.alive != nil && r.alive() || r.failOver != nil && !r.failOver() {
		r.checkAfter(silenceCheckInterval)
		return
	}
	r.cancel()
}

// Close ends the attempt.
func (r *Reply) Close() error {
	r.closeOnce.Do(func() {
		r.closed.Store(true)
		r.stallTimer.Stop()
		r.cancel()
		_ = r.raw.Close()
	})
	return nil
}

// Send sends the request once and waits for the first piece of the answer.
func (s *Sender) Send(ctx context.Context, q Request) (*Reply, *Failure) {
	ctx, cancel := context.WithCancel(ctx)
	p := &sendGate{sendable: q.Sendable}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*gatedConn); ok {
			c.gate.Store(p)
		}
	}}
	req, err := s.protocol.Encode(httptrace.WithClientTrace(ctx, trace), q)
	if err != nil {
		cancel()
		return nil, &Failure{Outcome: NotRun, Reason: err.Error()}
	}
	late := newFirstByteTimer(q, cancel)
	res, err := s.http.Do(req)
	if err != nil {
		late.stop()
		cancel()
		if p.withdraw() {
			return nil, &Failure{Outcome: NotRun, Refused: !errors.Is(err, errWithdrawn) && !errors.Is(err, context.Canceled), Reason: err.Error()}
		}
		return nil, &Failure{Outcome: Unknown, Reason: err.Error()}
	}
	d := s.protocol.Decode(q, res)
	fail := func(f Failure) (*Reply, *Failure) {
		late.stop()
		cancel()
		_ = res.Body.Close()
		f.Load = d.Load
		return nil, &f
	}
	if !d.Relay {
		return fail(Failure{Outcome: d.Outcome, Said: d.Said, Missing: d.Missing, Reason: d.Reason})
	}
	if d.Failed && q.CanRetry {
		return fail(Failure{Outcome: Unknown, Reason: d.Reason})
	}
	// Why: an answer that ends with its connection looks the same whether whole or cut.
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return fail(Failure{Outcome: Ran, Reason: "replica's answer has no end that can be told"})
	}
	r := &Reply{Status: res.StatusCode, Header: d.Header, ContentType: res.Header.Get("Content-Type"), Length: res.ContentLength, Load: d.Load,
		raw: res.Body, cancel: cancel, cutoff: q.Until, stallTimeout: s.stallTimeout, alive: q.Alive, failOver: q.GoneOn, onData: q.OnData}
	if q.Stall > 0 {
		r.stallTimeout = q.Stall
	}
	if err := r.awaitFirstByte(res.Body, q.Whole); err != nil {
		return fail(Failure{Outcome: Unknown, Reason: "broke off before the first piece: " + err.Error()})
	}
	if !late.stop() {
		return fail(Failure{Outcome: Unknown, Reason: "the first piece came too late"})
	}
	if q.OnData != nil {
		q.OnData()
	}
	r.watch()
	return r, nil
}

// begin waits for the first piece, or for the whole answer.
func (r *Reply) awaitFirstByte(body io.Reader, whole bool) error {
	if whole {
		b, err := io.ReadAll(io.LimitReader(body, maxBufferedResponse+1))
		if err != nil {
			return err
		}
		if len(b) > maxBufferedResponse {
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
