// Package attempt sends one request to one replica, at most once, and reports reliably
// whether it ran, did not run, or may have run. It also owns the retry budget.
package attempt

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
)

// Outcome is whether a request ran on a replica.
type Outcome string

// Outcomes of an attempt. Unknown means that the request may have run.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Failure is the result of an attempt without a response to relay.
type Failure struct {
	Outcome      Outcome
	NotConnected bool // no connection could be established
	Rejected     bool // the replica itself rejected the request without running it
	ItemMissing  bool // it was rejected because the replica does not hold the requested item
	Reason       string
	Load         Load
}

func (f *Failure) Error() string { return "attempt: " + string(f.Outcome) + ": " + f.Reason }

// Load is the load that a replica reports with a response.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Protocol encodes requests to replicas and decodes the heads of their responses.
type Protocol interface {
	// Encode builds the request; net/http must not be able to rewind its body.
	Encode(ctx context.Context, q Request) (*http.Request, error)
	// Decode interprets the head of a response.
	Decode(q Request, res *http.Response) Decision
}

// Decision is the interpretation of the head of a response.
type Decision struct {
	Outcome       Outcome
	Matched       bool // the response is known to belong to the request; only then is its connection used again
	Relay         bool // the response is to be relayed
	Rejected      bool // the replica itself rejected the request without running it
	ItemMissing   bool // it was rejected because the replica does not hold the requested item
	ReplicaFailed bool // the response reports a failure of the replica itself
	Reason        string
	Load          Load
	Header        http.Header // headers to be relayed
}

// Sender sends requests to replicas.
type Sender struct {
	http         *http.Client
	protocol     Protocol
	stallTimeout time.Duration
}

// NewSender returns a sender that dials through n. A response without data for stallTimeout is ended.
func NewSender(n wire.Network, protocol Protocol, stallTimeout time.Duration) *Sender {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := n.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: c}, nil
	}
	return &Sender{stallTimeout: stallTimeout, protocol: protocol, http: &http.Client{
		Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second,
			DisableCompression: true, MaxResponseHeaderBytes: 64 << 10, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (s *Sender) Close() { s.http.CloseIdleConnections() }

// Identity is the tenant that a caller has authenticated as.
type Identity struct {
	Required bool   // callers authenticate with keys here, which replicas must not see
	Tenant   string // owner of the key; "" if the caller sent no known key
}

// Request is a request to one replica, with the limits of the attempt.
type Request struct {
	ReplicaID         string
	Addr              string
	Item              conf.Item
	RequestID         string // the caller's own ID for the request
	ContentType       string
	Method            string
	Path              string // with the query, exactly as sent by the caller
	Host              string
	Header            http.Header
	Body              []byte
	Number            int    // 1 for the first attempt
	Rank              int    // 0 is the most urgent
	Tenant            string // owner of the request; "" if no tenants are configured
	Share             int    // weight of the tenant
	Identity          Identity
	Urgency           int           // urgency level within the tenant; 0 is the most urgent
	TimeLeft          time.Duration // how long the caller will still wait
	LastEventID       string        // ID of the event after which a stream resumes
	Buffered          bool          // the response is read to its end before it is relayed
	StallTimeout      time.Duration // longest silence within the response; 0 means the sender's default
	FirstByteDeadline time.Time     // deadline for the first byte of the response
	Cutoff            time.Time     // when a response that has started is cut off; zero means never
	// Alive reports whether the replica has recently sent data on any request. While it has, a silence
	// before AliveDeadline or within the response is tolerated; nil tolerates none.
	Alive         func() bool
	AliveDeadline time.Time
	// OnlyReplica reports whether no other replica could respond. While that is so, a silence before
	// OnlyReplicaDeadline is tolerated; nil tolerates none.
	OnlyReplica         func() bool
	OnlyReplicaDeadline time.Time
	// FailOver is called when a response that has started is silent for too long. It reports whether another replica
	// has started to resume it; until then the silence is tolerated. Nil ends the response at once.
	FailOver func() bool
	OnData   func()      // called whenever data arrives
	CanRetry bool        // another attempt may be made after a failure
	Sendable func() bool // called right before the first byte is sent
	// Connections are those that earlier attempts of the same request were sent on; this attempt is sent on another
	// one. Nil if there is only one attempt.
	Connections *Connections
}

// Send sends the request once and waits for the first byte of the response, or for all of a buffered one.
func (s *Sender) Send(ctx context.Context, q Request) (*Reply, *Failure) {
	ctx, cancel := context.WithCancel(ctx)
	timer := newFirstByteTimer(q, cancel)
	res, d, failure := s.exchange(ctx, q)
	if failure != nil {
		timer.stop()
		cancel()
		return nil, failure
	}
	fail := func(f Failure) (*Reply, *Failure) {
		timer.stop()
		cancel()
		_ = res.Body.Close()
		f.Load = d.Load
		return nil, &f
	}
	if !d.Relay {
		return fail(Failure{Outcome: d.Outcome, Rejected: d.Rejected, ItemMissing: d.ItemMissing, Reason: d.Reason})
	}
	if d.ReplicaFailed && q.CanRetry {
		return fail(Failure{Outcome: Unknown, Reason: d.Reason})
	}
	// A response that ends with its connection looks the same whether complete or truncated.
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return fail(Failure{Outcome: Ran, Reason: "replica's answer has no end that can be told"})
	}
	r := &Reply{Status: res.StatusCode, Header: d.Header, ContentType: res.Header.Get("Content-Type"), Length: res.ContentLength, Load: d.Load,
		raw: res.Body, cancel: cancel, cutoff: q.Cutoff, stallTimeout: s.stallTimeout, alive: q.Alive, failOver: q.FailOver, onData: q.OnData}
	if q.StallTimeout > 0 {
		r.stallTimeout = q.StallTimeout
	}
	if err := r.awaitFirstByte(res.Body, q.Buffered); err != nil {
		return fail(Failure{Outcome: Unknown, Reason: "broke off before the first piece: " + err.Error()})
	}
	if !timer.stop() {
		return fail(Failure{Outcome: Unknown, Reason: "the first piece came too late"})
	}
	if q.OnData != nil {
		q.OnData()
	}
	r.watch()
	return r, nil
}

// exchange sends the request on a connection that suits it, waits for the head of the response and decodes it.
func (s *Sender) exchange(ctx context.Context, q Request) (*http.Response, Decision, *Failure) {
	for {
		gate := newSendGate(q)
		req, err := s.protocol.Encode(httptrace.WithClientTrace(ctx, gate.trace()), q)
		if err != nil {
			return nil, Decision{}, &Failure{Outcome: NotRun, Reason: err.Error()}
		}
		res, err := s.http.Do(req)
		if err == nil {
			d := s.protocol.Decode(q, res)
			gate.settle(d.Matched)
			return res, d, nil
		}
		notSent := gate.withdraw()
		gate.settle(false)
		switch {
		case !notSent:
			return nil, Decision{}, &Failure{Outcome: Unknown, Reason: err.Error()}
		// net/http has closed the connection that did not suit, so the loop ends with a new connection at the latest.
		case gate.refusedConnection.Load() && ctx.Err() == nil:
		default:
			return nil, Decision{}, &Failure{Outcome: NotRun, NotConnected: !errors.Is(err, errWithdrawn) && !errors.Is(err, context.Canceled), Reason: err.Error()}
		}
	}
}
