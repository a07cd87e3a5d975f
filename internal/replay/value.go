package replay

import (
	"fmt"
	"sort"
	"time"

	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/penalty"
)

// requests is how many are predicted for an item.
func (r *run) requests(item int) float64 {
	if m := r.minute(); m != r.nextAt {
		r.nextAt = m
		clear(r.next)
	}
	n, found := r.next[item]
	if !found {
		n = r.series[item].PredictHorizon(r.rule, r.nextAt, 0)
		r.next[item] = n
	}
	return n
}

// cost is how long a request for an item takes where it is held best, not
// counting one replica, or with a load where nobody holds it.
func (r *run) cost(item, not int) time.Duration {
	serve := time.Duration(r.serveMs()) * time.Millisecond
	best := time.Duration(0)
	for i, p := range r.reps {
		if h := p.items[item]; i != not && h != nil && h.ready <= r.now {
			t := time.Duration(float64(serve) * (1 + float64(len(p.busy))/float64(r.w.d.Replica.Slots)))
			if best == 0 || t < best {
				best = t
			}
		}
	}
	if best == 0 {
		best = serve + r.loadFor(item)
	}
	return best
}

// idle lists what may go from a replica, the first best.
func (r *run) idle(i int) []penalty.Victim {
	p := r.reps[i]
	ids := make([]int, 0, len(p.items))
	for it, h := range p.items {
		if h.ready <= r.now && h.busyTill <= r.now {
			ids = append(ids, it)
		}
	}
	sort.Ints(ids)
	if r.c.Policy != Paper {
		sort.SliceStable(ids, func(a, b int) bool { return p.items[ids[a]].lastUsed < p.items[ids[b]].lastUsed })
		var out []penalty.Victim
		for _, it := range ids {
			out = append(out, penalty.Victim{Item: fmt.Sprintf("%03d", it), Size: r.w.size[it]})
		}
		return out
	}
	var facts []judge.IdleItem
	by := map[string]judge.IdleItem{}
	for _, it := range ids {
		copies := 0
		for j, o := range r.reps {
			if h := o.items[it]; j != i && h != nil && h.ready <= r.now {
				copies++
			}
		}
		f := judge.IdleItem{Name: fmt.Sprintf("%03d", it), SizeMib: r.w.size[it], Penalty: penalty.Of(r.requests(it), r.cost(it, i)),
			IdleFor: time.Duration(r.now-p.items[it].lastUsed) * time.Millisecond, Copies: copies}
		facts, by[f.Name] = append(facts, f), f
	}
	var out []penalty.Victim
	for _, x := range judge.RankVictimsWithBreakdown(r.c.Weights, facts) {
		out = append(out, penalty.Victim{Item: x.Name, Size: by[x.Name].SizeMib, Penalty: by[x.Name].Penalty})
	}
	return out
}
