package proxy

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"drumstall.example/internal/attempt"
	"drumstall.example/internal/route"
)

// dispatch tracks one request through its attempts until a replica responds.
type dispatch struct {
	proxy         *Proxy
	call          Call
	startedAt     time.Time
	attempts      int // attempts made so far
	delivered     int // attempts that may have reached a replica
	outcome       attempt.Outcome
	connections   attempt.Connections         // those that the attempts were sent on
	retryReserved atomic.Bool                 // a retry of the budget is reserved for this request
	stream        atomic.Pointer[eventStream] // set for a stream that another replica may resume
}

// activeReply is a reply in progress, together with the slot it occupies on its replica.
type activeReply struct {
	reply          *attempt.Reply
	replica        string
	release        func()
	log            *slog.Logger
	item           string
	load           int           // requests in flight on the replica when this one was sent
	queuedFor      time.Duration // time from arrival until the request was sent
	promptTokens   int           // size of the prompt
	firstByteAfter time.Duration
	lastReadAt     time.Time
	longestGap     time.Duration // longest interval between two reads that returned data
	gapLimit       time.Duration // a longer gap counts as overload of the replica
	reportPressure func()
}

// pressureDivisor sets the overload threshold: a replica counts as overloaded once a latency exceeds the route's
// target divided by it.
const pressureDivisor = 2

// Read reads from the reply and tracks the longest gap between reads that return data.
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

// Close ends the attempt and releases its slot.
func (b *activeReply) Close() error {
	err := b.reply.Close()
	b.release()
	b.log.Debug("response finished", "replica", b.replica, "item", b.item, "load", b.load, "waitedMs", b.queuedFor.Milliseconds(), "tokens", b.promptTokens, "firstMs", b.firstByteAfter.Milliseconds(), "pauseMs", b.longestGap.Milliseconds())
	return err
}

// releaseReservedRetry returns an unused reserved retry to the budget.
func (d *dispatch) releaseReservedRetry() {
	if d.retryReserved.Swap(false) {
		d.proxy.budget.ReleaseReserved(retryBudgetKey(d.call.Target))
	}
}

// awaitReply makes attempts until a response starts or no further attempt is allowed.
func (d *dispatch) awaitReply(ctx context.Context) (*activeReply, *Refusal) {
	p, budgetKey, t := d.proxy, retryBudgetKey(d.call.Target), &d.call.Target
	for {
		d.attempts++
		a := p.admission.Acquire(ctx, *t, t.Route.Class, d.call.FirstByteDeadline)
		if a.Replica == nil {
			return nil, admissionRefusal(a, d.outcome)
		}
		// An attempt counts as a retry only if an earlier one may have reached the service, whether or not it ran there.
		switch {
		case d.delivered == 0:
		case d.retryReserved.Swap(false):
			p.budget.SpendReserved(budgetKey)
		case !p.budget.TakeRetry(budgetKey):
			a.Done()
			return nil, noRetryRefusal("the budget for retries is used up", d.outcome)
		}
		sentAt := time.Now()
		firstByteDeadline, isEarly := d.firstByteDeadline(a.Replica, sentAt)
		d.retryReserved.Store(isEarly)
		reply, failure := p.sender.Send(ctx, d.attemptRequest(a.Replica, firstByteDeadline))
		if d.attempts == 1 {
			p.budget.RecordFirst(budgetKey, p.retryShare())
		}
		if failure == nil || !failure.NotConnected {
			d.delivered++
		}
		if failure == nil {
			a.Replica.Live.ObserveFirstChunk(time.Since(sentAt))
			a.OnFirstChunk()
			if t.Route.Streaming && t.Route.Target > 0 && time.Since(sentAt) > t.Route.Target/pressureDivisor {
				p.routes.RecordPressure(t.Item)
			}
			p.recordLoad(a.Replica, reply.Load)
			b := &activeReply{reply: reply, replica: a.Replica.Listed.ID, release: a.Done, log: p.log, item: t.Item.String(),
				load: a.Replica.Load(), queuedFor: sentAt.Sub(d.startedAt), promptTokens: t.Prompt.Size(), firstByteAfter: time.Since(sentAt)}
			if item := t.Item; t.Route.GapTarget > 0 && item.Model != "" {
				b.gapLimit, b.reportPressure = t.Route.GapTarget/pressureDivisor, func() { p.routes.RecordPressure(item) }
			}
			return b, nil
		}
		a.Done()
		if refusal := d.handleFailure(ctx, a.Replica, failure, sentAt, firstByteDeadline, isEarly); refusal != nil {
			return nil, refusal
		}
	}
}

// recordLoad passes the load that a replica reported with a response to the routing table.
func (p *Proxy) recordLoad(r *route.Replica, l attempt.Load) {
	if l.Known {
		p.routes.RecordLoad(r, l.Running, l.Waiting)
	}
}

// handleFailure updates the routing table after a failed attempt. It returns nil if another
// attempt may be made.
func (d *dispatch) handleFailure(ctx context.Context, r *route.Replica, f *attempt.Failure, sentAt, firstByteDeadline time.Time, isEarly bool) *Refusal {
	p, t := d.proxy, &d.call.Target
	p.recordLoad(r, f.Load)
	switch silent := f.Outcome == attempt.Unknown && !time.Now().Before(firstByteDeadline); {
	case silent && isEarly:
		// Recording the sample lets the estimate adapt, so that a replica that became slower is not treated as
		// silent forever.
		r.Live.ObserveFirstChunk(time.Since(sentAt))
		p.routes.RecordSilence(r)
	case f.ItemMissing:
		p.routes.RecordMissing(r, t.Item)
	case f.Rejected:
		p.routes.RecordOverload(r)
	case silent, f.NotConnected:
		p.routes.RecordConnectionRefused(r)
	}
	t.Avoid = r.Listed.ID
	if f.Outcome == attempt.Unknown {
		d.outcome = attempt.Unknown
	}
	again := f.Outcome == attempt.NotRun || f.Outcome == attempt.Unknown && t.Route.Repeatable
	late := !time.Now().Before(d.call.FirstByteDeadline) || ctx.Err() != nil
	switch {
	case f.Outcome == attempt.Ran:
		return &Refusal{Reason: ResponseLost, Detail: f.Reason, Outcome: attempt.Ran}
	case late:
		return &Refusal{Reason: DeadlineExceeded, Detail: f.Reason, Outcome: d.outcome, RetryAfter: time.Second}
	case !again || d.attempts >= t.Route.Attempts:
		return noRetryRefusal(f.Reason, d.outcome)
	}
	return nil
}

// attemptRequest builds the request of the next attempt at a replica.
func (d *dispatch) attemptRequest(r *route.Replica, firstByteDeadline time.Time) attempt.Request {
	c, id := d.call, r.Listed.ID
	cfg := d.proxy.Conf()
	class := cfg.Classes[c.Target.Route.Class]
	q := attempt.Request{ReplicaID: id, Addr: r.Listed.Addr, Identity: c.Identity, Item: c.Target.Item, RequestID: c.RequestID, ContentType: c.ContentType, Method: c.Method, Path: c.Path,
		Host: c.Host, Header: c.Header, Body: c.Body, Number: d.delivered + 1, Rank: class.Rank, TimeLeft: time.Until(c.Deadline), Cutoff: c.cutoff(),
		LastEventID: c.LastEventID, FirstByteDeadline: firstByteDeadline, Sendable: func() bool { return d.proxy.routes.Sendable(id) }}
	if cfg.HasTenants() {
		q.Tenant, q.Urgency = cfg.TenantOf(c.Target.Route.Class), class.Urgency()
		q.Share = cfg.ShareOf(q.Tenant)
	}
	// A repeatable request is buffered so that a failure in mid-response can be retried; a partly relayed response
	// would have to be cut off.
	q.Buffered = c.Target.Route.Service != "" && c.Target.Route.Repeatable && !c.Target.Route.Streaming
	q.CanRetry = c.Target.Route.Repeatable && d.attempts < c.Target.Route.Attempts
	q.OnData = func() { d.proxy.routes.RecordChunk(r) }
	q.Connections = &d.connections
	if firstByteDeadline.Before(c.FirstByteDeadline) {
		// Giving up when no other replica can respond would only lose the request's place in the replica's queue.
		q.OnlyReplica = func() bool { return d.proxy.routes.Serves(c.Target, id) && !d.canFailOver(r) }
		q.OnlyReplicaDeadline = c.FirstByteDeadline
	}
	if c.Target.Route.Resumable && c.Target.Route.GapTarget > 0 {
		// A gap beyond the target is late already. What matters is whether the replica hangs or is merely slow; data
		// on its other responses shows which.
		q.StallTimeout = stallFactor * c.Target.Route.GapTarget
		q.Alive = func() bool { return d.stream.Load().isFailingOver(id) || d.proxy.routes.Alive(r) || !d.canFailOver(r) }
		q.FailOver = func() bool { return d.stream.Load().failOver() }
		q.AliveDeadline = time.Now().Add(time.Until(c.FirstByteDeadline) / 2)
	}
	return q
}

// canFailOver reports whether another replica could take over a request on which r is silent,
// and reserves a retry for it. Silence alone is no reason to end a response.
func (d *dispatch) canFailOver(r *route.Replica) bool {
	t := d.call.Target
	if d.attempts >= t.Route.Attempts || !d.proxy.routes.HasAlternative(t, r.Listed.ID) {
		return false
	}
	if d.retryReserved.Load() {
		return true
	}
	if !d.proxy.budget.Reserve(retryBudgetKey(t)) {
		return false
	}
	d.retryReserved.Store(true)
	return true
}

// stallFactor times the route's gap target is how long a stream may be silent before its replica
// is suspected to hang.
const stallFactor = 2

// firstByteDeadline returns the time by which the first byte of an attempt's response must arrive. isEarly reports
// that only the replica's usual latency, and no other limit, calls for a deadline this soon.
func (d *dispatch) firstByteDeadline(r *route.Replica, now time.Time) (by time.Time, isEarly bool) {
	p, t, deadline := d.proxy, d.call.Target, d.call.FirstByteDeadline
	urgent := p.routes.Current().Conf.Classes[t.Route.Class].Urgent || t.Route.Target > 0
	if !t.Route.Repeatable || d.attempts >= t.Route.Attempts || !urgent {
		return deadline, false
	}
	// An unreachable replica would use up an urgent request's whole deadline; half of it leaves time for another.
	by = now.Add(deadline.Sub(now) / 2)
	// The first reliable sign that a replica hangs is a silence longer than its recent ones. The attempt is given
	// up for that only if another replica could respond and a retry is reserved: if another request took the last
	// retry in the meantime, this one would get no response at all.
	patience := r.Live.FirstChunkTimeout()
	if t.Route.Streaming {
		patience = max(patience, t.Route.Target)
	} else if half := t.Route.Target / 2; patience > 0 && half > patience {
		patience = half
	}
	if patience > 0 && now.Add(patience).Before(by) && p.routes.HasAlternative(t, r.Listed.ID) && p.budget.Reserve(retryBudgetKey(t)) {
		return now.Add(patience), true
	}
	return by, false
}
