package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// nemesis causes faults on a fleet. Faults side by side take different
// machines, or wait for each other.
type nemesis struct {
	f    *Fleet
	mu   sync.Mutex
	lent map[string]bool
}

func newNemesis(f *Fleet) *nemesis { return &nemesis{f: f, lent: map[string]bool{}} }

// borrow waits until n of the names are free, takes them, and gives back how
// to return them.
func (x *nemesis) borrow(n int, names ...string) (got []string, back func()) {
	try := func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		got = nil
		for _, i := range x.f.Rnd.Perm(len(names)) {
			if !x.lent[names[i]] && len(got) < n {
				got = append(got, names[i])
			}
		}
		if len(got) < n {
			return false
		}
		for _, name := range got {
			x.lent[name] = true
		}
		return true
	}
	for !try() {
		time.Sleep(100 * time.Millisecond)
	}
	return got, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, name := range got {
			delete(x.lent, name)
		}
	}
}

func names(ns []*Node) []string {
	var out []string
	for _, n := range ns {
		out = append(out, n.Name)
	}
	return out
}

func (x *nemesis) node(name string) *Node {
	for _, n := range append(append([]*Node{}, x.f.Cores...), x.f.Edges...) {
		if n.Name == name {
			return n
		}
	}
	panic("no node " + name)
}

// core, edge and so on lend one of a kind to a fault.
func (x *nemesis) core(do func(n *Node)) {
	got, back := x.borrow(1, names(x.f.Cores)...)
	defer back()
	do(x.node(got[0]))
}

func (x *nemesis) edge(do func(n *Node)) {
	got, back := x.borrow(1, names(x.f.Edges)...)
	defer back()
	do(x.node(got[0]))
}

func (x *nemesis) all(ns []*Node, do func()) {
	_, back := x.borrow(len(ns), names(ns)...)
	defer back()
	do()
}

func (x *nemesis) replica(do func(id string)) {
	var ids []string
	for i := range x.f.D.Models {
		ids = append(ids, fmt.Sprintf("m-%02d", i+1))
	}
	got, back := x.borrow(1, ids...)
	defer back()
	do(got[0])
}

// alone keeps a fault that belongs to no machine from coming twice at a time.
func (x *nemesis) alone(what string, do func()) {
	_, back := x.borrow(1, what)
	defer back()
	do()
}

// wait lets half a second and up to that much more pass.
func (x *nemesis) wait(ms int) {
	time.Sleep(time.Duration(500+x.f.Rnd.IntN(ms)) * time.Millisecond)
}

// drawn is one fault, or two different ones; at most one loses a disk.
func drawn(r *Chance, pair bool, lost bool) []fault {
	for {
		i := r.Perm(len(faults))
		a, b := faults[i[0]], faults[i[1]]
		switch {
		case lost && (a.disk || pair && b.disk) || pair && a.disk && b.disk:
		case pair:
			return []fault{a, b}
		default:
			return []fault{a}
		}
	}
}

// cause lets faults happen side by side, with changes of the configuration all
// the while.
func (x *nemesis) cause(fs ...fault) {
	done := make(chan struct{}, len(fs))
	for _, fl := range fs {
		x.f.Group.Go(func(context.Context) {
			fl.do(x)
			done <- struct{}{}
		})
	}
	for n := 0; n < len(fs); {
		select {
		case <-done:
			n++
		case <-time.After(1500 * time.Millisecond):
			at := x.f.Rnd.IntN(len(x.f.Cores))
			x.f.Group.Go(func(context.Context) { x.f.patchNow(at) })
		}
	}
}

// Nemesis: whatever comes to mind, one after the other, under the traffic mix.
func TestNemesis(t *testing.T) {
	Seeds(t, 8, either, func(f *Fleet) { f.suffer(6, false) })
}

// And in pairs.
func TestNemesisInPairs(t *testing.T) {
	Seeds(t, 8, either, func(f *Fleet) { f.suffer(4, true) })
}

func (f *Fleet) suffer(rounds int, pairs bool) {
	f.Traffic(0.7)
	time.Sleep(4 * time.Second)
	x, lost := newNemesis(f), false
	var trail []string
	for range rounds {
		fs := drawn(f.Rnd, pairs, lost)
		for _, fl := range fs {
			trail = append(trail, fl.name)
			lost = lost || fl.disk
		}
		x.cause(fs...)
	}
	f.T.Log("faults:", strings.Join(trail, "; "))
	time.Sleep(10 * time.Second)
}
