// Package flight lets many callers that ask the same question at the same time share
// one answer, which is never older than any of their calls.
package flight

import (
	"context"
	"sync"

	"drumstall.example/internal/kernel/run"
)

// Shared asks a question once for all who wait for its answer.
type Coalescer[T any] struct {
	group    *run.Group
	fetch    func(context.Context) (T, error)
	mu       sync.Mutex
	inFlight bool       // a question is under way
	next     *result[T] // of the question after it; nil when nobody waits for that
}

// answer is what one question brings.
type result[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// New shares the answers of ask, which must end by itself; it runs in group.
func New[T any](group *run.Group, ask func(context.Context) (T, error)) *Coalescer[T] {
	return &Coalescer[T]{group: group, fetch: ask}
}

// Ask gives the answer of a question that was put after this call. It gives up when ctx ends; the
// question goes on for the others.
func (s *Coalescer[T]) Get(ctx context.Context) (T, error) {
	a, err := s.join()
	if err != nil {
		return *new(T), err
	}
	select {
	case <-a.done:
		return a.value, a.err
	case <-ctx.Done():
		return *new(T), ctx.Err()
	case <-s.group.Context().Done():
		return *new(T), run.ErrStopped
	}
}

// join is the answer of the next question, which begins at once if none is under way.
// Why: an answer that is already on its way may be older than this call.
func (s *Coalescer[T]) join() (*result[T], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &result[T]{done: make(chan struct{})}
	}
	joined := s.next
	if !s.inFlight && !s.startFetch() {
		return nil, run.ErrStopped
	}
	return joined, nil
}

// begin puts the question for those who have joined; it is called under the lock.
func (s *Coalescer[T]) startFetch() bool {
	a := s.next
	s.next = nil
	s.inFlight = s.group.Go(func(ctx context.Context) {
		a.value, a.err = s.fetch(ctx)
		close(a.done)
		s.finishFetch()
	})
	return s.inFlight
}

// end lets the next question begin, if anyone waits for it.
func (s *Coalescer[T]) finishFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = false
	if s.next != nil {
		s.startFetch()
	}
}
