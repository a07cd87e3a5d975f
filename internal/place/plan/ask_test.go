package plan

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/place/judge"
	"drumstall.example/internal/place/order"
)

// A controller of several candidates is asked with one message, and each answer is
// recorded for its candidate.
func TestCandidatesOfOneControllerAreAskedInOneBatch(t *testing.T) {
	g := run.NewGroup(context.Background())
	defer g.Stop()
	var mu sync.Mutex
	var batches, singles, ordered []string
	answer := func(replica string) order.ConsiderResponse {
		return order.ConsiderResponse{Why: replica, Accepted: replica == "d" || replica == "e", Starts: 1, VictimPenalty: map[string]float64{"d": 2, "e": 1}[replica]}
	}
	p := &Planner{d: Deps{Group: g, Clock: tick.MachineClock(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Consider: func(_ context.Context, controller string, q order.ConsiderRequest) (order.ConsiderResponse, error) {
			mu.Lock()
			defer mu.Unlock()
			if q.DryRun {
				singles = append(singles, controller+" "+q.Replica)
			} else {
				ordered = append(ordered, controller+" "+q.Replica)
			}
			return answer(q.Replica), nil
		},
		ConsiderAll: func(_ context.Context, controller string, q order.ConsiderBatchRequest) []order.ConsiderResponse {
			mu.Lock()
			defer mu.Unlock()
			var out []order.ConsiderResponse
			for _, r := range q.Replicas {
				batches = append(batches, controller+" "+r)
				out = append(out, answer(r))
			}
			return out
		}}, items: map[conf.Item]*itemState{}}
	p.actor = run.NewActor(g, 8, 0, nil)
	var statuses []order.Status
	d := Decision{Item: "m", isClaim: true}
	for replica, controller := range map[string]string{"a": "core-1", "b": "core-2", "c": "core-1", "d": "core-3", "e": "core-2"} {
		statuses = append(statuses, order.Status{Listed: inventory.Listed{ID: replica}, Controller: controller})
	}
	for _, replica := range []string{"a", "b", "c", "d", "e"} {
		d.Candidates = append(d.Candidates, judge.Ranked{Name: replica})
	}
	p.executeDecision(t.Context(), conf.Effective{}, d, order.NewStatuses(statuses))
	slices.Sort(batches)
	if want := []string{"core-1 a", "core-1 c", "core-2 b", "core-2 e"}; !slices.Equal(batches, want) {
		t.Errorf("asked in a batch: %v, want %v", batches, want)
	}
	if want := []string{"core-3 d"}; !slices.Equal(singles, want) {
		t.Errorf("asked singly: %v, want %v", singles, want)
	}
	// Of the replicas that accept, the one with the lowest victim penalty is chosen.
	if want := []string{"core-2 e"}; !slices.Equal(ordered, want) {
		t.Errorf("ordered: %v, want %v", ordered, want)
	}
	got := p.Explain(t.Context(), "m")
	if len(got) != 1 || got[0].AcceptedBy != "e" {
		t.Fatalf("%+v", got)
	}
	for i, x := range got[0].Answers {
		if x.Replica != d.Candidates[i].Name || x.Answer.Why != x.Replica {
			t.Errorf("got answer %+v for candidate %s", x, d.Candidates[i].Name)
		}
	}
}

func TestABusyCoreAsksFewerCandidates(t *testing.T) {
	for busy, want := range map[bool]int{false: maxCandidates, true: minCandidates} {
		asked := newAskCounter(t, func() bool { return busy }, func() (order.ConsiderResponse, error) { return order.ConsiderResponse{Why: "no room"}, nil })
		if got := asked(); got != want {
			t.Errorf("busy %v: %d candidates were asked, want %d", busy, got, want)
		}
	}
}

// Guards against asking overloaded cores, which do not answer in time, about as many candidates again and delaying them
// further.
func TestFewerCandidatesAreAskedWhileAnswersTimeOut(t *testing.T) {
	silent := false
	asked := newAskCounter(t, nil, func() (order.ConsiderResponse, error) {
		if silent {
			return order.ConsiderResponse{}, context.DeadlineExceeded
		}
		return order.ConsiderResponse{Why: "no room"}, nil
	})
	for _, want := range []int{maxCandidates, maxCandidates, maxCandidates / 2, minCandidates, minCandidates} {
		if got := asked(); got != want {
			t.Errorf("%d candidates were asked, want %d", got, want)
		}
		silent = true
	}
	silent = false
	for want := minCandidates; want <= maxCandidates; want++ {
		if got := asked(); got != want {
			t.Errorf("after answers arrive in time again: %d candidates were asked, want %d", got, want)
		}
	}
}

// newAskCounter returns a function that lets a planner make one decision and returns how many candidates it asked.
func newAskCounter(t *testing.T, busy func() bool, answer func() (order.ConsiderResponse, error)) func() int {
	t.Helper()
	g := run.NewGroup(context.Background())
	t.Cleanup(g.Stop)
	p := &Planner{d: Deps{Group: g, Clock: tick.MachineClock(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Busy: busy,
		Consider: func(context.Context, string, order.ConsiderRequest) (order.ConsiderResponse, error) { return answer() }}, items: map[conf.Item]*itemState{}}
	p.actor = run.NewActor(g, 8, 0, nil)
	d := Decision{Item: "m"}
	for i := range 2 * maxCandidates {
		d.Candidates = append(d.Candidates, judge.Ranked{Name: fmt.Sprint("r", i)})
	}
	return func() int {
		p.executeDecision(t.Context(), conf.Effective{}, d, order.Statuses{})
		return len(p.Explain(t.Context(), "m")[0].Answers)
	}
}
