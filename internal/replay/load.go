package replay

import (
	"fmt"
	"strconv"
	"time"

	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/place/penalty"
)

// load decides as the policy does, and says on which replica the item is loaded.
func (r *run) load(q request, alone bool) int {
	size, capMib := r.w.size[q.item], r.w.d.Replica.CapacityMib
	facts := r.candidates(q)
	wanted := penalty.Of(r.requests(q.item)+1, r.cost(q.item, -1))
	last, passed := r.passed[q.item]
	pass := alone && r.c.PassMin >= 0 && (!passed || r.now-last >= int64(r.c.PassMin)*60_000 || r.use() < r.c.Slack)
	best, victims := -1, penalty.Result{}
	for n, c := range judge.RankForLoadWithBreakdown(r.c.Weights, facts) {
		if n >= r.c.Ask {
			break
		}
		i := number(c.Name)
		p := r.reps[i]
		v := penalty.Evaluate(p.used+size-capMib, wanted, r.c.Csf, pass || r.c.Policy != Paper, r.idle(i))
		if v.Load && (best < 0 || v.VictimPenalty < victims.VictimPenalty) {
			best, victims = i, v
		}
		if best >= 0 && !r.c.Least {
			break
		}
	}
	if best < 0 {
		return -1
	}
	if pass {
		r.passed[q.item] = r.now
	}
	r.put(best, q.item, victims)
	return best
}

// candidates are the replicas that could load the item of a request.
func (r *run) candidates(q request) []judge.Candidate {
	var facts []judge.Candidate
	for i, p := range r.reps {
		if p.items[q.item] != nil || r.c.Policy == Always && i != q.home {
			continue
		}
		facts = append(facts, judge.Candidate{
			Name: fmt.Sprintf("%03d", i), Inflight: len(p.busy), Slots: r.w.d.Replica.Slots, ServeTime: time.Duration(r.serveMs()) * time.Millisecond,
			Fits: true, FreeMib: r.w.d.Replica.CapacityMib - p.used, NeedMib: r.w.size[q.item], FreeAdapterPlaces: 1,
		})
	}
	return facts
}

// put loads an item on a replica in place of the victims.
func (r *run) put(on, item int, victims penalty.Result) {
	p := r.reps[on]
	for _, x := range victims.Victims {
		it := number(x.Item)
		delete(p.items, it)
		p.used -= x.Size
		if r.now >= 7*dayMs {
			r.res.Unloads++
		}
	}
	ready := r.grant() + r.loadFor(item).Milliseconds()
	p.items[item] = &held{ready: ready, lastUsed: r.now}
	if p.used += r.w.size[item]; p.used > r.w.d.Replica.CapacityMib {
		panic("replay: a replica holds more than fits")
	}
	if r.now >= 7*dayMs {
		r.res.Loads++
		r.res.Mib += r.w.size[item]
	}
}

// number reads a name made with %03d; Sscan would take it for octal.
func number(name string) int {
	n, err := strconv.Atoi(name)
	if err != nil {
		panic(err)
	}
	return n
}

// grant is when the store lets the next load start.
func (r *run) grant() int64 {
	n := r.w.d.PaceLoads
	at := r.now
	if len(r.grants) >= n {
		at = max(at, r.grants[len(r.grants)-n]+(pace.Window+pace.GrantTTL).Milliseconds())
	}
	r.grants = append(r.grants, at)
	if len(r.grants) > 40*n {
		r.grants = append([]int64(nil), r.grants[len(r.grants)-20*n:]...)
	}
	return at
}

// use is the share of the loads the store may start that it did in the last 30 s.
func (r *run) use() float64 {
	n := 0
	for i := len(r.grants) - 1; i >= 0 && r.grants[i] > r.now-30_000; i-- {
		n++
	}
	return float64(n) / (float64(r.w.d.PaceLoads) * 30 / (pace.Window + pace.GrantTTL).Seconds())
}

// loadFor is how long reading an item takes.
func (r *run) loadFor(item int) time.Duration {
	return time.Duration(r.w.size[item]) * time.Second / time.Duration(r.w.d.Replica.LoadMibPerS)
}
