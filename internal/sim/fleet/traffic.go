package fleet

import (
	"context"
	"testing"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/stand"
)

// Spots are the edges as clients see them.
func (f *Fleet) Spots() []stand.Edge {
	var out []stand.Edge
	for _, n := range f.Edges {
		out = append(out, stand.Edge{Name: n.Name, Addr: n.IP + ":8080", Zone: n.Zone})
	}
	return out
}

// Traffic starts the deployment's flows, times scale.
func (f *Fleet) Traffic(scale float64) {
	ctx, cancel := context.WithCancel(context.Background())
	if before := f.flow; before != nil {
		f.flow = func() { before(); cancel() }
	} else {
		f.flow = cancel
	}
	f.settle()
	flows := append([]stand.Flow(nil), f.D.Flows...)
	for i := range flows {
		flows[i].PerSecond *= scale
	}
	f.Clients.Run(f.Group, ctx, f.Rnd.Uint64(), func() []stand.Edge { return *f.spots.Load() }, flows)
}

// Quiet ends the flows and lets what is under way finish.
func (f *Fleet) Quiet() {
	if f.flow != nil {
		f.flow()
		f.flow = nil
	}
	// Why: a run that looks for races need not wait for what was turned away and might run later.
	if testing.Short() {
		f.Until(45*time.Second, "an answer to every request", func() bool { return f.Clients.Out() == 0 })
		return
	}
	time.Sleep(45 * time.Second)
}

// Tally counts answers by class and outcome.
func (f *Fleet) Tally() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, e := range f.Rec.Events() {
		if e.Kind == check.Answer {
			if out[e.Class] == nil {
				out[e.Class] = map[string]int{}
			}
			out[e.Class][e.Outcome]++
		}
	}
	return out
}
