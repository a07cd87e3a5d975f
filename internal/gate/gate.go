// Package gate admits requests to shots: by class, capacity and deadline. It
// gives up at once on what cannot be served in time.
package gate

import (
	"context"
	"sync/atomic"
	"time"

	"drumstall.example/internal/holding"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/route"
)

const (
	beat  = 20 * time.Millisecond
	sweep = 5 * beat // between two sweeps of tickets that no longer wait
	depth = 4096
	// reserve is the share of shots that only urgent classes may use.
	reserve = 4
)

// Gate owns the holdings of a proxy.
type Gate struct {
	desk    *run.Desk
	routes  *route.Keeper
	hall    *holding.Hall
	now     func() time.Time
	shots   atomic.Int64
	urgent  atomic.Int64
	waiting atomic.Pointer[map[string]int]
	again   *run.Nudge // dispatches soon
	beat    *run.Alarm // the next look at those who wait
	sweep   *run.Alarm
	hold    time.Duration
	closed  atomic.Bool
	onMiss  func() // tells at once that a request waits for what nobody holds
}

// New opens the gate.
// hold is how long an item that nobody holds is waited for without any word.
func New(g *run.Group, routes *route.Keeper, hold time.Duration, onMiss func()) *Gate {
	t := &Gate{routes: routes, hall: holding.NewHall(), now: time.Now, hold: hold, onMiss: onMiss}
	t.waiting.Store(&map[string]int{})
	t.desk = run.NewDesk(g, depth, 0, nil)
	t.beat, t.sweep = run.NewAlarm(t.desk, t.onBeat), run.NewAlarm(t.desk, t.onSweep)
	t.again = run.NewNudge(t.desk, t.dispatch)
	routes.OnTable(t.again.Now)
	return t
}

// Waiting is how many requests wait for each item.
func (g *Gate) Waiting() map[string]int { return *g.waiting.Load() }

// Shots is how many requests are out now.
func (g *Gate) Shots() int64 { return g.shots.Load() }

// Enter waits until a replica can take the request, and says which, or why not.
func (g *Gate) Enter(ctx context.Context, target route.Target, class string, deadline time.Time) holding.Answer {
	t := holding.NewTicket(target, class, g.now(), deadline)
	if g.desk.Tell(func() { g.take(t) }) != nil {
		return holding.Answer{Why: "the holding is full", RetryS: 1}
	}
	wait := time.NewTimer(time.Until(deadline))
	defer wait.Stop()
	late := holding.Answer{Why: "the deadline passed while it waited", Late: true, RetryS: 1}
	select {
	case a := <-t.Answer:
		return a
	case <-wait.C:
	case <-ctx.Done():
		late.Why = "the client left"
	}
	if t.Withdraw() {
		return late
	}
	// Why: it was claimed in the same moment; the claim stands, and its replica must be let go if unused.
	return <-t.Answer
}

// Close turns away whatever waits, and whatever comes from now on.
func (g *Gate) Close() {
	g.closed.Store(true)
	_ = g.desk.Tell(func() {
		for _, c := range g.hall.Order() {
			c.Lanes(func(l *holding.Lane) (bool, bool) {
				for i := range l.Tickets.Len() {
					drop(l.Tickets.At(i), stopped)
				}
				return false, false
			})
		}
	})
}

// stopped is the answer of a gate that has closed.
var stopped = holding.Answer{Why: "this proxy is stopping", RetryS: 1}

func drop(t *holding.Ticket, a holding.Answer) {
	if t.Withdraw() {
		t.Answer <- a
	}
}

func (g *Gate) take(t *holding.Ticket) {
	if g.closed.Load() {
		drop(t, stopped)
		return
	}
	cl, known := g.routes.Now().Conf.Classes[t.Class]
	if !known {
		drop(t, holding.Answer{Why: "its class has gone", RetryS: 1})
		return
	}
	g.hall.SetShares(g.routes.Now().Conf.Shares())
	c := g.hall.Class(t.Class, cl)
	g.sweep.In(sweep)
	if !g.hall.Put(c, t) {
		drop(t, holding.Answer{Why: "the holding of class " + t.Class + " is full", RetryS: 1})
		return
	}
	g.dispatch()
	if !t.Waits() {
		return
	}
	g.beat.In(beat)
	// Why: if what is ahead already takes longer than the deadline, waiting would only delay the no.
	_, held, serve := g.routes.Choose(t.Target)
	if held == 0 {
		g.routes.CountWaiting(&t.Target)
		g.tellWaiting()
		g.onMiss()
	}
	if held > 0 {
		ahead := time.Duration(c.Size()) * serve
		// Why: who waits longest for the same tells best how long it takes, other edges and other classes included.
		ahead = max(ahead, g.now().Sub(c.Oldest(t).Since))
		if ahead > t.Deadline.Sub(t.Since) {
			drop(t, holding.Answer{Why: "too many wait ahead of it", RetryS: retry(ahead - t.Deadline.Sub(t.Since))})
		}
	}
}

func retry(d time.Duration) int { return max(1, min(60, int(d/time.Second)+1)) }

// dispatch gives replicas to waiting tickets until none can be given more.
func (g *Gate) dispatch() {
	limit := int64(g.routes.Now().Conf.Limits.Shots)
	for progress := true; progress; {
		progress = false
		for _, c := range g.hall.Order() {
			full := g.shots.Load() >= limit
			// Why: urgent requests find places that others can never fill.
			if !c.Conf.Urgent {
				full = g.shots.Load()-g.urgent.Load() >= limit-limit/reserve || full
			}
			// Why: a tenant that calls all its requests urgent must leave the others' part of those places free.
			kept := int64(float64(limit/reserve) * g.hall.OthersPart(c.Of))
			if full || kept > 0 && c.Of.Out.Load() >= limit-kept {
				continue
			}
			c.Lanes(func(l *holding.Lane) (bool, bool) {
				head := l.Tickets.Front()
				r, held, _ := g.routes.Choose(head.Target)
				if held > 0 {
					l.Empty = time.Time{}
				} else if l.Empty.IsZero() {
					l.Empty = g.now()
				}
				if r == nil {
					return false, false
				}
				t := c.Pop(l)
				progress = true
				// Why: a shot whose first piece comes after the deadline does the work, and tells its caller that nobody
				// knows whether it did.
				if t.Deadline.Sub(g.now()) < r.Live.FirstFor() {
					drop(t, holding.Answer{Why: "its answer would begin after the deadline", Late: true, RetryS: 1})
				} else if t.Claim() {
					g.give(t, r, c)
				}
				return true, false
			})
			if progress {
				break
			}
		}
	}
}

func (g *Gate) give(t *holding.Ticket, r *route.Replica, c *holding.Class) {
	urgent, tenant := c.Conf.Urgent, c.Of
	g.shots.Add(1)
	tenant.Out.Add(1)
	if urgent {
		g.urgent.Add(1)
	}
	place := g.routes.Took(t.Target, r)
	var once atomic.Bool
	t.Answer <- holding.Answer{Replica: r, Begun: func() { place.Begun(); g.again.Now() }, Done: func() {
		if once.Swap(true) {
			return
		}
		place.Done()
		g.shots.Add(-1)
		tenant.Out.Add(-1)
		if urgent {
			g.urgent.Add(-1)
		}
		g.again.Now()
	}}
}

// onBeat looks at those who wait. Why: most of the time nobody does, and a proxy
// that sleeps then costs nothing.
func (g *Gate) onBeat() {
	g.dispatch()
	g.hopeless()
	if g.hall.Holds() {
		g.beat.In(beat)
	}
}

// onSweep lets go of tickets that no longer wait, and of classes without any.
func (g *Gate) onSweep() {
	g.hall.Sweep()
	g.tellWaiting()
	if g.hall.Known() {
		g.sweep.In(sweep)
	}
}

func (g *Gate) tellWaiting() {
	w := g.hall.Waiting()
	g.waiting.Store(&w)
}

// hopeless turns away what no load and no freed place can serve in time.
func (g *Gate) hopeless() {
	s := g.routes.Now()
	now := g.now()
	for _, c := range g.hall.Order() {
		c.Lanes(func(l *holding.Lane) (bool, bool) {
			if l.Empty.IsZero() {
				return false, false
			}
			if _, held, _ := g.routes.Choose(l.Tickets.Front().Target); held > 0 {
				l.Empty = time.Time{}
				return false, false
			}
			x, told := s.Expect[l.Key]
			at, coming := s.Coming[l.Key]
			ready := now.Add(at - g.routes.Since())
			// Why: silence counts from the last word. A load that is just done is no longer on its way, and the
			// replica has not told us yet; those that waited for it must not be dropped in between.
			if coming || told && !x.Refused {
				l.Empty = now
			}
			for i := range l.Tickets.Len() {
				t := l.Tickets.At(i)
				switch {
				case !t.Waits():
				case coming && ready.After(t.Deadline):
					drop(t, holding.Answer{Why: "it will be loaded too late", RetryS: retry(ready.Sub(now))})
				case coming:
				case told && x.Refused:
					drop(t, holding.Answer{Why: x.Why, RetryS: max(1, x.RetryS)})
				case now.Sub(later(t.Since, l.Empty)) > g.hold:
					drop(t, holding.Answer{Why: "nobody has it and no controller answers", RetryS: 2})
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
