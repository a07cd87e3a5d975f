package plan

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/pkg/errors"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
)

// Candidates are asked at once; when none answers, nothing is taken and nobody
// is told that the item is refused (run under the race detector, it also shows
// that those asked share no state).
func TestSilentCandidatesDecideNothing(t *testing.T) {
	g := run.NewGroup(context.Background())
	defer g.Stop()
	p := &Planner{d: Deps{Group: g, Clock: tick.Machine(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Ask: func(context.Context, string, order.Consider) (order.Considered, error) {
			return order.Considered{}, errors.New("no answer")
		}}, items: map[conf.Item]*item{}}
	p.desk = run.NewDesk(g, 8, 0, nil)
	p.decide(t.Context(), conf.Effective{}, Decision{Item: "m", Alone: true, Candidates: []judge.Ranked{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}}, nil)
	// Why: telling of a refusal would need an owner, and there is none here to ask.
	got := p.Explain(t.Context(), "m")
	if len(got) != 1 || got[0].Taken != "" || len(got[0].Tried) != 4 {
		t.Fatalf("%+v", got)
	}
	for _, x := range got[0].Tried {
		if !x.Answer.Silent {
			t.Errorf("%+v", x)
		}
	}
}

// A core that has just started knows of no replica, or of none that answers; that is no
// reason to have requests turned away (that would need an owner, and there is none here to ask).
func TestAPlannerThatHasHeardOfNoReplicaRefusesNothing(t *testing.T) {
	for name, views := range map[string][]order.News{
		"no word of any":       nil,
		"none that answers":    {{Listed: inventory.Listed{ID: "a", Model: true}, Dark: true}},
		"only other services'": {{Listed: inventory.Listed{ID: "b"}}},
	} {
		g := run.NewGroup(context.Background())
		p := &Planner{d: Deps{Group: g, Clock: tick.Machine(), Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, items: map[conf.Item]*item{}}
		p.desk = run.NewDesk(g, 8, 0, nil)
		p.decide(t.Context(), conf.Effective{}, Decision{Item: "m", Alone: true}, views)
		if got := p.Explain(t.Context(), "m"); len(got) != 1 || got[0].Taken != "" {
			t.Errorf("%s: %+v", name, got)
		}
		g.Stop()
	}
}
