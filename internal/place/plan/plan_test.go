package plan

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/report"
)

// Candidates are asked at once; when none answers, nothing is taken and nobody
// is told that the item is refused (run under the race detector, it also shows
// that those asked share no state).
func TestNoRefusalWhenNoCandidateAnswers(t *testing.T) {
	g := run.NewGroup(context.Background())
	defer g.Stop()
	p := &Planner{d: Deps{Group: g, Clock: tick.Machine(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Ask: func(context.Context, string, order.ConsiderRequest) (order.ConsiderResponse, error) {
			return order.ConsiderResponse{}, errors.New("no answer")
		}}, items: map[conf.Item]*itemState{}}
	p.actor = run.NewActor(g, 8, 0, nil)
	p.executeDecision(t.Context(), conf.Effective{}, Decision{Item: "m", NoHolder: true, Candidates: []judge.Ranked{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}}, order.Statuses{})
	// Why: telling of a refusal would need an owner, and there is none here to ask.
	got := p.Explain(t.Context(), "m")
	if len(got) != 1 || got[0].AcceptedBy != "" || len(got[0].Answers) != 4 {
		t.Fatalf("%+v", got)
	}
	for _, x := range got[0].Answers {
		if !x.Answer.Unanswered {
			t.Errorf("%+v", x)
		}
	}
}

// A core that has just started knows of no replica, or of none that answers; that is no
// reason to have requests turned away (that would need an owner, and there is none here to ask).
func TestNoRefusalWhenNoReplicaIsReachable(t *testing.T) {
	for name, views := range map[string][]order.Status{
		"no word of any":       nil,
		"none that answers":    {{Listed: inventory.Listed{ID: "a", Model: true}, Stale: true}},
		"only other services'": {{Listed: inventory.Listed{ID: "b"}}},
	} {
		g := run.NewGroup(context.Background())
		p := &Planner{d: Deps{Group: g, Clock: tick.Machine(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, items: map[conf.Item]*itemState{}}
		p.actor = run.NewActor(g, 8, 0, nil)
		p.executeDecision(t.Context(), conf.Effective{}, Decision{Item: "m", NoHolder: true}, order.NewStatuses(views))
		if got := p.Explain(t.Context(), "m"); len(got) != 1 || got[0].AcceptedBy != "" {
			t.Errorf("%s: %+v", name, got)
		}
		g.Stop()
	}
}

// In a fleet of more replicas than are asked, those that have no load before
// them are asked first; among those the judges decide, as before.
func TestReplicasWithoutPendingLoadsAreAskedFirst(t *testing.T) {
	view := func(id string, freeMib int, items map[string]string) order.Status {
		return order.Status{Listed: inventory.Listed{ID: id, Model: true}, Slots: 12, CapacityMib: 200, FreeMib: freeMib, AdapterPlaces: 8, AdapterFree: 8, Items: items}
	}
	views := []order.Status{
		view("a-roomy-and-loading", 200, map[string]string{"x": backend.Loading}),
		view("b-two-wait", 50, map[string]string{"x": order.Reserved, "y": backend.Loading}),
		view("c-holds", 100, map[string]string{"m": backend.Loaded}),
		view("d-idle", 50, map[string]string{"x": backend.Loaded}),
		view("e-roomy", 100, nil),
		view("f-adapter-comes", 100, map[string]string{"z": backend.Loaded, "z/a1": backend.Loading}),
		view("g-too-small", 200, nil),
	}
	views[6].CapacityMib = 10
	p := &Planner{d: Deps{Reports: report.NewTable()}}
	got := p.rankCandidates(conf.Effective{Weights: map[string]float64{"room": 1}}, conf.Item{Model: "m"}, conf.Model{SizeMib: 100}, order.NewStatuses(views), 0, labels.Everything())
	var names []string
	for _, r := range got {
		names = append(names, r.Name)
	}
	want := []string{"e-roomy", "f-adapter-comes", "d-idle", "a-roomy-and-loading", "b-two-wait", "g-too-small"}
	if !slices.Equal(names, want) {
		t.Errorf("got %v, want %v", names, want)
	}
	if !got[len(got)-1].Vetoed {
		t.Error("the one that can never hold it is not the last")
	}
}
