package flight

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/kernel/run"
)

// newest is a question that takes a while and answers what was true when it was put.
type newest struct{ value, asked atomic.Int64 }

func (n *newest) ask(ctx context.Context) (int64, error) {
	n.asked.Add(1)
	value := n.value.Load()
	run.Sleep(ctx, 100*time.Millisecond)
	return value, nil
}

// sharing plays a test with a question whose answers are shared.
func sharing(t *testing.T, play func(t *testing.T, n *newest, s *Shared[int64])) {
	synctest.Test(t, func(t *testing.T) {
		group := run.NewGroup(t.Context())
		defer group.Stop()
		var n newest
		play(t, &n, New(group, n.ask))
	})
}

func TestManyWhoAskAtOnceShareTwoQuestions(t *testing.T) {
	sharing(t, func(t *testing.T, n *newest, s *Shared[int64]) {
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() {
				if _, err := s.Ask(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		if n.asked.Load() > 2 {
			t.Errorf("%d questions for 100 callers", n.asked.Load())
		}
	})
}

func TestNoAnswerIsOlderThanItsCall(t *testing.T) {
	sharing(t, func(t *testing.T, n *newest, s *Shared[int64]) {
		go func() { _, _ = s.Ask(t.Context()) }()
		synctest.Wait()
		// Why: the question under way was put before this change.
		n.value.Store(1)
		if got, err := s.Ask(t.Context()); err != nil || got != 1 {
			t.Errorf("%d, %v: older than the call", got, err)
		}
	})
}

func TestWhoGivesUpLeavesTheQuestionToTheOthers(t *testing.T) {
	sharing(t, func(t *testing.T, _ *newest, s *Shared[int64]) {
		hasty, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		var patient sync.WaitGroup
		patient.Go(func() {
			if _, err := s.Ask(t.Context()); err != nil {
				t.Error(err)
			}
		})
		synctest.Wait()
		if _, err := s.Ask(hasty); err == nil {
			t.Error("an answer came before the question was put")
		}
		patient.Wait()
	})
}
