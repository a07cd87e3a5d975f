package main

import (
	"strings"
	"time"

	"drumstall.example/internal/sim/capacity"
	"drumstall.example/internal/sim/hollow"
)

// figures is what was measured of one size.
type figures struct {
	size      size
	roles     map[role]roleFigures
	processor float64 // of all processes together, in processors
	resident  float64 // of all processes together, in MB
	processes int
	busy      string // what the machine had to do at the end of the window
	change    changeTimes
}

// changeTimes is how long a change of the configuration took.
type changeTimes struct {
	acknowledged time.Duration
	half         time.Duration // until half of the hollow nodes had it
	all          time.Duration
	err          error // why it did not come to all nodes
}

// roleFigures is what one unit of a role used on average: a process, or a hollow node or replica.
type roleFigures struct {
	units       int
	processor   float64 // in processors
	most        float64 // of the busiest process, for each of its units
	resident    float64 // MB
	private     float64 // MB, without the program itself
	heap        float64 // MB
	connections float64
	network     rate // without what stays on the machine
	loopback    rate
	kinds       map[string]rate
	news        float64 // entries, of cores
	disk        float64 // MB, of cores
	items       float64 // counted since the start, of nodes
}

// rate is traffic a second.
type rate struct{ messages, out, in float64 }

func (r rate) plus(o rate) rate { return rate{r.messages + o.messages, r.out + o.out, r.in + o.in} }

func (r rate) both() float64 { return r.out + r.in }

const mega = 1 << 20

// units is how many of its role a process stands for.
func (p *part) units() int {
	return max(1, len(p.spec.Nodes), len(p.spec.Replicas))
}

// staysOnTheMachine says that a kind of message passes between an agent and its proxy.
func staysOnTheMachine(kind string) bool { return strings.Contains(kind, " /feed") }

// compare makes figures of what was sampled at the start and at the end of a window.
func compare(z size, before, after map[*part]hollow.Sample) figures {
	out := figures{size: z, roles: map[role]roleFigures{}}
	for one, b := range after {
		a, found := before[one]
		if !found {
			continue
		}
		r := out.roles[one.role]
		if r.kinds == nil {
			r.kinds = map[string]rate{}
		}
		took := b.At.Sub(a.At).Seconds()
		processor := (b.Processor - a.Processor).Seconds() / took
		r.add(one, b, processor)
		for kind, t := range b.Traffic {
			r.count(kind, t.Minus(a.Traffic[kind]), took)
		}
		out.roles[one.role] = r
		out.processor += processor
		out.resident += float64(b.Resident) / mega
		out.processes++
	}
	for name, r := range out.roles {
		out.roles[name] = r.each()
	}
	return out
}

// add adds a process to its role's sums.
func (r *roleFigures) add(one *part, s hollow.Sample, processor float64) {
	r.units += one.units()
	r.processor += processor
	r.most = max(r.most, processor/float64(one.units()))
	r.resident += float64(s.Resident) / mega
	r.private += float64(s.Private) / mega
	r.heap += float64(s.Heap) / mega
	r.connections += float64(s.Connections)
	for _, n := range s.Nodes {
		r.items += float64(n.Items)
	}
	for _, c := range s.Cores {
		r.news += float64(c.News)
		r.disk += float64(c.Disk) / mega
	}
}

// count adds the traffic of a kind within some seconds.
func (r *roleFigures) count(kind string, t capacity.Traffic, seconds float64) {
	one := rate{float64(t.Messages) / seconds, float64(t.Out) / seconds, float64(t.In) / seconds}
	r.kinds[kind] = r.kinds[kind].plus(one)
	if staysOnTheMachine(kind) {
		r.loopback = r.loopback.plus(one)
	} else {
		r.network = r.network.plus(one)
	}
}

// each makes averages of sums.
func (r roleFigures) each() roleFigures {
	n := float64(max(r.units, 1))
	for _, x := range []*float64{&r.processor, &r.resident, &r.private, &r.heap, &r.connections, &r.news, &r.disk, &r.items} {
		*x /= n
	}
	for kind, one := range r.kinds {
		r.kinds[kind] = one.over(n)
	}
	r.network, r.loopback = r.network.over(n), r.loopback.over(n)
	return r
}

func (r rate) over(n float64) rate { return rate{r.messages / n, r.out / n, r.in / n} }
