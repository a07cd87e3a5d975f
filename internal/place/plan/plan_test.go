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

// Candidates are asked concurrently; when none answers, no load is ordered and no
// refusal is published. Under the race detector it also checks that concurrent asks
// share no state.
func TestNoRefusalWhenNoCandidateAnswers(t *testing.T) {
	g := run.NewGroup(context.Background())
	defer g.Stop()
	p := &Planner{d: Deps{Group: g, Clock: tick.MachineClock(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Consider: func(context.Context, string, order.ConsiderRequest) (order.ConsiderResponse, error) {
			return order.ConsiderResponse{}, errors.New("no answer")
		}}, items: map[conf.Item]*itemState{}}
	p.actor = run.NewActor(g, 8, 0, nil)
	p.executeDecision(t.Context(), conf.Effective{}, Decision{Item: "m", NoHolder: true, Candidates: []judge.Ranked{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}}, order.Statuses{})
	// Publishing a refusal needs Deps.Owner, which is nil here.
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

// A core that has just started knows no replica, or none that answers; it must not
// publish a refusal, which would need Deps.Owner; it is nil here.
func TestNoRefusalWhenNoReplicaIsReachable(t *testing.T) {
	for name, statuses := range map[string][]order.Status{
		"no replica known":        nil,
		"no replica answers":      {{Listed: inventory.Listed{ID: "a", Model: true}, Stale: true}},
		"only non-model replicas": {{Listed: inventory.Listed{ID: "b"}}},
	} {
		g := run.NewGroup(context.Background())
		p := &Planner{d: Deps{Group: g, Clock: tick.MachineClock(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, items: map[conf.Item]*itemState{}}
		p.actor = run.NewActor(g, 8, 0, nil)
		p.executeDecision(t.Context(), conf.Effective{}, Decision{Item: "m", NoHolder: true}, order.NewStatuses(statuses))
		if got := p.Explain(t.Context(), "m"); len(got) != 1 || got[0].AcceptedBy != "" {
			t.Errorf("%s: decisions about m: %+v, want one that was not accepted", name, got)
		}
		g.Stop()
	}
}

// With more replicas than are asked, those without pending loads come first; among
// those the score decides.
func TestReplicasWithoutPendingLoadsAreAskedFirst(t *testing.T) {
	view := func(id string, freeMib int, items map[string]string) order.Status {
		return order.Status{Listed: inventory.Listed{ID: id, Model: true}, Slots: 12, CapacityMib: 200, FreeMib: freeMib, AdapterPlaces: 8, AdapterFree: 8, Items: items}
	}
	statuses := []order.Status{
		view("a-roomy-and-loading", 200, map[string]string{"x": backend.Loading}),
		view("b-two-wait", 50, map[string]string{"x": order.Reserved, "y": backend.Loading}),
		view("c-holds", 100, map[string]string{"m": backend.Loaded}),
		view("d-idle", 50, map[string]string{"x": backend.Loaded}),
		view("e-roomy", 100, nil),
		view("f-adapter-comes", 100, map[string]string{"z": backend.Loaded, "z/a1": backend.Loading}),
		view("g-too-small", 200, nil),
	}
	statuses[6].CapacityMib = 10
	p := &Planner{d: Deps{Reports: report.NewTable()}}
	got := p.rankCandidates(conf.Effective{Weights: map[string]float64{"room": 1}}, conf.Item{Model: "m"}, conf.Model{SizeMib: 100}, order.NewStatuses(statuses), 0, labels.Everything())
	var names []string
	for _, r := range got {
		names = append(names, r.Name)
	}
	want := []string{"e-roomy", "f-adapter-comes", "d-idle", "a-roomy-and-loading", "b-two-wait", "g-too-small"}
	if !slices.Equal(names, want) {
		t.Errorf("got %v, want %v", names, want)
	}
	if !got[len(got)-1].Vetoed {
		t.Error("the replica that can never hold the item is not ranked last")
	}
}
