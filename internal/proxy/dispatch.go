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
type dispatch struct {
	proxy         *Proxy
	call          Call
	startedAt     time.Time
	attempts      int // attempts so far
	delivered     int // of which so many may have reached a replica
	outcome       attempt.Outcome
	retryReserved atomic.Bool                 // a retry is set aside for this request
	stream        atomic.Pointer[eventStream] // of an answer that another replica may go on with
}

// begun is a reply and the place that it takes at its replica.
type activeReply struct {
	reply          *attempt.Reply
	replica        string
	release        func()
	log            *slog.Logger
	item           string
	load           int           // requests on the replica when this one was sent
	queuedFor      time.Duration // until it was sent
	promptTokens   int           // of the prompt
	firstByteAfter time.Duration
	lastReadAt     time.Time
	longestGap     time.Duration // the longest between two pieces
	gapLimit       time.Duration // a longer one says that the replica has too much to do
	reportPressure func()
}

// pressedPart of what should not occur is where a replica counts as having too much to do.
const pressureDivisor = 2

// Read reads the reply.
func (b *activeReply) Read(to []byte) (int, error) {
	n, err := b.reply.Read(to)
	if n > 0 {
		now := time.Now()
		if !b.lastReadAt.IsZero() {
			b.longestGap = max(b.longestGap, now.Sub(b.lastReadAt))
		}
		if b.reportPressure != nil && b.longestGap > b.gapLimit {
			b.reportPressure()
			b.reportPressure = nil
		}
		b.lastReadAt = now
	}
	return n, err
}

// Close ends the attempt and gives its place back.
func (b *activeReply) Close() error {
	err := b.reply.Close()
	b.release()
	b.log.Debug("answer ended", "replica", b.replica, "item", b.item, "load", b.load, "waitedMs", b.queuedFor.Milliseconds(), "tokens", b.promptTokens, "firstMs", b.firstByteAfter.Milliseconds(), "pauseMs", b.longestGap.Milliseconds())
	return err
}

func (w *dispatch) releaseReservedRetry() {
	if w.retryReserved.Swap(false) {
		w.proxy.budget.ReleaseReserved(retryBudgetKey(w.call.Target))
	}
}

// begin makes attempts until an answer begins or none may be made any more.
func (w *dispatch) awaitReply(ctx context.Context) (*activeReply, *Refusal) {
	p, svc, t := w.proxy, retryBudgetKey(w.call.Target), &w.call.Target
	for {
		w.attempts++
		a := p.admission.Enter(ctx, *t, t.Route.Class, w.call.FirstByteDeadline)
		if a.Replica == nil {
			return nil, admissionRefusal(a, w.outcome)
		}
		// Why: a retry is only one once an earlier attempt may have reached the service, whether or not it ran there.
		switch {
		case w.delivered == 0:
		case w.retryReserved.Swap(false):
			p.budget.SpendReserved(svc)
		case !p.budget.TakeRetry(svc):
			a.Done()
			return nil, noRetryRefusal("the budget for retries is used up", w.outcome)
		}
		sentAt := time.Now()
		firstBy, early := w.firstByteDeadline(a.Replica, sentAt)
		w.retryReserved.Store(early)
		reply, failure := p.sender.Send(ctx, w.attemptRequest(a.Replica, firstBy))
		if w.attempts == 1 {
			p.budget.RecordFirst(svc, p.retryShare())
		}
		if failure == nil || !failure.Refused {
			w.delivered++
		}
		if failure == nil {
			a.Replica.Live.First(time.Since(sentAt))
			a.Begun()
			if t.Route.Streaming && t.Route.Target > 0 && time.Since(sentAt) > t.Route.Target/pressureDivisor {
				p.routes.Press(t.Item)
			}
			p.recordLoad(a.Replica, reply.Load)
			b := &activeReply{reply: reply, replica: a.Replica.Listed.ID, release: a.Done, log: p.log, item: t.Item.String(),
				load: a.Replica.Load(), queuedFor: sentAt.Sub(w.startedAt), promptTokens: t.Prompt.Size(), firstByteAfter: time.Since(sentAt)}
			if item := t.Item; t.Route.GapTarget > 0 && item.Model != "" {
				b.gapLimit, b.reportPressure = t.Route.GapTarget/pressureDivisor, func() { p.routes.Press(item) }
			}
			return b, nil
		}
		a.Done()
		if refusal := w.handleFailure(ctx, a.Replica, failure, sentAt, firstBy, early); refusal != nil {
			return nil, refusal
		}
	}
}

func (p *Proxy) recordLoad(r *route.Replica, l attempt.Load) {
	if l.Known {
		p.routes.Heard(r, l.Running, l.Waiting)
	}
}

// failed notes what a failure says of its replica; nil says that another
// attempt may be made.
func (w *dispatch) handleFailure(ctx context.Context, r *route.Replica, f *attempt.Failure, sentAt, firstBy time.Time, early bool) *Refusal {
	p, t := w.proxy, &w.call.Target
	p.recordLoad(r, f.Load)
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
	late := !time.Now().Before(w.call.FirstByteDeadline) || ctx.Err() != nil
	switch {
	case f.Outcome == attempt.Ran:
		return &Refusal{Reason: ResponseLost, Detail: f.Reason, Outcome: attempt.Ran}
	case late:
		return &Refusal{Reason: DeadlineExceeded, Detail: f.Reason, Outcome: w.outcome, RetryAfter: time.Second}
	case !again || w.attempts >= t.Route.Attempts:
		return noRetryRefusal(f.Reason, w.outcome)
	}
	return nil
}

func (w *dispatch) attemptRequest(r *route.Replica, firstBy time.Time) attempt.Request {
	c, id := w.call, r.Listed.ID
	cfg := w.proxy.Conf()
	class := cfg.Classes[c.Target.Route.Class]
	q := attempt.Request{ReplicaID: id, Addr: r.Listed.Addr, Identity: c.Identity, Item: c.Target.Item, Ticket: c.RequestID, ContentType: c.ContentType, Method: c.Method, Path: c.Path,
		Host: c.Host, Header: c.Header, Body: c.Body, Number: w.delivered + 1, Rank: class.Rank, TimeLeft: time.Until(c.Deadline), Until: c.cutoff(),
		LastEvent: c.LastEventID, FirstBy: firstBy, Sendable: func() bool { return w.proxy.routes.Sendable(id) }}
	if cfg.HasTenants() {
		q.Tenant, q.Urgency = cfg.TenantOf(c.Target.Route.Class), class.Urgency()
		q.Share = cfg.ShareOf(q.Tenant)
	}
	// Why: what may run again is only worth passing on whole; a part of it would have to be broken off.
	q.Whole = c.Target.Route.Service != "" && c.Target.Route.Repeatable && !c.Target.Route.Streaming
	q.CanRetry = c.Target.Route.Repeatable && w.attempts < c.Target.Route.Attempts
	q.OnData = func() { w.proxy.routes.HeardFrom(r) }
	if firstBy.Before(c.FirstByteDeadline) {
		// Why: given up where nobody else could answer, a request only loses its place in the replica's queue.
		q.Only = func() bool { return w.proxy.routes.Serves(c.Target, id) && !w.canFailOver(r) }
		q.OnlyUntil = c.FirstByteDeadline
	}
	if c.Target.Route.Resumable && c.Target.Route.GapTarget > 0 {
		// Why: a pause that is too long is late already; what must be told is a replica that stands still from one
		// that is slow, and its other answers tell.
		q.Stall = stallFactor * c.Target.Route.GapTarget
		q.Alive = func() bool { return w.stream.Load().isFailingOver(id) || w.proxy.routes.Alive(r) || !w.canFailOver(r) }
		q.GoneOn = func() bool { return w.stream.Load().failOver() }
		q.FirstAtLast = time.Now().Add(time.Until(c.FirstByteDeadline) / 2)
	}
	return q
}

// mayGoOn says whether another replica could go on with a request that r is silent
// on, and sets a retry aside for it. Why: silence alone is no reason to end an answer.
func (w *dispatch) canFailOver(r *route.Replica) bool {
	t := w.call.Target
	if w.attempts >= t.Route.Attempts || !w.proxy.routes.Others(t, r.Listed.ID) {
		return false
	}
	if w.retryReserved.Load() {
		return true
	}
	if !w.proxy.budget.Reserve(retryBudgetKey(t)) {
		return false
	}
	w.retryReserved.Store(true)
	return true
}

// stallTimes the pause that should not occur is what a stream may be silent for
// before its replica is doubted.
const stallFactor = 2

// firstBy is by when an attempt's first piece must have come. early says that
// this is sooner than anything but the replica's own habit asks for.
func (w *dispatch) firstByteDeadline(r *route.Replica, now time.Time) (by time.Time, early bool) {
	p, t, deadline := w.proxy, w.call.Target, w.call.FirstByteDeadline
	hurried := p.routes.Now().Conf.Classes[t.Route.Class].Urgent || t.Route.Target > 0
	if !t.Route.Repeatable || w.attempts >= t.Route.Attempts || !hurried {
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
	if own > 0 && now.Add(own).Before(by) && p.routes.Others(t, r.Listed.ID) && p.budget.Reserve(retryBudgetKey(t)) {
		return now.Add(own), true
	}
	return by, false
}
