// Package admission admits requests to replicas by class, capacity and deadline. It
// rejects a request at once if it cannot be served in time.
package admission

import (
	"context"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/queue"
	"drumstall.example/internal/route"
)

const (
	recheckInterval = 20 * time.Millisecond
	sweepInterval   = 5 * recheckInterval // between two removals of waiters that no longer wait
	mailboxDepth    = 4096
	// urgentReserveDivisor: 1/urgentReserveDivisor of the attempts is reserved for urgent classes.
	urgentReserveDivisor = 4
)

// Controller owns the queue of a proxy and assigns replicas to its waiters.
type Controller struct {
	actor           *run.Actor
	routes          *route.Router
	queue           *queue.Queue
	now             func() time.Time
	attempts        atomic.Int64
	urgentAttempts  atomic.Int64
	waiting         atomic.Pointer[map[string]int]
	dispatchSoon    *run.Trigger // triggers dispatch
	recheck         *run.Timer   // triggers the next check of the waiters
	sweepAlarm      *run.Timer
	noHolderTimeout time.Duration
	closed          atomic.Bool
	onMiss          func() // called when a request waits for an item that no replica holds
}

// New starts admission. noHolderTimeout is how long requests wait for an item that no replica holds
// while no prediction arrives for it; onMiss is called for each such request.
func New(g *run.Group, routes *route.Router, noHolderTimeout time.Duration, onMiss func()) *Controller {
	ac := &Controller{routes: routes, queue: queue.New(), now: time.Now, noHolderTimeout: noHolderTimeout, onMiss: onMiss}
	ac.waiting.Store(&map[string]int{})
	ac.actor = run.NewActor(g, mailboxDepth, 0, nil)
	ac.recheck, ac.sweepAlarm = run.NewTimer(ac.actor, ac.onRecheck), run.NewTimer(ac.actor, ac.onSweep)
	ac.dispatchSoon = run.NewTrigger(ac.actor, ac.dispatch)
	routes.OnTable(ac.dispatchSoon.Fire)
	return ac
}

// Waiting returns the number of requests that wait for each item.
func (ac *Controller) Waiting() map[string]int { return *ac.waiting.Load() }

// Attempts returns the number of attempts in flight.
func (ac *Controller) Attempts() int64 { return ac.attempts.Load() }

// Acquire waits until a replica can take the request and returns it, or an explanation why there is none.
func (ac *Controller) Acquire(ctx context.Context, target route.Target, class string, deadline time.Time) queue.Answer {
	w := queue.NewWaiter(target, class, ac.now(), deadline)
	if ac.actor.TryEnqueue(func() { ac.enqueue(w) }) != nil {
		return queue.Answer{Explanation: "the holding is full", RetryS: 1}
	}
	wait := time.NewTimer(time.Until(deadline))
	defer wait.Stop()
	late := queue.Answer{Explanation: "the deadline passed while it waited", Late: true, RetryS: 1}
	select {
	case a := <-w.Answer:
		return a
	case <-wait.C:
	case <-ctx.Done():
		late.Explanation = "the client left"
	}
	if w.Withdraw() {
		return late
	}
	// The waiter was claimed concurrently. The claim stands, and the caller must release its replica if it is unused.
	return <-w.Answer
}

// Close rejects all waiters and all later requests.
func (ac *Controller) Close() {
	ac.closed.Store(true)
	_ = ac.actor.TryEnqueue(func() {
		for _, c := range ac.queue.Order() {
			c.EachLane(func(l *queue.Lane) (bool, bool) {
				for i := range l.Waiters.Len() {
					refuse(l.Waiters.At(i), stoppingResult)
				}
				return false, false
			})
		}
	})
}

// stoppingResult is the answer to all requests once admission is closed.
var stoppingResult = queue.Answer{Explanation: "this proxy is stopping", RetryS: 1}

func refuse(w *queue.Waiter, a queue.Answer) {
	if w.Withdraw() {
		w.Answer <- a
	}
}

func (ac *Controller) enqueue(w *queue.Waiter) {
	if ac.closed.Load() {
		refuse(w, stoppingResult)
		return
	}
	classConf, known := ac.routes.Current().Conf.Classes[w.Class]
	if !known {
		refuse(w, queue.Answer{Explanation: "its class has gone", RetryS: 1})
		return
	}
	ac.queue.SetShares(ac.routes.Current().Conf.Shares())
	c := ac.queue.Class(w.Class, classConf)
	ac.sweepAlarm.Start(sweepInterval)
	if !ac.queue.Push(c, w) {
		refuse(w, queue.Answer{Explanation: "the holding of class " + w.Class + " is full", RetryS: 1})
		return
	}
	ac.dispatch()
	if !w.IsWaiting() {
		return
	}
	ac.recheck.Start(recheckInterval)
	// If the waiters ahead already take longer than the deadline allows, waiting would only delay the rejection.
	_, held, serve := ac.routes.Choose(w.Target)
	if held == 0 {
		ac.routes.CountWaitingWork(&w.Target)
		ac.publishWaiting()
		ac.onMiss()
	}
	if held > 0 {
		ahead := time.Duration(c.Size()) * serve
		// The age of the oldest waiter for the same item is the best estimate, as it includes other edges and other classes.
		ahead = max(ahead, ac.now().Sub(c.Oldest(w).EnqueuedAt))
		if ahead > w.Deadline.Sub(w.EnqueuedAt) {
			refuse(w, queue.Answer{Explanation: "too many wait ahead of it", RetryS: retryAfterSeconds(ahead - w.Deadline.Sub(w.EnqueuedAt))})
		}
	}
}

func retryAfterSeconds(d time.Duration) int { return max(1, min(60, int(d/time.Second)+1)) }

// dispatch assigns replicas to waiters until no more can be assigned.
func (ac *Controller) dispatch() {
	limit := int64(ac.routes.Current().Conf.Limits.MaxInFlight)
	for progress := true; progress; {
		progress = false
		for _, c := range ac.queue.Order() {
			full := ac.attempts.Load() >= limit
			// Other requests can never use the attempts that are reserved for urgent ones.
			if !c.Conf.Urgent {
				full = ac.attempts.Load()-ac.urgentAttempts.Load() >= limit-limit/urgentReserveDivisor || full
			}
			// A tenant whose requests are all urgent must leave the other tenants' part of the reserve free.
			reserved := int64(float64(limit/urgentReserveDivisor) * ac.queue.OthersFraction(c.Tenant))
			if full || reserved > 0 && c.Tenant.Inflight.Load() >= limit-reserved {
				continue
			}
			c.EachLane(func(l *queue.Lane) (bool, bool) {
				head := l.Waiters.Front()
				r, held, _ := ac.routes.ChooseWithin(head.Target, head.Deadline.Sub(ac.now()))
				if held > 0 {
					l.NoHolderSince = time.Time{}
				} else if l.NoHolderSince.IsZero() {
					l.NoHolderSince = ac.now()
				}
				if r == nil {
					return false, false
				}
				w := c.Pop(l)
				progress = true
				// An attempt whose first chunk arrives after the deadline does the work, but its caller gets an unknown
				// outcome.
				if r.Live.TooSlowFor(w.Deadline.Sub(ac.now())) {
					refuse(w, queue.Answer{Explanation: "its answer would begin after the deadline", Late: true, RetryS: 1})
				} else if w.Claim() {
					ac.assign(w, r, c)
				}
				return true, false
			})
			if progress {
				break
			}
		}
	}
}

func (ac *Controller) assign(w *queue.Waiter, r *route.Replica, c *queue.Class) {
	urgent, tenant := c.Conf.Urgent, c.Tenant
	ac.attempts.Add(1)
	tenant.Inflight.Add(1)
	if urgent {
		ac.urgentAttempts.Add(1)
	}
	attempt := ac.routes.StartAttempt(w.Target, r)
	var once atomic.Bool
	w.Answer <- queue.Answer{Replica: r, OnFirstChunk: func() { attempt.FirstChunk(); ac.dispatchSoon.Fire() }, Done: func() {
		if once.Swap(true) {
			return
		}
		attempt.Done()
		ac.attempts.Add(-1)
		tenant.Inflight.Add(-1)
		if urgent {
			ac.urgentAttempts.Add(-1)
		}
		ac.dispatchSoon.Fire()
	}}
}

// onRecheck dispatches, rejects hopeless waiters and sets the alarm again while there are waiters. Most of the
// time there are none, and an idle proxy then uses no processor time.
func (ac *Controller) onRecheck() {
	ac.dispatch()
	ac.rejectHopeless()
	if ac.queue.HasWaiters() {
		ac.recheck.Start(recheckInterval)
	}
}

// onSweep removes waiters that no longer wait, and classes without any.
func (ac *Controller) onSweep() {
	ac.queue.Sweep()
	ac.publishWaiting()
	if ac.queue.HasClasses() {
		ac.sweepAlarm.Start(sweepInterval)
	}
}

func (ac *Controller) publishWaiting() {
	w := ac.queue.Waiting()
	ac.waiting.Store(&w)
}

// rejectHopeless rejects waiters that neither a load nor a freed slot can serve in time.
func (ac *Controller) rejectHopeless() {
	s := ac.routes.Current()
	now := ac.now()
	for _, c := range ac.queue.Order() {
		c.EachLane(func(l *queue.Lane) (bool, bool) {
			if l.NoHolderSince.IsZero() {
				return false, false
			}
			if _, held, _ := ac.routes.Choose(l.Waiters.Front().Target); held > 0 {
				l.NoHolderSince = time.Time{}
				return false, false
			}
			prediction, predicted := s.Expectations.Get(l.Key)
			at, loading := s.LoadingReadyAt[l.Key]
			ready := now.Add(at - ac.routes.MonotonicNow())
			// The timeout counts from the last sign of progress. A load that has just ended is no longer listed as loading
			// while the replica is not known to hold the item yet; its waiters must not be rejected in between.
			if loading || predicted && !prediction.Refused {
				l.NoHolderSince = now
			}
			for i := range l.Waiters.Len() {
				w := l.Waiters.At(i)
				switch {
				case !w.IsWaiting():
				case loading && ready.After(w.Deadline):
					refuse(w, queue.Answer{Explanation: "it will be loaded too late", RetryS: retryAfterSeconds(ready.Sub(now))})
				case loading:
				case predicted && prediction.Refused:
					refuse(w, queue.Answer{Explanation: prediction.Reason, RetryS: max(1, prediction.RetryAfterS)})
				case now.Sub(later(w.EnqueuedAt, l.NoHolderSince)) > ac.noHolderTimeout:
					refuse(w, queue.Answer{Explanation: "nobody has it and no controller answers", RetryS: 2})
				}
			}
			return false, false
		})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
