// Package admission admits requests to replicas: by class, capacity and deadline. It
// gives up at once on what cannot be served in time.
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
	sweepInterval   = 5 * recheckInterval // between two sweeps of waiters that no longer wait
	mailboxDepth    = 4096
	// reserve is the share of attempts that only urgent classes may use.
	urgentReserveDivisor = 4
)

// Controller owns the queue of a proxy.
type Controller struct {
	actor           *run.Actor
	routes          *route.Router
	queue           *queue.Queue
	now             func() time.Time
	attempts        atomic.Int64
	urgentAttempts  atomic.Int64
	waiting         atomic.Pointer[map[string]int]
	dispatchSoon    *run.Nudge // dispatches soon
	recheck         *run.Alarm // the next look at those who wait
	sweepAlarm      *run.Alarm
	noHolderTimeout time.Duration
	closed          atomic.Bool
	onMiss          func() // tells at once that a request waits for what nobody holds
}

// New opens admission.
// hold is how long an item that nobody holds is waited for without any word.
func New(g *run.Group, routes *route.Router, hold time.Duration, onMiss func()) *Controller {
	ac := &Controller{routes: routes, queue: queue.New(), now: time.Now, noHolderTimeout: hold, onMiss: onMiss}
	ac.waiting.Store(&map[string]int{})
	ac.actor = run.NewActor(g, mailboxDepth, 0, nil)
	ac.recheck, ac.sweepAlarm = run.NewAlarm(ac.actor, ac.onRecheck), run.NewAlarm(ac.actor, ac.onSweep)
	ac.dispatchSoon = run.NewNudge(ac.actor, ac.dispatch)
	routes.OnTable(ac.dispatchSoon.Now)
	return ac
}

// Waiting is how many requests wait for each item.
func (ac *Controller) Waiting() map[string]int { return *ac.waiting.Load() }

// Shots is how many requests are out now.
func (ac *Controller) Attempts() int64 { return ac.attempts.Load() }

// Enter waits until a replica can take the request, and says which, or why not.
func (ac *Controller) Acquire(ctx context.Context, target route.Target, class string, deadline time.Time) queue.Answer {
	w := queue.NewWaiter(target, class, ac.now(), deadline)
	if ac.actor.Tell(func() { ac.enqueue(w) }) != nil {
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
	// Why: it was claimed in the same moment; the claim stands, and its replica must be let go if unused.
	return <-w.Answer
}

// Close turns away whatever waits, and whatever comes from now on.
func (ac *Controller) Close() {
	ac.closed.Store(true)
	_ = ac.actor.Tell(func() {
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

// stopped is the answer once admission has closed.
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
	cl, known := ac.routes.Current().Conf.Classes[w.Class]
	if !known {
		refuse(w, queue.Answer{Explanation: "its class has gone", RetryS: 1})
		return
	}
	ac.queue.SetShares(ac.routes.Current().Conf.Shares())
	c := ac.queue.Class(w.Class, cl)
	ac.sweepAlarm.In(sweepInterval)
	if !ac.queue.Push(c, w) {
		refuse(w, queue.Answer{Explanation: "the holding of class " + w.Class + " is full", RetryS: 1})
		return
	}
	ac.dispatch()
	if !w.IsWaiting() {
		return
	}
	ac.recheck.In(recheckInterval)
	// Why: if what is ahead already takes longer than the deadline, waiting would only delay the no.
	_, held, serve := ac.routes.Choose(w.Target)
	if held == 0 {
		ac.routes.CountWaitingWork(&w.Target)
		ac.publishWaiting()
		ac.onMiss()
	}
	if held > 0 {
		ahead := time.Duration(c.Size()) * serve
		// Why: who waits longest for the same tells best how long it takes, other edges and other classes included.
		ahead = max(ahead, ac.now().Sub(c.Oldest(w).EnqueuedAt))
		if ahead > w.Deadline.Sub(w.EnqueuedAt) {
			refuse(w, queue.Answer{Explanation: "too many wait ahead of it", RetryS: retryAfterSeconds(ahead - w.Deadline.Sub(w.EnqueuedAt))})
		}
	}
}

func retryAfterSeconds(d time.Duration) int { return max(1, min(60, int(d/time.Second)+1)) }

// dispatch gives replicas to waiters until none can be given more.
func (ac *Controller) dispatch() {
	limit := int64(ac.routes.Current().Conf.Limits.Attempts)
	for progress := true; progress; {
		progress = false
		for _, c := range ac.queue.Order() {
			full := ac.attempts.Load() >= limit
			// Why: urgent requests find places that others can never fill.
			if !c.Conf.Urgent {
				full = ac.attempts.Load()-ac.urgentAttempts.Load() >= limit-limit/urgentReserveDivisor || full
			}
			// Why: a tenant that calls all its requests urgent must leave the others' part of those places free.
			kept := int64(float64(limit/urgentReserveDivisor) * ac.queue.OthersFraction(c.Of))
			if full || kept > 0 && c.Of.Inflight.Load() >= limit-kept {
				continue
			}
			c.EachLane(func(l *queue.Lane) (bool, bool) {
				head := l.Waiters.Front()
				r, held, _ := ac.routes.Choose(head.Target)
				if held > 0 {
					l.Empty = time.Time{}
				} else if l.Empty.IsZero() {
					l.Empty = ac.now()
				}
				if r == nil {
					return false, false
				}
				w := c.Pop(l)
				progress = true
				// Why: an attempt whose first piece comes after the deadline does the work, and tells its caller that nobody
				// knows whether it did.
				if w.Deadline.Sub(ac.now()) < r.Live.ExpectedFirstChunk() {
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
	urgent, tenant := c.Conf.Urgent, c.Of
	ac.attempts.Add(1)
	tenant.Inflight.Add(1)
	if urgent {
		ac.urgentAttempts.Add(1)
	}
	place := ac.routes.StartAttempt(w.Target, r)
	var once atomic.Bool
	w.Answer <- queue.Answer{Replica: r, Begun: func() { place.FirstChunk(); ac.dispatchSoon.Now() }, Done: func() {
		if once.Swap(true) {
			return
		}
		place.Done()
		ac.attempts.Add(-1)
		tenant.Inflight.Add(-1)
		if urgent {
			ac.urgentAttempts.Add(-1)
		}
		ac.dispatchSoon.Now()
	}}
}

// onTick looks at those who wait. Why: most of the time nobody does, and a proxy
// that sleeps then costs nothing.
func (ac *Controller) onRecheck() {
	ac.dispatch()
	ac.rejectHopeless()
	if ac.queue.HasWaiters() {
		ac.recheck.In(recheckInterval)
	}
}

// onSweep lets go of waiters that no longer wait, and of classes without any.
func (ac *Controller) onSweep() {
	ac.queue.Sweep()
	ac.publishWaiting()
	if ac.queue.HasClasses() {
		ac.sweepAlarm.In(sweepInterval)
	}
}

func (ac *Controller) publishWaiting() {
	w := ac.queue.Waiting()
	ac.waiting.Store(&w)
}

// hopeless turns away what no load and no freed place can serve in time.
func (ac *Controller) rejectHopeless() {
	s := ac.routes.Current()
	now := ac.now()
	for _, c := range ac.queue.Order() {
		c.EachLane(func(l *queue.Lane) (bool, bool) {
			if l.Empty.IsZero() {
				return false, false
			}
			if _, held, _ := ac.routes.Choose(l.Waiters.Front().Target); held > 0 {
				l.Empty = time.Time{}
				return false, false
			}
			x, told := s.Expect.Get(l.Key)
			at, coming := s.Coming[l.Key]
			ready := now.Add(at - ac.routes.MonotonicNow())
			// Why: silence counts from the last word. A load that is just done is no longer on its way, and the
			// replica has not told us yet; those that waited for it must not be dropped in between.
			if coming || told && !x.Refused {
				l.Empty = now
			}
			for i := range l.Waiters.Len() {
				w := l.Waiters.At(i)
				switch {
				case !w.IsWaiting():
				case coming && ready.After(w.Deadline):
					refuse(w, queue.Answer{Explanation: "it will be loaded too late", RetryS: retryAfterSeconds(ready.Sub(now))})
				case coming:
				case told && x.Refused:
					refuse(w, queue.Answer{Explanation: x.Reason, RetryS: max(1, x.RetryAfterS)})
				case now.Sub(later(w.EnqueuedAt, l.Empty)) > ac.noHolderTimeout:
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
