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
type slowSource struct{ value, fetches atomic.Int64 }

func (n *slowSource) fetch(ctx context.Context) (int64, error) {
	n.fetches.Add(1)
	value := n.value.Load()
	run.Sleep(ctx, 100*time.Millisecond)
	return value, nil
}

// sharing plays a test with a question whose answers are shared.
func testCoalescer(t *testing.T, play func(t *testing.T, n *slowSource, s *Coalescer[int64])) {
	synctest.Test(t, func(t *testing.T) {
		group := run.NewGroup(t.Context())
		defer group.Stop()
		var n slowSource
		play(t, &n, New(group, n.fetch))
	})
}

func TestConcurrentCallersShareTwoFetches(t *testing.T) {
	testCoalescer(t, func(t *testing.T, n *slowSource, s *Coalescer[int64]) {
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() {
				if _, err := s.Get(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		if n.fetches.Load() > 2 {
			t.Errorf("%d questions for 100 callers", n.fetches.Load())
		}
	})
}

func TestResultIsNotOlderThanCall(t *testing.T) {
	testCoalescer(t, func(t *testing.T, n *slowSource, s *Coalescer[int64]) {
		go func() { _, _ = s.Get(t.Context()) }()
		synctest.Wait()
		// Why: the question under way was put before this change.
		n.value.Store(1)
		if got, err := s.Get(t.Context()); err != nil || got != 1 {
			t.Errorf("%d, %v: older than the call", got, err)
		}
	})
}

func TestCancelledCallerDoesNotCancelFetch(t *testing.T) {
	testCoalescer(t, func(t *testing.T, _ *slowSource, s *Coalescer[int64]) {
		hasty, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		var patient sync.WaitGroup
		patient.Go(func() {
			if _, err := s.Get(t.Context()); err != nil {
				t.Error(err)
			}
		})
		synctest.Wait()
		if _, err := s.Get(hasty); err == nil {
			t.Error("an answer came before the question was put")
		}
		patient.Wait()
	})
}
