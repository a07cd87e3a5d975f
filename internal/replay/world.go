package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/stand"
)

// request is one of the day's requests.
type request struct {
	at    int64 // milliseconds
	item  int   // index of World.items
	class int   // index of World.classes
	home  int   // index of the replica that it comes to first
}

// World is a deployment's items and traffic, the same for every case.
type World struct {
	d        stand.Deployment
	items    []conf.Item
	size     []int // Mib, by item
	requests []request
	classes  []string
	deadline []int64 // ms, by class
	days     int
}

// dayMs is a day in milliseconds.
const dayMs = int64(24 * time.Hour / time.Millisecond)

// start makes day 0 a Monday.
var start = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC).UnixMilli()

// NewWorld draws the traffic of some days. Each class has hours of its own and
// models of its own order, so what is wanted shifts through the day; weekends
// are quieter but for night work. The same seed draws the same traffic; scale
// multiplies it.
func NewWorld(d stand.Deployment, days int, seed uint64, scale float64) *World {
	w := &World{d: d, days: days}
	rnd := rand.New(rand.NewPCG(seed, 11))
	for i := range d.Kinds {
		w.items = append(w.items, conf.Item{Model: fmt.Sprintf("model-%02d", i+1)})
		w.size = append(w.size, 1000+500*(i*7%9))
	}
	for c, f := range d.Flows {
		w.classes = append(w.classes, f.Class)
		w.deadline = append(w.deadline, []int64{2000, 15000, 20000, 40000}[min(c, 3)])
		if len(f.Items) > 0 {
			w.draw(c, f.PerSecond, scale, rnd)
		}
	}
	sort.Slice(w.requests, func(i, j int) bool { return w.requests[i].at < w.requests[j].at })
	return w
}

// peaks are the busiest hours of the classes after the first.
var peaks = []float64{11, 15, 2}

// draw adds the requests of one class, of scale times so many a second at its usual
// level.
func (w *World) draw(class int, perSecond, scale float64, rnd *rand.Rand) {
	kinds := w.d.Kinds
	order := rand.New(rand.NewPCG(uint64(class), 5)).Perm(kinds)
	cum := make([]float64, kinds)
	total := 0.0
	for i := range cum {
		total += 1 / math.Pow(float64(i+1), 1.0)
		cum[i] = total
	}
	for minute := range int64(w.days) * 1440 {
		mean := perSecond * 60 * level(class, minute) * scale
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
				i = (i + shift) % kinds
			}
			w.requests = append(w.requests, request{at: minute*60_000 + rnd.Int64N(60_000), item: order[min(i, kinds-1)], class: class, home: rnd.IntN(w.d.Models)})
		}
	}
}

// level is how busy a class is in a minute, as a share of its usual traffic.
func level(class int, minute int64) float64 {
	hour := float64(minute%1440) / 60
	away := math.Abs(hour - peaks[(class-1)%len(peaks)])
	away = math.Min(away, 24-away)
	level := 0.05 + 2.2*math.Exp(-away*away/8)
	if day := minute / 1440 % 7; day >= 5 && class < 3 {
		level *= 0.5
	}
	return level
}
