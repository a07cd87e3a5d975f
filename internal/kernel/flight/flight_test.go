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

// slowSource has a slow fetch that returns the value at its start.
type slowSource struct{ value, fetches atomic.Int64 }

func (n *slowSource) fetch(ctx context.Context) (int64, error) {
	n.fetches.Add(1)
	value := n.value.Load()
	run.Sleep(ctx, 100*time.Millisecond)
	return value, nil
}

// testCoalescer runs a test with a Coalescer on a slowSource.
func testCoalescer(t *testing.T, test func(t *testing.T, n *slowSource, c *Coalescer[int64])) {
	synctest.Test(t, func(t *testing.T) {
		group := run.NewGroup(t.Context())
		defer group.Stop()
		var n slowSource
		test(t, &n, New(group, n.fetch))
	})
}

func TestConcurrentCallersShareTwoFetches(t *testing.T) {
	testCoalescer(t, func(t *testing.T, n *slowSource, c *Coalescer[int64]) {
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() {
				if _, err := c.Get(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		if n.fetches.Load() > 2 {
			t.Errorf("%d fetches for 100 callers, want at most 2", n.fetches.Load())
		}
	})
}

func TestResultIsNotOlderThanCall(t *testing.T) {
	testCoalescer(t, func(t *testing.T, n *slowSource, c *Coalescer[int64]) {
		go func() { _, _ = c.Get(t.Context()) }()
		synctest.Wait()
		// The running fetch began before this change.
		n.value.Store(1)
		if got, err := c.Get(t.Context()); err != nil || got != 1 {
			t.Errorf("got %d, %v: older than the call", got, err)
		}
	})
}

func TestCancelledCallerDoesNotCancelFetch(t *testing.T) {
	testCoalescer(t, func(t *testing.T, _ *slowSource, c *Coalescer[int64]) {
		short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		var other sync.WaitGroup
		other.Go(func() {
			if _, err := c.Get(t.Context()); err != nil {
				t.Error(err)
			}
		})
		synctest.Wait()
		if _, err := c.Get(short); err == nil {
			t.Error("a result was returned before its fetch began")
		}
		other.Wait()
	})
}
