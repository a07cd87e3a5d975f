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
	Target      route.Target
	Identity    attempt.Identity
	Deadline    time.Time
	FirstBy     time.Time // when the caller goes away if nothing has come; zero is the deadline
	Ticket      string    // the caller's own number
	ContentType string
	Method      string
	Path        string // with the query, as the caller wrote it
	Host        string
	Header      http.Header
	Body        []byte
	LastEvent   string // the event after which a stream is to go on
}

// Answer is what a replica answers.
type Answer struct {
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
	NoRoute      Reason = "unknown_target"
	Unauthorized Reason = "unauthorized"
	Bad          Reason = "bad"
	TooLarge     Reason = "too_large"
	Full         Reason = "full"
	TooLate      Reason = "too_late"
	Lost         Reason = "lost"
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
func (p *Proxy) starting(ctx context.Context) {
	defer p.waking.Add(-1)
	if p.waking.Add(1) > maxWaking {
		return
	}
	for !p.confirmed.Load() && p.env.Clock.Since()-p.began < p.s.Cadence.Start && run.Wait(ctx, wakeInterval) {
	}
}

// Ready is nil when requests are taken.
func (p *Proxy) Ready(ctx context.Context) *Refusal {
	if !p.confirmed.Load() {
		p.starting(ctx)
	}
	if !p.confirmed.Load() || p.stopping.Load() {
		return &Refusal{Reason: Full, Detail: "not serving yet, or no more", Outcome: attempt.NotRun, RetryAfter: time.Second}
	}
	// Why: it could not learn that a replica is leaving, so it may send to none; waiting would change nothing.
	if !p.inTouch(ctx) {
		return &Refusal{Reason: Full, Detail: "this proxy hears nobody who would tell it of leaving replicas", Outcome: attempt.NotRun, RetryAfter: 2 * time.Second}
	}
	return nil
}

// Conf is the configuration in force here.
func (p *Proxy) Conf() conf.Effective { return p.routes.Current().Conf }

// Takes says whether this proxy is to be given new connections.
func (p *Proxy) Takes() bool { return p.confirmed.Load() && !p.leaving.Load() && !p.routes.Isolated() }

// inTouch says whether this proxy may send to replicas. Why: a machine that has
// just woken is out of touch for a moment only, and what waited at its door need not be
// turned away for that; after a second nobody waits any more.
func (p *Proxy) inTouch(ctx context.Context) bool {
	if !p.routes.Isolated() {
		return true
	}
	defer p.waking.Add(-1)
	if p.waking.Add(1) > maxWaking {
		return false
	}
	for p.routes.Isolated() {
		now := p.env.Clock.Since()
		p.deafAt.CompareAndSwap(0, int64(now))
		if now-time.Duration(p.deafAt.Load()) > wakeFor || !run.Wait(ctx, wakeInterval) {
			return false
		}
	}
	return true
}

// Resolve picks the service of a request and checks the item that it names.
func (p *Proxy) Resolve(r conf.Route, item conf.Item) (route.Target, *Refusal) {
	cfg := p.routes.Current().Conf
	t := route.Target{Route: cfg.Resolve(r, rand.Float64())}
	unknown := func(what string) (route.Target, *Refusal) {
		return t, &Refusal{Reason: NoRoute, Detail: what, Outcome: attempt.NotRun}
	}
	if t.Route.Kind != "model" {
		return t, nil
	}
	if item.Model == "" {
		return t, &Refusal{Reason: Bad, Detail: "the route leads to models and the request names none", Outcome: attempt.NotRun}
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
func service(t route.Target) string {
	switch {
	case t.Route.Service != "":
		return t.Route.Service
	case t.Route.Kind == "model":
		return "models"
	}
	return t.Lane()
}

// Serve takes a request through admission and attempts to an answer.
func (p *Proxy) Serve(ctx context.Context, c Call) (*Answer, *Refusal) {
	if c.Target.Route.Kind == "model" {
		p.count(c.Target.Item)
	}
	p.serving.Add(1)
	if c.FirstBy.IsZero() || c.FirstBy.After(c.Deadline) {
		c.FirstBy = c.Deadline
	}
	w := &passage{p: p, call: c, began: time.Now(), outcome: attempt.NotRun}
	got, refusal := w.begin(ctx)
	w.giveBack()
	if refusal != nil {
		p.serving.Add(-1)
		p.log.Debug("refused", "item", c.Target.Item.String(), "reason", string(refusal.Reason), "outcome", string(refusal.Outcome),
			"attempts", w.number, "detail", refusal.Detail, "afterMs", time.Since(w.began).Milliseconds())
		return nil, refusal
	}
	a := &Answer{Replica: got.replica, Status: got.reply.Status, Header: got.reply.Header, ContentType: got.reply.ContentType, Length: got.reply.Length}
	var from io.ReadCloser = got
	if c.Target.Route.Resumable && c.Target.Route.Streaming && got.reply.Status == http.StatusOK {
		from, a.Length = newEventStream(ctx, w, got), -1
	}
	a.Body = relay.New(from, &p.cut, c.until(), func() { p.serving.Add(-1) })
	return a, nil
}

// overrun is how long after its deadline an answer that has begun may still end by itself.
const overrun = 100 * time.Millisecond

// until is when an answer that has begun is broken off.
func (c Call) until() time.Time { return c.Deadline.Add(overrun) }

// gaveUp is the final answer of a request that is not sent again.
func gaveUp(why string, sofar attempt.Outcome) *Refusal {
	// Why: one that has surely not run is as good as one turned away at admission, and its caller is told the same way.
	if sofar == attempt.NotRun {
		return &Refusal{Reason: Full, Detail: why, Outcome: sofar, RetryAfter: 2 * time.Second}
	}
	return &Refusal{Reason: Lost, Detail: why, Outcome: sofar, RetryAfter: 2 * time.Second}
}

// share is this proxy's part of the fleet's allowance for retries.
func (p *Proxy) share() float64 {
	if extra := p.s.Bounds.Retry.Extra; extra > 0 {
		return extra / float64(p.edges.Load())
	}
	return float64(p.routes.Current().Conf.Limits.RetryAllowance) / float64(p.edges.Load())
}

// turnedAway is the final answer of a request that got no replica.
func turnedAway(a queue.Answer, sofar attempt.Outcome) *Refusal {
	reason := Full
	if a.Late {
		reason = TooLate
	}
	// Why: an earlier attempt of the same request may have run, and that is what counts.
	return &Refusal{Reason: reason, Detail: a.Explanation, Outcome: sofar, RetryAfter: time.Duration(a.RetryS) * time.Second}
}
