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
const GrantLife = 500 * time.Millisecond

// patience is how long one that asked keeps its place without asking again.
const patience = 1500 * time.Millisecond

// UseSpan is the span over which the store's use is told.
const UseSpan = 30 * time.Second

// maxWaiters bounds those who wait; a replica's controller asks again and again.
const maxWaiters = 10_000

type waiter struct {
	worth float64
	first time.Duration
	last  time.Duration
}

// float is since when a start may still come, and when that was last told.
type float struct{ since, told time.Duration }

// grant is leave for one load start.
type grant struct {
	at    time.Duration
	start string // the load start that it is for; empty for one that a keeper before gave
}

// Keeper grants load starts; one actor owns it.
type Keeper struct {
	from    time.Duration    // no grants before
	afloat  map[string]float // starts that may still come, whenever
	grants  deque.Deque[grant]
	recent  deque.Deque[grant] // of a use span
	waiters map[string]waiter
	window  time.Duration // the span over which the store counts
}

// NewKeeper is a keeper that took over at an instant. Unless it is the first
// ever, it waits out whatever the one before it may have granted.
func NewKeeper(now, window time.Duration, first bool) *Keeper {
	k := &Keeper{waiters: map[string]waiter{}, afloat: map[string]float{}, window: window}
	if !first {
		k.from = now + k.window + GrantLife
	}
	return k
}

// settle is how long a keeper that took over waits to be told of loads that may
// still start.
const settle = 1100 * time.Millisecond

// Resume is a keeper that took over at an instant from one that wrote down its
// grants: before is how long ago each of them was given at the least, the oldest first. Why: a grant
// that is older than that counts for less long, so each counts as if it were no older.
func Resume(now, window time.Duration, before []time.Duration) *Keeper {
	k := NewKeeper(now, window, true)
	k.from = now + settle
	for _, age := range before {
		if age <= window+GrantLife {
			k.grants.PushBack(grant{at: now - age})
			k.recent.PushBack(grant{at: now - age})
		}
	}
	return k
}

// Ages is how long ago each grant was given that still counts, the oldest first.
func (k *Keeper) Ages(now time.Duration) []time.Duration {
	k.forget(now)
	var out []time.Duration
	for i := range k.grants.Len() {
		out = append(out, now-k.grants.At(i).at)
	}
	return out
}

// floatLife is how long a start that may still come counts after it was last
// told of: it may have come just then, and counts for a window from there.
func (k *Keeper) floatLife() time.Duration { return k.window + GrantLife + time.Second }

// Afloat notes a load that was ordered and may not have arrived: a replica that
// stands still reads it when it wakes. Why: it takes a place of the pace until it is
// known to have come or not, or those that wake together would exceed it.
func (k *Keeper) Afloat(now time.Duration, who string) {
	f, known := k.afloat[who]
	if !known {
		f.since = now
	}
	if f.told = now; known || len(k.afloat) < maxWaiters {
		k.afloat[who] = f
	}
}

// Floats tells which starts may still come, and for how long that has been so.
func (k *Keeper) Floats(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for who, f := range k.afloat {
		if now-f.told <= k.floatLife() {
			out[who] = now - f.since
		}
	}
	return out
}

// forget drops the grants that count no more. Why: a start comes up to a life
// after its grant, so grants are counted over the window and a life.
func (k *Keeper) forget(now time.Duration) {
	for k.grants.Len() > 0 && now-k.grants.Front().at > k.window+GrantLife {
		k.grants.PopFront()
	}
}

// Request asks for leave to start a load.
type Request struct {
	Who   string  // the replica and item it is for
	Start string  // names the start: who asks again under a name has not begun it; empty if it has none
	Worth float64 // the dearest goes first
}

// takeBack removes the grant for a load start that has not begun. Why: its answer came too late; counted on, it
// would keep another load out for a whole window.
func takeBack(grants *deque.Deque[grant], start string) {
	if at := grants.RIndex(func(g grant) bool { return g.start == start }); start != "" && at >= 0 {
		grants.Remove(at)
	}
}

// Grant allows a load start now, or says how long it will probably take.
func (k *Keeper) Grant(now time.Duration, loads int, r Request) (wait time.Duration, ok bool) {
	k.forget(now)
	takeBack(&k.grants, r.Start)
	takeBack(&k.recent, r.Start)
	for name, f := range k.afloat {
		if now-f.told > k.floatLife() {
			delete(k.afloat, name)
		}
	}
	taken := k.grants.Len() + len(k.afloat)
	w := waiter{worth: r.Worth, first: now, last: now}
	if old, found := k.waiters[r.Who]; found {
		w.first = old.first
	} else if len(k.waiters) >= maxWaiters {
		return k.window, false
	}
	k.waiters[r.Who] = w
	ahead := 0
	for name, o := range k.waiters {
		switch {
		case now-o.last > patience:
			delete(k.waiters, name)
		case name != r.Who && (o.worth > r.Worth || o.worth == r.Worth && (o.first < w.first || o.first == w.first && name < r.Who)):
			ahead++
		}
	}
	if now < k.from {
		return k.from - now + time.Duration(ahead/max(loads, 1))*(k.window+GrantLife), false
	}
	if taken+ahead < loads {
		k.grants.PushBack(grant{now, r.Start})
		k.recent.PushBack(grant{now, r.Start})
		delete(k.waiters, r.Who)
		return 0, true
	}
	// Why: the place that gets free for it is the one of the grant that many places back.
	n := taken + ahead - loads
	rounds := n / max(loads, 1)
	at := now
	if k.grants.Len() > 0 {
		at = k.grants.At(min(n%max(loads, 1), k.grants.Len()-1)).at
	}
	return time.Duration(rounds)*(k.window+GrantLife) + max(0, at+k.window+GrantLife-now) + time.Millisecond, false
}

// Use is the share of the loads the store may start in a use span that were
// granted in the last one or still wait. One that waits for its predecessor's
// grants to pass counts as full.
func (k *Keeper) Use(now time.Duration, loads int) float64 {
	for k.recent.Len() > 0 && now-k.recent.Front().at > UseSpan {
		k.recent.PopFront()
	}
	if now < k.from {
		return 1
	}
	waiting := 0
	for _, w := range k.waiters {
		if now-w.last <= patience {
			waiting++
		}
	}
	return float64(k.recent.Len()+waiting) / (float64(max(loads, 1)) * UseSpan.Seconds() / (k.window + GrantLife).Seconds())
}
