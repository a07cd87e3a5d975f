// Package pace keeps loads within what the weight store bears: at most a
// number of starts in any 5 s, whoever grants them; the dearest miss goes first.
package pace

import (
	"time"

	"github.com/gammazero/deque"
)

// Window is the span over which a store counts where a deployment says nothing else.
const Window = 5 * time.Second

// GrantLife is how long a grant may wait before its load starts.
const GrantTTL = 500 * time.Millisecond

// patience is how long one that asked keeps its place without asking again.
const waiterTTL = 1500 * time.Millisecond

// UseSpan is the span over which the store's use is told.
const UtilizationSpan = 30 * time.Second

// maxWaiters bounds those who wait; a replica's controller asks again and again.
const maxWaiters = 10_000

type waiter struct {
	priority   float64
	firstAsked time.Duration
	lastAsked  time.Duration
}

// float is since when a start may still come, and when that was last told.
type outstandingStart struct{ since, reportedAt time.Duration }

// grant is leave for one load start.
type grant struct {
	grantedAt time.Duration
	startID   string // the load start that it is for; empty for one that a keeper before gave
}

// Keeper grants load starts; one actor owns it.
type Limiter struct {
	notBefore    time.Duration               // no grants before
	outstanding  map[string]outstandingStart // starts that may still come, whenever
	grants       deque.Deque[grant]
	recentGrants deque.Deque[grant] // of a use span
	waiters      map[string]waiter
	window       time.Duration // the span over which the store counts
}

// NewKeeper is a keeper that took over at an instant. Unless it is the first
// ever, it waits out whatever the one before it may have granted.
func NewLimiter(now, window time.Duration, first bool) *Limiter {
	k := &Limiter{waiters: map[string]waiter{}, outstanding: map[string]outstandingStart{}, window: window}
	if !first {
		k.notBefore = now + k.window + GrantTTL
	}
	return k
}

// settle is how long a keeper that took over waits to be told of loads that may
// still start.
const takeoverDelay = 1100 * time.Millisecond

// Resume is a keeper that took over at an instant from one that wrote down its
// grants: before is how long ago each of them was given at the least, the oldest first. Why: a grant
// that is older than that counts for less long, so each counts as if it were no older.
func Resume(now, window time.Duration, before []time.Duration) *Limiter {
	k := NewLimiter(now, window, true)
	k.notBefore = now + takeoverDelay
	for _, age := range before {
		if age <= window+GrantTTL {
			k.grants.PushBack(grant{grantedAt: now - age})
			k.recentGrants.PushBack(grant{grantedAt: now - age})
		}
	}
	return k
}

// Ages is how long ago each grant was given that still counts, the oldest first.
func (k *Limiter) GrantAges(now time.Duration) []time.Duration {
	k.dropExpired(now)
	var out []time.Duration
	for i := range k.grants.Len() {
		out = append(out, now-k.grants.At(i).grantedAt)
	}
	return out
}

// floatLife is how long a start that may still come counts after it was last
// told of: it may have come just then, and counts for a window from there.
func (k *Limiter) outstandingTTL() time.Duration { return k.window + GrantTTL + time.Second }

// Afloat notes a load that was ordered and may not have arrived: a replica that
// stands still reads it when it wakes. Why: it takes a place of the pace until it is
// known to have come or not, or those that wake together would exceed it.
func (k *Limiter) NoteOutstanding(now time.Duration, who string) {
	f, known := k.outstanding[who]
	if !known {
		f.since = now
	}
	if f.reportedAt = now; known || len(k.outstanding) < maxWaiters {
		k.outstanding[who] = f
	}
}

// Floats tells which starts may still come, and for how long that has been so.
func (k *Limiter) Outstanding(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for who, f := range k.outstanding {
		if now-f.reportedAt <= k.outstandingTTL() {
			out[who] = now - f.since
		}
	}
	return out
}

// forget drops the grants that count no more. Why: a start comes up to a life
// after its grant, so grants are counted over the window and a life.
func (k *Limiter) dropExpired(now time.Duration) {
	for k.grants.Len() > 0 && now-k.grants.Front().grantedAt > k.window+GrantTTL {
		k.grants.PopFront()
	}
}

// Request asks for leave to start a load.
type Request struct {
	LoadID   string  // the replica and item it is for
	StartID  string  // names the start: who asks again under a name has not begun it; empty if it has none
	Priority float64 // the dearest goes first
}

// takeBack removes the grant for a load start that has not begun. Why: its answer came too late; counted on, it
// would keep another load out for a whole window.
func revokeGrant(grants *deque.Deque[grant], start string) {
	if at := grants.RIndex(func(g grant) bool { return g.startID == start }); start != "" && at >= 0 {
		grants.Remove(at)
	}
}

// Grant allows a load start now, or says how long it will probably take.
func (k *Limiter) Grant(now time.Duration, loads int, r Request) (wait time.Duration, ok bool) {
	k.dropExpired(now)
	revokeGrant(&k.grants, r.StartID)
	revokeGrant(&k.recentGrants, r.StartID)
	for name, f := range k.outstanding {
		if now-f.reportedAt > k.outstandingTTL() {
			delete(k.outstanding, name)
		}
	}
	taken := k.grants.Len() + len(k.outstanding)
	w := waiter{priority: r.Priority, firstAsked: now, lastAsked: now}
	if old, found := k.waiters[r.LoadID]; found {
		w.firstAsked = old.firstAsked
	} else if len(k.waiters) >= maxWaiters {
		return k.window, false
	}
	k.waiters[r.LoadID] = w
	ahead := 0
	for name, o := range k.waiters {
		switch {
		case now-o.lastAsked > waiterTTL:
			delete(k.waiters, name)
		case name != r.LoadID && (o.priority > r.Priority || o.priority == r.Priority && (o.firstAsked < w.firstAsked || o.firstAsked == w.firstAsked && name < r.LoadID)):
			ahead++
		}
	}
	if now < k.notBefore {
		return k.notBefore - now + time.Duration(ahead/max(loads, 1))*(k.window+GrantTTL), false
	}
	if taken+ahead < loads {
		k.grants.PushBack(grant{now, r.StartID})
		k.recentGrants.PushBack(grant{now, r.StartID})
		delete(k.waiters, r.LoadID)
		return 0, true
	}
	// Why: the place that gets free for it is the one of the grant that many places back.
	n := taken + ahead - loads
	rounds := n / max(loads, 1)
	at := now
	if k.grants.Len() > 0 {
		at = k.grants.At(min(n%max(loads, 1), k.grants.Len()-1)).grantedAt
	}
	return time.Duration(rounds)*(k.window+GrantTTL) + max(0, at+k.window+GrantTTL-now) + time.Millisecond, false
}

// Use is the share of the loads the store may start in a use span that were
// granted in the last one or still wait. One that waits for its predecessor's
// grants to pass counts as full.
func (k *Limiter) Utilization(now time.Duration, loads int) float64 {
	for k.recentGrants.Len() > 0 && now-k.recentGrants.Front().grantedAt > UtilizationSpan {
		k.recentGrants.PopFront()
	}
	if now < k.notBefore {
		return 1
	}
	waiting := 0
	for _, w := range k.waiters {
		if now-w.lastAsked <= waiterTTL {
			waiting++
		}
	}
	return float64(k.recentGrants.Len()+waiting) / (float64(max(loads, 1)) * UtilizationSpan.Seconds() / (k.window + GrantTTL).Seconds())
}
