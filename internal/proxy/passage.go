package proxy

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"drumstall.example/internal/attempt"
	"drumstall.example/internal/route"
)

// passage is one request's way to an answer.
type passage struct {
	p        *Proxy
	call     Call
	began    time.Time
	number   int // attempts so far
	arrived  int // of which so many may have reached a replica
	outcome  attempt.Outcome
	reserved atomic.Bool                 // a retry is set aside for this request
	stream   atomic.Pointer[eventStream] // of an answer that another replica may go on with
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
		a := p.admission.Acquire(ctx, *t, t.Route.Class, w.call.FirstBy)
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
			a.Replica.Live.ObserveFirstChunk(time.Since(sentAt))
			a.Begun()
			if t.Route.Streaming && t.Route.Target > 0 && time.Since(sentAt) > t.Route.Target/pressedPart {
				p.routes.RecordPressure(t.Item)
			}
			p.heard(a.Replica, reply.Load)
			b := &begun{reply: reply, replica: a.Replica.Listed.ID, done: a.Done, log: p.log, item: t.Item.String(),
				load: a.Replica.Load(), waited: sentAt.Sub(w.began), tokens: t.Prompt.Size(), first: time.Since(sentAt)}
			if item := t.Item; t.Route.GapTarget > 0 && item.Model != "" {
				b.bound, b.press = t.Route.GapTarget/pressedPart, func() { p.routes.RecordPressure(item) }
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
		p.routes.RecordLoad(r, l.Running, l.Waiting)
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
		r.Live.ObserveFirstChunk(time.Since(sentAt))
		p.routes.RecordSilence(r)
	case f.Missing:
		p.routes.RecordMissing(r, t.Item)
	case f.Said:
		p.routes.RecordOverload(r)
	case silent, f.Refused:
		p.routes.RecordConnectionRefused(r)
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
	cfg := w.p.Conf()
	class := cfg.Classes[c.Target.Route.Class]
	q := attempt.Request{ID: id, Addr: r.Listed.Addr, Identity: c.Identity, Item: c.Target.Item, Ticket: c.Ticket, ContentType: c.ContentType, Method: c.Method, Path: c.Path,
		Host: c.Host, Header: c.Header, Body: c.Body, Number: w.arrived + 1, Rank: class.Rank, Left: time.Until(c.Deadline), Until: c.until(),
		LastEvent: c.LastEvent, FirstBy: firstBy, Sendable: func() bool { return w.p.routes.Sendable(id) }}
	if cfg.HasTenants() {
		q.Tenant, q.Urgency = cfg.TenantOf(c.Target.Route.Class), class.Urgency()
		q.Share = cfg.ShareOf(q.Tenant)
	}
	// Why: what may run again is only worth passing on whole; a part of it would have to be broken off.
	q.Whole = c.Target.Route.Service != "" && c.Target.Route.Repeatable && !c.Target.Route.Streaming
	q.Again = c.Target.Route.Repeatable && w.number < c.Target.Route.Attempts
	q.Heard = func() { w.p.routes.RecordChunk(r) }
	if firstBy.Before(c.FirstBy) {
		// Why: given up where nobody else could answer, a request only loses its place in the replica's queue.
		q.Only = func() bool { return w.p.routes.Serves(c.Target, id) && !w.mayGoOn(r) }
		q.OnlyUntil = c.FirstBy
	}
	if c.Target.Route.Resumable && c.Target.Route.GapTarget > 0 {
		// Why: a pause that is too long is late already; what must be told is a replica that stands still from one
		// that is slow, and its other answers tell.
		q.Stall = stallTimes * c.Target.Route.GapTarget
		q.Alive = func() bool { return w.stream.Load().isTakingOver(id) || w.p.routes.Alive(r) || !w.mayGoOn(r) }
		q.GoneOn = func() bool { return w.stream.Load().takeOver() }
		q.FirstAtLast = time.Now().Add(time.Until(c.FirstBy) / 2)
	}
	return q
}

// mayGoOn says whether another replica could go on with a request that r is silent
// on, and sets a retry aside for it. Why: silence alone is no reason to end an answer.
func (w *passage) mayGoOn(r *route.Replica) bool {
	t := w.call.Target
	if w.number >= t.Route.Attempts || !w.p.routes.HasAlternative(t, r.Listed.ID) {
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
	hurried := p.routes.Current().Conf.Classes[t.Route.Class].Urgent || t.Route.Target > 0
	if !t.Route.Repeatable || w.number >= t.Route.Attempts || !hurried {
		return deadline, false
	}
	// Why: a replica that went dark would eat an urgent request's whole deadline; half of it leaves time for another.
	by = now.Add(deadline.Sub(now) / 2)
	// Why: the first honest sign that a replica stands still is that it is silent for longer than it has been of
	// late. It is given up for that only where another could answer, and with a retry set aside: one that somebody
	// else took meanwhile would leave this request without any answer.
	own := r.Live.FirstChunkTimeout()
	if t.Route.Streaming {
		own = max(own, t.Route.Target)
	} else if half := t.Route.Target / 2; own > 0 && half > own {
		own = half
	}
	if own > 0 && now.Add(own).Before(by) && p.routes.HasAlternative(t, r.Listed.ID) && p.budget.Keep(service(t)) {
		return now.Add(own), true
	}
	return by, false
}
