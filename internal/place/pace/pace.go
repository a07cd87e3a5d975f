// Package pace is the rate limiter of the weight store: it bounds the number of
// load starts in any window (5 s by default), also across limiters that succeed each other, and
// grants the waiter with the highest priority first.
package pace

import (
	"time"

	"github.com/gammazero/deque"
)

// Window is the default span over which the store counts load starts.
const Window = 5 * time.Second

// GrantTTL is how long a grant is valid: its load must start within this time.
const GrantTTL = 500 * time.Millisecond

// waiterTTL is how long a waiter keeps its place in the queue without asking again.
const waiterTTL = 1500 * time.Millisecond

// UtilizationSpan is the span over which Utilization is computed.
const UtilizationSpan = 30 * time.Second

// maxWaiters bounds the waiters and, separately, the outstanding starts. A controller whose
// request is not recorded keeps asking.
const maxWaiters = 10_000

// waiter is a load that asked for a grant and did not get one yet.
type waiter struct {
	priority   float64
	firstAsked time.Duration
	lastAsked  time.Duration
}

// outstandingStart is a load that was ordered and may still start: since when, and when that was last reported.
type outstandingStart struct{ since, reportedAt time.Duration }

// grant is the permission for one load start.
type grant struct {
	grantedAt time.Duration
	startID   string // the load start that it is for; empty if a previous limiter gave the grant
}

// Limiter grants load starts. It is not safe for concurrent use: one actor owns it.
type Limiter struct {
	notBefore    time.Duration               // no grants are given before this time
	outstanding  map[string]outstandingStart // ordered loads that may still start at any time, by load ID
	grants       deque.Deque[grant]          // grants that still count against the limit, the oldest first
	recentGrants deque.Deque[grant]          // grants within the last UtilizationSpan
	waiters      map[string]waiter           // by load ID
	window       time.Duration               // the span over which the store counts load starts
}

// NewLimiter returns a limiter that takes over at time now. Unless it is the first
// one ever, it waits until every grant that its predecessor may have given has expired.
func NewLimiter(now, window time.Duration, first bool) *Limiter {
	l := &Limiter{waiters: map[string]waiter{}, outstanding: map[string]outstandingStart{}, window: window}
	if !first {
		l.notBefore = now + l.window + GrantTTL
	}
	return l
}

// takeoverDelay is how long a resumed limiter waits for controllers to report loads that may
// still start.
const takeoverDelay = 1100 * time.Millisecond

// Resume returns a limiter that takes over at time now from one that stored its grants.
// ages holds the least age of each grant, the oldest first. A grant may be older than that, but
// then counts for a shorter time, so using the least age never exceeds the limit.
func Resume(now, window time.Duration, ages []time.Duration) *Limiter {
	l := NewLimiter(now, window, true)
	l.notBefore = now + takeoverDelay
	for _, age := range ages {
		if age <= window+GrantTTL {
			l.grants.PushBack(grant{grantedAt: now - age})
			l.recentGrants.PushBack(grant{grantedAt: now - age})
		}
	}
	return l
}

// GrantAges returns the age of each grant that still counts against the limit, the oldest first.
func (l *Limiter) GrantAges(now time.Duration) []time.Duration {
	l.dropExpired(now)
	var out []time.Duration
	for i := range l.grants.Len() {
		out = append(out, now-l.grants.At(i).grantedAt)
	}
	return out
}

// outstandingTTL is how long an outstanding start counts after its last report:
// the load may have started right after the report, and counts for a window from then on.
func (l *Limiter) outstandingTTL() time.Duration { return l.window + GrantTTL + time.Second }

// NoteOutstanding records a load that was ordered and may not have reached the replica yet: a frozen
// replica reads the order when it resumes. The load counts against the limit until it is
// known to have started or not; otherwise replicas that resume together would exceed the limit.
func (l *Limiter) NoteOutstanding(now time.Duration, loadID string) {
	f, known := l.outstanding[loadID]
	if !known {
		f.since = now
	}
	if f.reportedAt = now; known || len(l.outstanding) < maxWaiters {
		l.outstanding[loadID] = f
	}
}

// Outstanding returns the loads that were ordered and may still start, each with the time since it was first reported.
func (l *Limiter) Outstanding(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for loadID, f := range l.outstanding {
		if now-f.reportedAt <= l.outstandingTTL() {
			out[loadID] = now - f.since
		}
	}
	return out
}

// dropExpired drops the grants that no longer count. A load may start up to GrantTTL after its
// grant, so a grant counts for the window plus GrantTTL.
func (l *Limiter) dropExpired(now time.Duration) {
	for l.grants.Len() > 0 && now-l.grants.Front().grantedAt > l.window+GrantTTL {
		l.grants.PopFront()
	}
}

// Request asks for permission to start a load.
type Request struct {
	LoadID   string  // the replica and the item
	StartID  string  // identifies the start: a repeated request with the same ID means that the load has not started; empty if unknown
	Priority float64 // the highest is granted first
}

// revokeGrant removes the grant for a load start that did not happen because the answer came too late. If the grant
// still counted, it would keep another load out for a whole window.
func revokeGrant(grants *deque.Deque[grant], startID string) {
	if at := grants.RIndex(func(g grant) bool { return g.startID == startID }); startID != "" && at >= 0 {
		grants.Remove(at)
	}
}

// Grant allows a load start now, or returns the estimated wait. The limit is loads starts in a window.
func (l *Limiter) Grant(now time.Duration, loads int, r Request) (wait time.Duration, ok bool) {
	l.dropExpired(now)
	revokeGrant(&l.grants, r.StartID)
	revokeGrant(&l.recentGrants, r.StartID)
	for name, f := range l.outstanding {
		if now-f.reportedAt > l.outstandingTTL() {
			delete(l.outstanding, name)
		}
	}
	taken := l.grants.Len() + len(l.outstanding)
	w := waiter{priority: r.Priority, firstAsked: now, lastAsked: now}
	if old, found := l.waiters[r.LoadID]; found {
		w.firstAsked = old.firstAsked
	} else if len(l.waiters) >= maxWaiters {
		return l.window, false
	}
	l.waiters[r.LoadID] = w
	ahead := 0
	for name, o := range l.waiters {
		switch {
		case now-o.lastAsked > waiterTTL:
			delete(l.waiters, name)
		case name != r.LoadID && (o.priority > r.Priority || o.priority == r.Priority && (o.firstAsked < w.firstAsked || o.firstAsked == w.firstAsked && name < r.LoadID)):
			ahead++
		}
	}
	if now < l.notBefore {
		return l.notBefore - now + time.Duration(ahead/max(loads, 1))*(l.window+GrantTTL), false
	}
	if taken+ahead < loads {
		l.grants.PushBack(grant{now, r.StartID})
		l.recentGrants.PushBack(grant{now, r.StartID})
		delete(l.waiters, r.LoadID)
		return 0, true
	}
	// The request gets the place that becomes free when the grant n places behind the oldest expires;
	// each full round of places adds a window.
	n := taken + ahead - loads
	rounds := n / max(loads, 1)
	at := now
	if l.grants.Len() > 0 {
		at = l.grants.At(min(n%max(loads, 1), l.grants.Len()-1)).grantedAt
	}
	return time.Duration(rounds)*(l.window+GrantTTL) + max(0, at+l.window+GrantTTL-now) + time.Millisecond, false
}

// Utilization returns the grants of the last UtilizationSpan and the waiters as a share of the
// starts that the store allows in such a span. It is 1 while the limiter waits for its
// predecessor's grants to expire.
func (l *Limiter) Utilization(now time.Duration, loads int) float64 {
	for l.recentGrants.Len() > 0 && now-l.recentGrants.Front().grantedAt > UtilizationSpan {
		l.recentGrants.PopFront()
	}
	if now < l.notBefore {
		return 1
	}
	waiting := 0
	for _, w := range l.waiters {
		if now-w.lastAsked <= waiterTTL {
			waiting++
		}
	}
	return float64(l.recentGrants.Len()+waiting) / (float64(max(loads, 1)) * UtilizationSpan.Seconds() / (l.window + GrantTTL).Seconds())
}
