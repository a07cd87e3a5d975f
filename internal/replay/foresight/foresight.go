// Package foresight is a placer that knows all requests beforehand. What it
// serves within the same memory, places and pace says how much of what was turned away had to be.
package foresight

import (
	"slices"
	"time"

	"drumstall.example/internal/conf"
)

// Request is one caller's wish.
type Request struct {
	At   time.Duration
	By   time.Duration // its answer must have begun by then
	Item conf.Item
	For  time.Duration // how long it takes a place
}

// Fleet is what there is to serve with.
type Fleet struct {
	Replicas      int
	CapacityMib   int
	AdapterPlaces int
	Slots         int
	PaceLoads     int // in any window
	Window        time.Duration
	MibPerS       int
	Size          func(model string) int
	Held          []map[conf.Item]bool // by replica, at the beginning
}

// ahead is how far the worth of an item is looked for.
const ahead = 60 * time.Second

const step = 100 * time.Millisecond

type held struct{ ready time.Duration }

type replica struct {
	items map[conf.Item]held
	busy  []time.Duration             // until when each taken place is taken
	uses  map[conf.Item]time.Duration // until when an item is in use
}

// Served says of each request whether it could be served. It is a greedy
// placer, so the best there is may serve more, never less.
func Served(f Fleet, qs []Request) []bool {
	slices.SortStableFunc(qs, func(a, b Request) int { return int(a.At - b.At) })
	w := &world{f: f, qs: qs, served: make([]bool, len(qs)), by: map[conf.Item][]int{}}
	for i, q := range qs {
		w.by[q.Item] = append(w.by[q.Item], i)
	}
	for i := range f.Replicas {
		r := &replica{items: map[conf.Item]held{}, uses: map[conf.Item]time.Duration{}}
		for it := range f.Held[i] {
			r.items[it] = held{}
		}
		w.rs = append(w.rs, r)
	}
	if len(qs) == 0 {
		return nil
	}
	next, pending := 0, []int{}
	for now := time.Duration(0); now <= qs[len(qs)-1].By; now += step {
		for next < len(qs) && qs[next].At <= now {
			pending = append(pending, next)
			next++
		}
		left := pending[:0]
		for _, i := range pending {
			if qs[i].By >= now && !w.serve(i, now) {
				left = append(left, i)
			}
		}
		pending = left
		for w.load(now) {
		}
	}
	return w.served
}

type world struct {
	f      Fleet
	qs     []Request
	served []bool
	by     map[conf.Item][]int
	rs     []*replica
	starts []time.Duration
}

func (w *world) serve(i int, now time.Duration) bool {
	q := w.qs[i]
	for _, r := range w.rs {
		h, has := r.items[q.Item]
		base, hasBase := r.items[conf.Item{Model: q.Item.Model}]
		if !has || !hasBase || h.ready > now || base.ready > now {
			continue
		}
		r.busy = slices.DeleteFunc(r.busy, func(until time.Duration) bool { return until <= now })
		if len(r.busy) >= w.f.Slots {
			continue
		}
		r.busy = append(r.busy, now+q.For)
		for _, it := range []conf.Item{q.Item, {Model: q.Item.Model}} {
			r.uses[it] = max(r.uses[it], now+q.For)
		}
		w.served[i] = true
		return true
	}
	return false
}

// worth is how many requests an item that is ready at an instant would serve
// in the time ahead, in which it is not served otherwise.
func (w *world) worth(it conf.Item, ready, now time.Duration) int {
	n := 0
	for _, i := range w.by[it] {
		if q := w.qs[i]; !w.served[i] && q.By >= ready && q.At <= now+ahead {
			n++
		}
	}
	return n
}

func (w *world) holders(it conf.Item) int {
	n := 0
	for _, r := range w.rs {
		if _, has := r.items[it]; has {
			n++
		}
	}
	return n
}

// load starts the worthiest load there is; false when there is none or the
// pace allows none.
func (w *world) load(now time.Duration) bool {
	w.starts = slices.DeleteFunc(w.starts, func(at time.Duration) bool { return now-at >= w.f.Window })
	if len(w.starts) >= w.f.PaceLoads {
		return false
	}
	type choice struct {
		it      conf.Item
		on      *replica
		victims []conf.Item
		gain    int
	}
	var best choice
	for it := range w.by {
		if w.holders(it) > 0 {
			continue
		}
		for _, r := range w.rs {
			what := it
			if _, has := r.items[conf.Item{Model: it.Model}]; it.Adapter != "" && !has {
				what = conf.Item{Model: it.Model}
			}
			ready := now + w.takes(what)
			if what != it {
				ready += w.takes(it)
			}
			gain := w.worth(it, ready, now)
			if gain <= best.gain {
				continue
			}
			if victims, lost, ok := w.room(r, what, now); ok && gain-lost > best.gain {
				best = choice{what, r, victims, gain - lost}
			}
		}
	}
	if best.on == nil {
		return false
	}
	for _, v := range best.victims {
		for it := range best.on.items {
			if v.Covers(it) {
				delete(best.on.items, it)
			}
		}
	}
	best.on.items[best.it] = held{now + w.takes(best.it)}
	w.starts = append(w.starts, now)
	return true
}

func (w *world) takes(it conf.Item) time.Duration {
	mib := 100
	if it.Adapter == "" {
		mib = w.f.Size(it.Model)
	}
	return time.Duration(mib) * time.Second / time.Duration(w.f.MibPerS)
}

// room finds what must go from a replica for an item, the least wanted first,
// and how many requests would miss it.
func (w *world) room(r *replica, it conf.Item, now time.Duration) (victims []conf.Item, lost int, ok bool) {
	need := 0
	if it.Adapter == "" {
		need = w.f.Size(it.Model) - w.f.CapacityMib
		for x := range r.items {
			if x.Adapter == "" {
				need += w.f.Size(x.Model)
			}
		}
	} else {
		need = 1 - w.f.AdapterPlaces
		for x := range r.items {
			if x.Adapter != "" {
				need++
			}
		}
	}
	if need <= 0 {
		return nil, 0, true
	}
	type idle struct {
		it   conf.Item
		size int
		lost int
	}
	var list []idle
	for x, h := range r.items {
		if (x.Adapter == "") != (it.Adapter == "") || h.ready > now || r.uses[x] > now || x.Model == it.Model {
			continue
		}
		v := idle{it: x, size: 1}
		if x.Adapter == "" {
			v.size = w.f.Size(x.Model)
		}
		for y := range r.items {
			// Why: one that is held elsewhere too is missed by nobody.
			if x.Covers(y) && w.holders(y) == 1 {
				v.lost += w.worth(y, now, now)
			}
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b idle) int { return a.lost*b.size - b.lost*a.size })
	for _, v := range list {
		if need <= 0 {
			break
		}
		victims, lost, need = append(victims, v.it), lost+v.lost, need-v.size
	}
	return victims, lost, need <= 0
}
