// Package flight coalesces concurrent calls of a function: callers share
// one result, whose fetch began after each of their calls.
package flight

import (
	"context"
	"sync"

	"drumstall.example/internal/kernel/run"
)

// Coalescer runs a fetch once for all callers that wait for it.
type Coalescer[T any] struct {
	group    *run.Group
	fetch    func(context.Context) (T, error)
	mu       sync.Mutex
	inFlight bool       // a fetch is running
	next     *result[T] // result of the next fetch; nil if no caller waits for it
}

// result is the result of one fetch; value and err are valid once done is closed.
type result[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// New returns a Coalescer for fetch, which runs in group and must return by itself.
func New[T any](group *run.Group, fetch func(context.Context) (T, error)) *Coalescer[T] {
	return &Coalescer[T]{group: group, fetch: fetch}
}

// Get returns the result of a fetch that began after this call. It returns early when ctx ends; the
// fetch continues for the other callers.
func (c *Coalescer[T]) Get(ctx context.Context) (T, error) {
	r, err := c.join()
	if err != nil {
		return *new(T), err
	}
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		return *new(T), ctx.Err()
	case <-c.group.Context().Done():
		return *new(T), run.ErrStopped
	}
}

// join returns the result of the next fetch, which starts at once if none is running. A running fetch is not joined,
// since its result may be older than this call.
func (c *Coalescer[T]) join() (*result[T], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &result[T]{done: make(chan struct{})}
	}
	joined := c.next
	if !c.inFlight && !c.startFetch() {
		return nil, run.ErrStopped
	}
	return joined, nil
}

// startFetch starts the next fetch. The caller holds the mutex.
func (c *Coalescer[T]) startFetch() bool {
	r := c.next
	c.next = nil
	c.inFlight = c.group.Go(func(ctx context.Context) {
		r.value, r.err = c.fetch(ctx)
		close(r.done)
		c.finishFetch()
	})
	return c.inFlight
}

// finishFetch starts the next fetch if a caller waits for it.
func (c *Coalescer[T]) finishFetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = false
	if c.next != nil {
		c.startFetch()
	}
}
