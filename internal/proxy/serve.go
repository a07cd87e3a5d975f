package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"drumstall.example/internal/attempt"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/queue"
	"drumstall.example/internal/relay"
	"drumstall.example/internal/route"
)

// Call is one request as decoded by an API.
type Call struct {
	Target            route.Target
	Identity          attempt.Identity
	Deadline          time.Time
	FirstByteDeadline time.Time // when the caller disconnects if no data has arrived; zero means Deadline
	RequestID         string    // the caller's own ID for the request
	ContentType       string
	Method            string
	Path              string // with the query, exactly as sent by the caller
	Host              string
	Header            http.Header
	Body              []byte
	LastEventID       string // ID of the event after which a stream is to resume
}

// Response is the response of a replica.
type Response struct {
	Replica     string
	Status      int
	Header      http.Header
	ContentType string
	Length      int64 // of the body; -1 if unknown
	Body        *relay.Stream
}

// Reason is why a request reply no response body a replica.
type Reason string

// Reasons of refusals.
const (
	UnknownTarget    Reason = "unknown_target"
	Unauthorized     Reason = "unauthorized"
	BadRequest       Reason = "bad"
	TooLarge         Reason = "too_large"
	Unavailable      Reason = "full"
	DeadlineExceeded Reason = "too_late"
	ResponseLost     Reason = "lost"
)

// Refusal is the final result of a request that is not served.
type Refusal struct {
	Reason     Reason
	Detail     string
	Outcome    attempt.Outcome
	RetryAfter time.Duration // 0 means none
}

// awaitConfirmed waits until a newly started proxy has a confirmed configuration.
// Otherwise callers would retry and be refused over and over.
func (p *Proxy) awaitConfirmed(ctx context.Context) {
	defer p.readyWaiters.Add(-1)
	if p.readyWaiters.Add(1) > maxReadyWaiters {
		return
	}
	for !p.confirmed.Load() && p.env.Clock.Since()-p.startedAt < p.settings.Cadence.StartupHold && run.Sleep(ctx, pollInterval) {
	}
}

// Ready returns nil if the proxy accepts requests. It may wait for a short time for a proxy that is starting or isolated.
func (p *Proxy) Ready(ctx context.Context) *Refusal {
	if !p.confirmed.Load() {
		p.awaitConfirmed(ctx)
	}
	if !p.confirmed.Load() || p.stopping.Load() {
		return &Refusal{Reason: Unavailable, Detail: "not serving yet, or no more", Outcome: attempt.NotRun, RetryAfter: time.Second}
	}
	// An isolated proxy cannot learn that a replica is draining, so it must not send to any; queueing would not help.
	if !p.awaitContact(ctx) {
		return &Refusal{Reason: Unavailable, Detail: "this proxy hears nobody who would tell it of leaving replicas", Outcome: attempt.NotRun, RetryAfter: 2 * time.Second}
	}
	return nil
}

// Conf returns the active configuration.
func (p *Proxy) Conf() conf.Effective { return p.routes.Current().Conf }

// AcceptsConnections reports whether this proxy should be given new connections.
func (p *Proxy) AcceptsConnections() bool {
	return p.confirmed.Load() && !p.draining.Load() && !p.routes.Isolated()
}

// awaitContact reports whether this proxy may send to replicas. A machine that has just resumed is isolated for a
// moment only, so pending requests wait instead of being refused; after isolationWait (one second) none waits any more.
func (p *Proxy) awaitContact(ctx context.Context) bool {
	if !p.routes.Isolated() {
		return true
	}
	defer p.readyWaiters.Add(-1)
	if p.readyWaiters.Add(1) > maxReadyWaiters {
		return false
	}
	for p.routes.Isolated() {
		now := p.env.Clock.Since()
		p.isolatedAt.CompareAndSwap(0, int64(now))
		if now-time.Duration(p.isolatedAt.Load()) > isolationWait || !run.Sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// Resolve picks the service of a request and checks the model and adapter that it names.
func (p *Proxy) Resolve(r conf.Route, item conf.Item) (route.Target, *Refusal) {
	cfg := p.routes.Current().Conf
	t := route.Target{Route: cfg.Resolve(r, rand.Float64())}
	unknown := func(what string) (route.Target, *Refusal) {
		return t, &Refusal{Reason: UnknownTarget, Detail: what, Outcome: attempt.NotRun}
	}
	if t.Route.Kind != "model" {
		return t, nil
	}
	if item.Model == "" {
		return t, &Refusal{Reason: BadRequest, Detail: "the route leads to models and the request names none", Outcome: attempt.NotRun}
	}
	m, found := cfg.Models[item.Model]
	if !found {
		return unknown("no model " + item.Model)
	}
	if item.Adapter != "" && !m.Adapters[item.Adapter] {
		return unknown("model " + item.Model + " has no adapter " + item.Adapter)
	}
	t.Item = item
	return t, nil
}

// retryBudgetKey returns the key that retries of a request are counted under.
func retryBudgetKey(t route.Target) string {
	switch {
	case t.Route.Service != "":
		return t.Route.Service
	case t.Route.Kind == "model":
		return "models"
	}
	return t.Lane()
}

// Serve takes a request through admission and its attempts, and returns the response or a refusal.
func (p *Proxy) Serve(ctx context.Context, c Call) (*Response, *Refusal) {
	if c.Target.Route.Kind == "model" {
		p.countDemand(c.Target.Item)
	}
	p.serving.Add(1)
	if c.FirstByteDeadline.IsZero() || c.FirstByteDeadline.After(c.Deadline) {
		c.FirstByteDeadline = c.Deadline
	}
	d := &dispatch{proxy: p, call: c, startedAt: time.Now(), outcome: attempt.NotRun}
	active, refusal := d.awaitReply(ctx)
	d.releaseReservedRetry()
	if refusal != nil {
		p.serving.Add(-1)
		p.log.Debug("refused", "item", c.Target.Item.String(), "reason", string(refusal.Reason), "outcome", string(refusal.Outcome),
			"attempts", d.attempts, "detail", refusal.Detail, "afterMs", time.Since(d.startedAt).Milliseconds())
		return nil, refusal
	}
	a := &Response{Replica: active.replica, Status: active.reply.Status, Header: active.reply.Header, ContentType: active.reply.ContentType, Length: active.reply.Length}
	var body io.ReadCloser = active
	if c.Target.Route.Resumable && c.Target.Route.Streaming && active.reply.Status == http.StatusOK {
		body, a.Length = newEventStream(ctx, d, active), -1
	}
	a.Body = relay.New(body, &p.truncated, c.cutoff(), func() { p.serving.Add(-1) })
	return a, nil
}

// cutoffSlack is how long after its deadline a response that has started may still end by itself.
const cutoffSlack = 100 * time.Millisecond

// cutoff returns when a response that has started is cut off.
func (c Call) cutoff() time.Time { return c.Deadline.Add(cutoffSlack) }

// noRetryRefusal is the refusal of a request that is not retried.
func noRetryRefusal(why string, outcome attempt.Outcome) *Refusal {
	// A request that certainly has not run is refused in the same way as one rejected at admission.
	if outcome == attempt.NotRun {
		return &Refusal{Reason: Unavailable, Detail: why, Outcome: outcome, RetryAfter: 2 * time.Second}
	}
	return &Refusal{Reason: ResponseLost, Detail: why, Outcome: outcome, RetryAfter: 2 * time.Second}
}

// retryShare returns this proxy's share of the fleet's retry allowance.
func (p *Proxy) retryShare() float64 {
	if extra := p.settings.Bounds.Retry.Extra; extra > 0 {
		return extra / float64(p.edgeCount.Load())
	}
	return float64(p.routes.Current().Conf.Limits.RetryAllowance) / float64(p.edgeCount.Load())
}

// admissionRefusal is the refusal of a request that reply no replica.
func admissionRefusal(a queue.Answer, outcome attempt.Outcome) *Refusal {
	reason := Unavailable
	if a.Late {
		reason = DeadlineExceeded
	}
	// An earlier attempt of the same request may have run, so the outcome so far is reported.
	return &Refusal{Reason: reason, Detail: a.Explanation, Outcome: outcome, RetryAfter: time.Duration(a.RetryS) * time.Second}
}
