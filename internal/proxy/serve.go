package proxy

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"drumstall.example/internal/attempt"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/holding"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/relay"
	"drumstall.example/internal/route"
)

// Call is one request as a face has read it.
type Call struct {
	Target      route.Target
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
	NoRoute  Reason = "unknown_target"
	Bad      Reason = "bad"
	TooLarge Reason = "too_large"
	Full     Reason = "full"
	TooLate  Reason = "too_late"
	Lost     Reason = "lost"
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
	for !p.confirmed.Load() && p.env.Clock.Since()-p.began < p.s.Cadence.Start && run.Wait(ctx, wakeBeat) {
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
func (p *Proxy) Conf() conf.Effective { return p.routes.Now().Conf }

// Takes says whether this proxy is to be given new connections.
func (p *Proxy) Takes() bool { return p.confirmed.Load() && !p.leaving.Load() && !p.routes.Deaf() }

// inTouch says whether this proxy may send to replicas. Why: a machine that has
// just woken is out of touch for a moment only, and what waited at its door need not be
// turned away for that; after a second nobody waits any more.
func (p *Proxy) inTouch(ctx context.Context) bool {
	if !p.routes.Deaf() {
		return true
	}
	defer p.waking.Add(-1)
	if p.waking.Add(1) > maxWaking {
		return false
	}
	for p.routes.Deaf() {
		now := p.env.Clock.Since()
		p.deafAt.CompareAndSwap(0, int64(now))
		if now-time.Duration(p.deafAt.Load()) > wakeFor || !run.Wait(ctx, wakeBeat) {
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

// passage is one request's way to an answer.
type passage struct {
	p        *Proxy
	call     Call
	began    time.Time
	number   int // attempts so far
	arrived  int // of which so many may have reached a replica
	outcome  attempt.Outcome
	reserved atomic.Bool // a retry is set aside for this request
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
	a.Body = relay.New(from, &p.cut, func() { p.serving.Add(-1) })
	return a, nil
}

// begun is a reply and the place that it takes at its replica.
type begun struct {
	reply   *attempt.Reply
	replica string
	done    func()
	log     *slog.Logger
	item    string
	load    int           // requests on the replica when this one was sent
	waited  time.Duration // until it was sent
	tokens  int           // of the prompt
	first   time.Duration
	lastAt  time.Time
	pause   time.Duration // the longest between two pieces
	bound   time.Duration // a longer one says that the replica has too much to do
	press   func()
}

// pressedPart of what should not occur is where a replica counts as having too much to do.
const pressedPart = 2

// Read reads the reply.
func (b *begun) Read(to []byte) (int, error) {
	n, err := b.reply.Read(to)
	if n > 0 {
		now := time.Now()
		if !b.lastAt.IsZero() {
			b.pause = max(b.pause, now.Sub(b.lastAt))
		}
		if b.press != nil && b.pause > b.bound {
			b.press()
			b.press = nil
		}
		b.lastAt = now
	}
	return n, err
}

// Close ends the attempt and gives its place back.
func (b *begun) Close() error {
	err := b.reply.Close()
	b.done()
	b.log.Debug("answer ended", "replica", b.replica, "item", b.item, "load", b.load, "waitedMs", b.waited.Milliseconds(), "tokens", b.tokens, "firstMs", b.first.Milliseconds(), "pauseMs", b.pause.Milliseconds())
	return err
}

func (w *passage) giveBack() {
	if w.reserved.Swap(false) {
		w.p.budget.Return(service(w.call.Target))
	}
}

// begin makes attempts until an answer begins or none may be made any more.
func (w *passage) begin(ctx context.Context) (*begun, *Refusal) {
	p, svc, t := w.p, service(w.call.Target), &w.call.Target
	for {
		w.number++
		a := p.gate.Enter(ctx, *t, t.Route.Class, w.call.FirstBy)
		if a.Replica == nil {
			return nil, turnedAway(a, w.outcome)
		}
		// Why: a retry is only one once an earlier attempt may have reached the service, whether or not it ran there.
		switch {
		case w.arrived == 0:
		case w.reserved.Swap(false):
			p.budget.Spend(svc)
		case !p.budget.Retry(svc):
			a.Done()
			return nil, gaveUp("the budget for retries is used up", w.outcome)
		}
		sentAt := time.Now()
		firstBy, early := w.firstBy(a.Replica, sentAt)
		w.reserved.Store(early)
		reply, failure := p.sender.Send(ctx, w.request(a.Replica, firstBy))
		if w.number == 1 {
			p.budget.First(svc, p.share())
		}
		if failure == nil || !failure.Refused {
			w.arrived++
		}
		if failure == nil {
			a.Replica.Live.First(time.Since(sentAt))
			a.Begun()
			if t.Route.Streaming && t.Route.Target > 0 && time.Since(sentAt) > t.Route.Target/pressedPart {
				p.routes.Press(t.Item)
			}
			p.heard(a.Replica, reply.Load)
			b := &begun{reply: reply, replica: a.Replica.Listed.ID, done: a.Done, log: p.log, item: t.Item.String(),
				load: a.Replica.Load(), waited: sentAt.Sub(w.began), tokens: t.Prompt.Size(), first: time.Since(sentAt)}
			if item := t.Item; t.Route.GapTarget > 0 && item.Model != "" {
				b.bound, b.press = t.Route.GapTarget/pressedPart, func() { p.routes.Press(item) }
			}
			return b, nil
		}
		a.Done()
		if refusal := w.failed(ctx, a.Replica, failure, sentAt, firstBy, early); refusal != nil {
			return nil, refusal
		}
	}
}

func (p *Proxy) heard(r *route.Replica, l attempt.Load) {
	if l.Known {
		p.routes.Heard(r, l.Running, l.Waiting)
	}
}

// failed notes what a failure says of its replica; nil says that another
// attempt may be made.
func (w *passage) failed(ctx context.Context, r *route.Replica, f *attempt.Failure, sentAt, firstBy time.Time, early bool) *Refusal {
	p, t := w.p, &w.call.Target
	p.heard(r, f.Load)
	switch silent := f.Outcome == attempt.Unknown && !time.Now().Before(firstBy); {
	case silent && early:
		// Why: a replica that has become slower must not be taken for silent for ever.
		r.Live.First(time.Since(sentAt))
		p.routes.Silent(r)
	case f.Missing:
		p.routes.Missing(r, t.Item)
	case f.Said:
		p.routes.Full(r)
	case silent, f.Refused:
		p.routes.Refused(r)
	}
	t.Avoid = r.Listed.ID
	if f.Outcome == attempt.Unknown {
		w.outcome = attempt.Unknown
	}
	again := f.Outcome == attempt.NotRun || f.Outcome == attempt.Unknown && t.Route.Repeatable
	late := !time.Now().Before(w.call.FirstBy) || ctx.Err() != nil
	switch {
	case f.Outcome == attempt.Ran:
		return &Refusal{Reason: Lost, Detail: f.Why, Outcome: attempt.Ran}
	case late:
		return &Refusal{Reason: TooLate, Detail: f.Why, Outcome: w.outcome, RetryAfter: time.Second}
	case !again || w.number >= t.Route.Attempts:
		return gaveUp(f.Why, w.outcome)
	}
	return nil
}

func (w *passage) request(r *route.Replica, firstBy time.Time) attempt.Request {
	c, id := w.call, r.Listed.ID
	q := attempt.Request{ID: id, Addr: r.Listed.Addr, Item: c.Target.Item, Ticket: c.Ticket, ContentType: c.ContentType, Method: c.Method, Path: c.Path,
		Host: c.Host, Header: c.Header, Body: c.Body, Number: w.arrived + 1, Rank: w.p.Conf().Classes[c.Target.Route.Class].Rank, Left: time.Until(c.Deadline),
		LastEvent: c.LastEvent, FirstBy: firstBy, Sendable: func() bool { return w.p.routes.Sendable(id) }}
	// Why: what may run again is only worth passing on whole; a part of it would have to be broken off.
	q.Whole = c.Target.Route.Service != "" && c.Target.Route.Repeatable && !c.Target.Route.Streaming
	q.Again = c.Target.Route.Repeatable && w.number < c.Target.Route.Attempts
	q.Heard = func() { w.p.routes.HeardFrom(r) }
	if c.Target.Route.Resumable && c.Target.Route.GapTarget > 0 {
		// Why: a pause that is too long is late already; what must be told is a replica that stands still from one
		// that is slow, and its other answers tell.
		q.Stall = stallTimes * c.Target.Route.GapTarget
		q.Alive = func() bool { return w.p.routes.Alive(r) || !w.mayGoOn(r) }
		q.FirstAtLast = time.Now().Add(time.Until(c.FirstBy) / 2)
	}
	return q
}

// mayGoOn says whether another replica could go on with a request that r is silent
// on, and sets a retry aside for it. Why: silence alone is no reason to end an answer.
func (w *passage) mayGoOn(r *route.Replica) bool {
	t := w.call.Target
	if w.number >= t.Route.Attempts || !w.p.routes.Others(t, r.Listed.ID) {
		return false
	}
	if w.reserved.Load() {
		return true
	}
	if !w.p.budget.Keep(service(t)) {
		return false
	}
	w.reserved.Store(true)
	return true
}

// stallTimes the pause that should not occur is what a stream may be silent for
// before its replica is doubted.
const stallTimes = 2

// firstBy is by when an attempt's first piece must have come. early says that
// this is sooner than anything but the replica's own habit asks for.
func (w *passage) firstBy(r *route.Replica, now time.Time) (by time.Time, early bool) {
	p, t, deadline := w.p, w.call.Target, w.call.FirstBy
	hurried := p.routes.Now().Conf.Classes[t.Route.Class].Urgent || t.Route.Target > 0
	if !t.Route.Repeatable || w.number >= t.Route.Attempts || !hurried {
		return deadline, false
	}
	// Why: a replica that went dark would eat an urgent request's whole deadline; half of it leaves time for another.
	by = now.Add(deadline.Sub(now) / 2)
	// Why: the first honest sign that a replica stands still is that it is silent for longer than it has been of
	// late. It is given up for that only where another could answer, and with a retry set aside: one that somebody
	// else took meanwhile would leave this request without any answer.
	own := r.Live.Patience()
	if t.Route.Streaming {
		own = max(own, t.Route.Target)
	} else if half := t.Route.Target / 2; own > 0 && half > own {
		own = half
	}
	if own > 0 && now.Add(own).Before(by) && p.routes.Others(t, r.Listed.ID) && p.budget.Keep(service(t)) {
		return now.Add(own), true
	}
	return by, false
}

// gaveUp is the final answer of a request that is not sent again.
func gaveUp(why string, sofar attempt.Outcome) *Refusal {
	// Why: one that has surely not run is as good as one turned away at the gate, and its caller is told the same way.
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
	return float64(p.routes.Now().Conf.Limits.RetryAllowance) / float64(p.edges.Load())
}

// turnedAway is the final answer of a request that got no replica.
func turnedAway(a holding.Answer, sofar attempt.Outcome) *Refusal {
	reason := Full
	if a.Late {
		reason = TooLate
	}
	// Why: an earlier attempt of the same request may have run, and that is what counts.
	return &Refusal{Reason: reason, Detail: a.Why, Outcome: sofar, RetryAfter: time.Duration(a.RetryS) * time.Second}
}
