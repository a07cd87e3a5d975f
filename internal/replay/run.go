package replay

import (
	"container/heap"
	"math"
	"sort"
	"time"

	"drumstall.example/internal/place/demand"
)

// finish is a heap of the times at which running requests end, in ms.
type finish []int64

func (f finish) Len() int { return len(f) }

func (f finish) Less(i, j int) bool { return f[i] < f[j] }

func (f finish) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

func (f *finish) Push(x any) { *f = append(*f, x.(int64)) }

func (f *finish) Pop() any {
	o := *f
	x := o[len(o)-1]
	*f = o[:len(o)-1]
	return x
}

// held is one item on a replica; times are in ms.
type held struct {
	ready    int64
	lastUsed int64
	busyTill int64
}

// replica is one that holds items.
type replica struct {
	items map[int]*held
	used  int // Mib
	busy  finish
}

// run is a world under one case, at one moment.
type run struct {
	w      *World
	c      Case
	reps   []*replica
	series []*demand.Series
	rule   demand.Params
	next   map[int]float64 // predictions of this minute
	nextAt int64           // that minute
	grants []int64         // when the store started its loads
	passed map[int]int64   // item: when it was last loaded without the test
	now    int64           // ms since the first day began
	res    Result
}

// Run replays the world under a case; the first seven days only make history.
func (w *World) Run(c Case) Result {
	r := &run{w: w, c: c, rule: demand.Params{DayWeights: c.DayWeights, WarmupMinutes: 30, HorizonMinutes: 60}, next: map[int]float64{}, passed: map[int]int64{}}
	r.res.Case = c
	for range w.d.Models {
		r.reps = append(r.reps, &replica{items: map[int]*held{}})
	}
	for range w.items {
		r.series = append(r.series, demand.NewSeries())
	}
	for _, name := range w.classes {
		r.res.Classes = append(r.res.Classes, Class{Name: name})
	}
	for _, q := range w.requests {
		r.now = q.at
		measured := q.at >= 7*dayMs
		hit, first, ok := r.serve(q)
		r.series[q.item].Add(r.minute(), 1)
		if !measured {
			continue
		}
		r.res.Requests++
		cl := &r.res.Classes[q.class]
		cl.Requests++
		if hit {
			r.res.Hits++
		}
		if !ok {
			r.res.Late++
			cl.Late++
			continue
		}
		cl.first = append(cl.first, first)
	}
	for i := range r.res.Classes {
		cl := &r.res.Classes[i]
		sort.Slice(cl.first, func(a, b int) bool { return cl.first[a] < cl.first[b] })
		if n := len(cl.first); n > 0 {
			cl.FirstP50Ms, cl.FirstP99 = cl.first[n/2], cl.first[min(n-1, n*99/100)]
		}
		cl.first = nil
	}
	return r.res
}

// minute is now in minutes since 1970.
func (r *run) minute() int64 { return (start + r.now) / 60_000 }

// serveMs is how long a request runs.
func (r *run) serveMs() int64 {
	return (r.w.d.Replica.PieceFor * time.Duration(r.w.d.Replica.Pieces)).Milliseconds()
}

// free is when a replica has a place for one more.
func (r *run) free(p *replica) int64 {
	for len(p.busy) > 0 && p.busy[0] <= r.now {
		heap.Pop(&p.busy)
	}
	if len(p.busy) < r.w.d.Replica.Slots {
		return r.now
	}
	return p.busy[0]
}

// serve gives a request to the replica that has it soonest, after a load if that
// helps. first is the time to its first piece in ms; not ok is turned away.
func (r *run) serve(q request) (hit bool, first int64, ok bool) {
	best, at, loading := -1, int64(math.MaxInt64), int64(math.MaxInt64)
	for i, p := range r.reps {
		h := p.items[q.item]
		if h == nil {
			continue
		}
		if h.ready > r.now {
			loading = min(loading, h.ready)
		}
		if t := max(h.ready, r.free(p)); t < at || t == at && i == q.home {
			best, at = i, t
		}
	}
	hit = at <= r.now
	wantsLoad := !hit && loading == math.MaxInt64
	if r.c.Policy == Always {
		wantsLoad = r.reps[q.home].items[q.item] == nil
	}
	if wantsLoad {
		if i := r.load(q, best < 0); i >= 0 {
			if t := max(r.reps[i].items[q.item].ready, r.free(r.reps[i])); t < at {
				best, at = i, t
			}
		}
	}
	if best < 0 || at-r.now > r.w.deadline[q.class] {
		return hit, 0, false
	}
	p := r.reps[best]
	end := at + r.serveMs()
	heap.Push(&p.busy, end)
	h := p.items[q.item]
	h.lastUsed = max(h.lastUsed, at)
	h.busyTill = max(h.busyTill, end)
	return hit, at - r.now + r.w.d.Replica.PieceFor.Milliseconds(), true
}
