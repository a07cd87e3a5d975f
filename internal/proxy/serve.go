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

// Call is one request as an API has read it.
type Call struct {
	Target            route.Target
	Identity          attempt.Identity
	Deadline          time.Time
	FirstByteDeadline time.Time // when the caller goes away if nothing has come; zero is the deadline
	RequestID         string    // the caller's own number
	ContentType       string
	Method            string
	Path              string // with the query, as the caller wrote it
	Host              string
	Header            http.Header
	Body              []byte
	LastEventID       string // the event after which a stream is to go on
}

// Answer is what a replica answers.
type Response struct {
	Replica     string
	Status      int
	Header      http.Header
	ContentType string
	Length      int64 // of the body; -1 is not known
	Body        *relay.Stream
}

// Reason says why a request got no answer of a replica.
type Reason string

// The reasons.
const (
	UnknownTarget    Reason = "unknown_target"
	Unauthorized     Reason = "unauthorized"
	BadRequest       Reason = "bad"
	TooLarge         Reason = "too_large"
	Unavailable      Reason = "full"
	DeadlineExceeded Reason = "too_late"
	ResponseLost     Reason = "lost"
)

// Refusal is the final answer of a request that is given up on.
type Refusal struct {
	Reason     Reason
	Detail     string
	Outcome    attempt.Outcome
	RetryAfter time.Duration // 0 says nothing
}

// starting waits until a proxy that has just started knows what is in force.
// Why: callers would come again and again, to be turned away each time.
func (p *Proxy) awaitConfirmed(ctx context.Context) {
	defer p.readyWaiters.Add(-1)
	if p.readyWaiters.Add(1) > maxReadyWaiters {
		return
	}
	for !p.confirmed.Load() && p.env.Clock.Since()-p.startedAt < p.settings.Cadence.Start && run.Wait(ctx, pollInterval) {
	}
}

// Ready is nil when requests are taken.
func (p *Proxy) Ready(ctx context.Context) *Refusal {
	if !p.confirmed.Load() {
		p.awaitConfirmed(ctx)
	}
	if !p.confirmed.Load() || p.stopping.Load() {
		return &Refusal{Reason: Unavailable, Detail: "not serving yet, or no more", Outcome: attempt.NotRun, RetryAfter: time.Second}
	}
	// Why: it could not learn that a replica is leaving, so it may send to none; waiting would change nothing.
	if !p.awaitContact(ctx) {
		return &Refusal{Reason: Unavailable, Detail: "this proxy hears nobody who would tell it of leaving replicas", Outcome: attempt.NotRun, RetryAfter: 2 * time.Second}
	}
	return nil
}

// Conf is the configuration in force here.
func (p *Proxy) Conf() conf.Effective { return p.routes.Now().Conf }

// Takes says whether this proxy is to be given new connections.
func (p *Proxy) AcceptsConnections() bool {
	return p.confirmed.Load() && !p.draining.Load() && !p.routes.Deaf()
}

// inTouch says whether this proxy may send to replicas. Why: a machine that has
// just woken is out of touch for a moment only, and what waited at its door need not be
// turned away for that; after a second nobody waits any more.
func (p *Proxy) awaitContact(ctx context.Context) bool {
	if !p.routes.Deaf() {
		return true
	}
	defer p.readyWaiters.Add(-1)
	if p.readyWaiters.Add(1) > maxReadyWaiters {
		return false
	}
	for p.routes.Deaf() {
		now := p.env.Clock.Since()
		p.isolatedAt.CompareAndSwap(0, int64(now))
		if now-time.Duration(p.isolatedAt.Load()) > isolationWait || !run.Wait(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// Resolve picks the service of a request and checks the item that it names.
func (p *Proxy) Resolve(r conf.Route, item conf.Item) (route.Target, *Refusal) {
	cfg := p.routes.Now().Conf
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

// service is what retries are counted against.
func retryBudgetKey(t route.Target) string {
	switch {
	case t.Route.Service != "":
		return t.Route.Service
	case t.Route.Kind == "model":
		return "models"
	}
	return t.Lane()
}

// Serve takes a request through admission and attempts to an answer.
func (p *Proxy) Serve(ctx context.Context, c Call) (*Response, *Refusal) {
	if c.Target.Route.Kind == "model" {
		p.countDemand(c.Target.Item)
	}
	p.serving.Add(1)
	if c.FirstByteDeadline.IsZero() || c.FirstByteDeadline.After(c.Deadline) {
		c.FirstByteDeadline = c.Deadline
	}
	w := &dispatch{proxy: p, call: c, startedAt: time.Now(), outcome: attempt.NotRun}
	got, refusal := w.awaitReply(ctx)
	w.releaseReservedRetry()
	if refusal != nil {
		p.serving.Add(-1)
		p.log.Debug("refused", "item", c.Target.Item.String(), "reason", string(refusal.Reason), "outcome", string(refusal.Outcome),
			"attempts", w.attempts, "detail", refusal.Detail, "afterMs", time.Since(w.startedAt).Milliseconds())
		return nil, refusal
	}
	a := &Response{Replica: got.replica, Status: got.reply.Status, Header: got.reply.Header, ContentType: got.reply.ContentType, Length: got.reply.Length}
	var from io.ReadCloser = got
	if c.Target.Route.Resumable && c.Target.Route.Streaming && got.reply.Status == http.StatusOK {
		from, a.Length = newEventStream(ctx, w, got), -1
	}
	a.Body = relay.New(from, &p.truncated, c.cutoff(), func() { p.serving.Add(-1) })
	return a, nil
}

// overrun is how long after its deadline an answer that has begun may still end by itself.
const cutoffSlack = 100 * time.Millisecond

// until is when an answer that has begun is broken off.
func (c Call) cutoff() time.Time { return c.Deadline.Add(cutoffSlack) }

// gaveUp is the final answer of a request that is not sent again.
func noRetryRefusal(why string, sofar attempt.Outcome) *Refusal {
	// Why: one that has surely not run is as good as one turned away at admission, and its caller is told the same way.
	if sofar == attempt.NotRun {
		return &Refusal{Reason: Unavailable, Detail: why, Outcome: sofar, RetryAfter: 2 * time.Second}
	}
	return &Refusal{Reason: ResponseLost, Detail: why, Outcome: sofar, RetryAfter: 2 * time.Second}
}

// share is this proxy's part of the fleet's allowance for retries.
func (p *Proxy) retryShare() float64 {
	if extra := p.settings.Bounds.Retry.Extra; extra > 0 {
		return extra / float64(p.edgeCount.Load())
	}
	return float64(p.routes.Now().Conf.Limits.RetryAllowance) / float64(p.edgeCount.Load())
}

// turnedAway is the final answer of a request that got no replica.
func admissionRefusal(a queue.Answer, sofar attempt.Outcome) *Refusal {
	reason := Unavailable
	if a.Late {
		reason = DeadlineExceeded
	}
	// Why: an earlier attempt of the same request may have run, and that is what counts.
	return &Refusal{Reason: reason, Detail: a.Why, Outcome: sofar, RetryAfter: time.Duration(a.RetryS) * time.Second}
}
