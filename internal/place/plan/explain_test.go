package plan

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
)

// Explain adds the score breakdown of each candidate and of each possible victim,
// although decisions are stored without it.
func TestExplainIncludesScoreBreakdowns(t *testing.T) {
	g := run.NewGroup(context.Background())
	defer g.Stop()
	weights := map[string]float64{"room": 1, "demand": 1}
	p := &Planner{d: Deps{Group: g, Clock: tick.MachineClock(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Consider: func(context.Context, string, order.ConsiderRequest) (order.ConsiderResponse, error) {
			return order.ConsiderResponse{Why: "no room", IdleModels: []judge.IdleItem{{Name: "dear", SizeMib: 1, Penalty: 2}, {Name: "cheap", SizeMib: 1}}, IdleAdapters: []judge.IdleItem{{Name: "m/a", IdleFor: time.Hour}}}, nil
		}}, items: map[conf.Item]*itemState{}}
	p.actor = run.NewActor(g, 8, 0, nil)
	candidates := []judge.Candidate{{Name: "a", Fits: true, FreeMib: 1, NeedMib: 2}, {Name: "b", Fits: true}}
	p.executeDecision(t.Context(), conf.Effective{Weights: weights}, Decision{Item: "m", Candidates: judge.RankForLoad(weights, candidates)}, order.Statuses{})
	for range 2 {
		got := p.Explain(t.Context(), "m")
		if len(got) != 1 || len(got[0].Candidates) != 2 || len(got[0].Answers) != 2 {
			t.Fatalf("%+v", got)
		}
		for _, c := range got[0].Candidates {
			if len(c.Breakdown) == 0 || c.Breakdown[0].Reason == "" {
				t.Errorf("candidate without a score breakdown: %+v", c)
			}
		}
		for _, x := range got[0].Answers {
			idle := x.Answer.Idle
			if len(idle) != 3 || idle[0].Name != "cheap" || idle[1].Name != "dear" || idle[2].Name != "m/a" || len(idle[2].Breakdown) == 0 {
				t.Errorf("possible victims: %+v", idle)
			}
		}
	}
	if kept := p.decisionLog.At(0); kept.Candidates[0].Breakdown != nil || kept.Answers[0].Answer.Idle != nil {
		t.Errorf("the stored decision contains a score breakdown: %+v", kept)
	}
}
