// Package replay runs simulated days of a deployment's traffic through the
// placement code, second by second without a network, and compares policies.
package replay

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/demand"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/pace"
	"drumstall.example/internal/place/penalty"
	"drumstall.example/internal/stand"
)

// Policy decides what is loaded and what goes.
type Policy string

// The paper's rule as drumstall runs it; the same without prediction, the least
// recently used going first and no test; and a load at every request's home.
const (
	Paper  Policy = "paper"
	LRU    Policy = "lru"
	Always Policy = "always"
)

// Case is one run.
type Case struct {
	Name       string
	Policy     Policy
	Csf        float64
	DayWeights []float64
	Weights    map[string]float64
	Ask        int  // candidates that are asked
	Least      bool // take the one whose victims are worth least, not the first that agrees
	// PassMin is how often, in minutes, an item that nobody holds may be loaded
	// without the test; 0 is always, -1 never.
	PassMin int
	// Slack lets an item that nobody holds skip the test while the store has started
	// less than this share of the loads it may in the last 30 s; 0 does not look.
	Slack float64
}

// Usual is the paper's rule with the starting values.
func Usual(name string) Case {
	w := maps.Clone(conf.Judges)
	return Case{Name: name, Policy: Paper, Ask: 4, Least: true, PassMin: 3, Slack: 0.75, Csf: 1, DayWeights: []float64{0.25, 0.1, 0.1, 0.1, 0.1, 0.1, 0.25}, Weights: w}
}

// Class is the figures of one class.
type Class struct {
	Name                 string
	Requests, Late       int
	FirstP50Ms, FirstP99 int64
	first                []int64
}

// Result is the figures of the days after the first seven.
type Result struct {
	Case     Case
	Requests int
	Hits     int
	Loads    int
	Unloads  int
	Mib      int
	Late     int // turned away: no load would be ready before the deadline
	Classes  []Class
}

// Request is one of the day's requests.
type request struct {
	at    int64 // milliseconds
	item  int
	class int
	home  int
}

// World is a deployment's items and traffic, the same for every case.
type World struct {
	d        stand.Deployment
	items    []conf.Item
	size     []int
	requests []request
	classes  []string
	deadline []int64
	days     int
}

const dayMs = int64(24 * time.Hour / time.Millisecond)

// start makes day 0 a Monday.
var start = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC).UnixMilli()

// NewWorld draws the traffic of some days. Each class has hours of its own and
// models of its own order, so what is wanted shifts through the day; weekends
// are quieter but for night work.
func NewWorld(d stand.Deployment, days int, seed uint64, scale float64) *World {
	w := &World{d: d, days: days}
	rnd := rand.New(rand.NewPCG(seed, 11))
	for i := range d.Kinds {
		w.items = append(w.items, conf.Item{Model: fmt.Sprintf("model-%02d", i+1)})
		w.size = append(w.size, 1000+500*(i*7%9))
	}
	peaks := []float64{11, 15, 2}
	for c, f := range d.Flows {
		w.classes = append(w.classes, f.Class)
		w.deadline = append(w.deadline, []int64{2000, 15000, 20000, 40000}[min(c, 3)])
		if len(f.Items) == 0 {
			continue
		}
		order := rand.New(rand.NewPCG(uint64(c), 5)).Perm(d.Kinds)
		cum := make([]float64, d.Kinds)
		total := 0.0
		for i := range cum {
			total += 1 / math.Pow(float64(i+1), 1.0)
			cum[i] = total
		}
		for minute := range int64(days) * 1440 {
			hour := float64(minute%1440) / 60
			away := math.Abs(hour - peaks[(c-1)%len(peaks)])
			away = math.Min(away, 24-away)
			level := 0.05 + 2.2*math.Exp(-away*away/8)
			if day := minute / 1440 % 7; day >= 5 && c < 3 {
				level *= 0.5
			}
			mean := f.PerSecond * 60 * level * scale
			n := int(mean)
			if rnd.Float64() < mean-float64(n) {
				n++
			}
			// Why: fresh chance in what is wanted each hour of the week, the same every week but for noise.
			shift := int(minute / 60 % 168 / 6)
			for range n {
				x := rnd.Float64() * total
				i := sort.SearchFloat64s(cum, x)
				if rnd.IntN(10) < 3 {
					i = (i + shift) % d.Kinds
				}
				w.requests = append(w.requests, request{at: minute*60_000 + rnd.Int64N(60_000), item: order[min(i, d.Kinds-1)], class: c, home: rnd.IntN(d.Models)})
			}
		}
	}
	sort.Slice(w.requests, func(i, j int) bool { return w.requests[i].at < w.requests[j].at })
	return w
}

type finish []int64

func (f finish) Len() int           { return len(f) }
func (f finish) Less(i, j int) bool { return f[i] < f[j] }
func (f finish) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finish) Push(x any)        { *f = append(*f, x.(int64)) }
func (f *finish) Pop() any {
	o := *f
	x := o[len(o)-1]
	*f = o[:len(o)-1]
	return x
}

type held struct {
	ready    int64
	lastUsed int64
	busyTill int64
}

type replica struct {
	items map[int]*held
	used  int
	busy  finish
}

type run struct {
	w      *World
	c      Case
	reps   []*replica
	series []*demand.Series
	rule   demand.Rule
	next   map[int]float64 // predictions of this minute
	nextAt int64
	grants []int64
	passed map[int]int64 // item: when it was last loaded without the test
	now    int64
	res    Result
}

// Run replays the world under a case; the first seven days only make history.
func (w *World) Run(c Case) Result {
	r := &run{w: w, c: c, rule: demand.Rule{DayWeights: c.DayWeights, WarmupMinutes: 30, HorizonMinutes: 60}, next: map[int]float64{}, passed: map[int]int64{}}
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

func (r *run) minute() int64 { return (start + r.now) / 60_000 }

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

func (r *run) requests(item int) float64 {
	if m := r.minute(); m != r.nextAt {
		r.nextAt = m
		clear(r.next)
	}
	n, found := r.next[item]
	if !found {
		n = r.series[item].Next(r.rule, r.nextAt, 0)
		r.next[item] = n
	}
	return n
}

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

func (r *run) loadFor(item int) time.Duration {
	return time.Duration(r.w.size[item]) * time.Second / time.Duration(r.w.d.Replica.LoadMibPerS)
}

// load decides as the policy does, and says on which replica the item is loaded.
func (r *run) load(q request, alone bool) int {
	size, capMib := r.w.size[q.item], r.w.d.Replica.CapacityMib
	var facts []judge.Replica
	for i, p := range r.reps {
		if p.items[q.item] != nil || r.c.Policy == Always && i != q.home {
			continue
		}
		facts = append(facts, judge.Replica{Name: fmt.Sprintf("%03d", i), Inflight: len(p.busy), Slots: r.w.d.Replica.Slots, ServeFor: time.Duration(r.serveMs()) * time.Millisecond,
			Fits: true, FreeMib: capMib - p.used, NeedMib: size, AdFree: 1})
	}
	wanted := penalty.Of(r.requests(q.item)+1, r.cost(q.item, -1))
	last, passed := r.passed[q.item]
	pass := alone && r.c.PassMin >= 0 && (!passed || r.now-last >= int64(r.c.PassMin)*60_000 || r.use() < r.c.Slack)
	best, victims := -1, penalty.Verdict{}
	for n, c := range judge.Load(r.c.Weights, facts) {
		if n >= r.c.Ask {
			break
		}
		i := number(c.Name)
		p := r.reps[i]
		v := penalty.Test(p.used+size-capMib, wanted, r.c.Csf, pass || r.c.Policy != Paper, r.idle(i))
		if v.Load && (best < 0 || v.Sum < victims.Sum) {
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
	p := r.reps[best]
	for _, x := range victims.Victims {
		it := number(x.Item)
		delete(p.items, it)
		p.used -= x.Size
		if r.now >= 7*dayMs {
			r.res.Unloads++
		}
	}
	ready := r.grant() + r.loadFor(q.item).Milliseconds()
	p.items[q.item] = &held{ready: ready, lastUsed: r.now}
	if p.used += size; p.used > capMib {
		panic("replay: a replica holds more than fits")
	}
	if r.now >= 7*dayMs {
		r.res.Loads++
		r.res.Mib += size
	}
	return best
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
		at = max(at, r.grants[len(r.grants)-n]+(pace.Window+pace.GrantLife).Milliseconds())
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
	return float64(n) / (float64(r.w.d.PaceLoads) * 30 / (pace.Window + pace.GrantLife).Seconds())
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
	var facts []judge.Idle
	by := map[string]judge.Idle{}
	for _, it := range ids {
		copies := 0
		for j, o := range r.reps {
			if h := o.items[it]; j != i && h != nil && h.ready <= r.now {
				copies++
			}
		}
		f := judge.Idle{Name: fmt.Sprintf("%03d", it), SizeMib: r.w.size[it], Penalty: penalty.Of(r.requests(it), r.cost(it, i)),
			IdleFor: time.Duration(r.now-p.items[it].lastUsed) * time.Millisecond, Copies: copies}
		facts, by[f.Name] = append(facts, f), f
	}
	var out []penalty.Victim
	for _, x := range judge.Victims(r.c.Weights, facts) {
		out = append(out, penalty.Victim{Item: x.Name, Size: by[x.Name].SizeMib, Penalty: by[x.Name].Penalty})
	}
	return out
}

// Cases are the comparisons: policies, then one thing varied at a time.
func Cases() []Case {
	out := []Case{Usual("paper, starting values"), {Name: "least recently used", Policy: LRU, Csf: 1}, {Name: "always load at home", Policy: Always, Csf: 1}}
	for i := range out[1:] {
		u := Usual("")
		out[i+1].DayWeights, out[i+1].Weights, out[i+1].Ask = u.DayWeights, u.Weights, u.Ask
	}
	for _, least := range []bool{false, true} {
		for _, pass := range []int{0, 1, 2, 3, 5, 15, 60, -1} {
			c := Usual(fmt.Sprintf("pass every %d min, least %v", pass, least))
			c.PassMin, c.Least, c.Slack = pass, least, 0
			out = append(out, c)
		}
	}
	for _, slack := range []float64{0.1, 0.25, 0.5, 1} {
		c := Usual(fmt.Sprintf("slack %g", slack))
		c.Slack = slack
		out = append(out, c)
	}
	for _, csf := range []float64{0.1, 10, 100} {
		c := Usual(fmt.Sprintf("csf %g", csf))
		c.Csf = csf
		out = append(out, c)
	}
	for _, d := range []struct {
		name string
		days []float64
	}{
		{"a: all days alike", []float64{1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7}}, {"b: yesterday only", []float64{1, 0, 0, 0, 0, 0, 0}},
		{"c: a week ago only", []float64{0, 0, 0, 0, 0, 0, 1}},
	} {
		c := Usual("days " + d.name)
		c.DayWeights = d.days
		out = append(out, c)
	}
	for _, j := range []string{"demand", "recency", "copies", "room", "load"} {
		for _, x := range []float64{0, 3} {
			c := Usual(fmt.Sprintf("judge %s x%g", j, x))
			c.Weights[j] *= x
			out = append(out, c)
		}
	}
	return out
}
