// Package flight lets many callers that ask the same question at the same time share
// one answer, which is never older than any of their calls.
package flight

import (
	"context"
	"sync"

	"drumstall.example/internal/kernel/run"
)

// Shared asks a question once for all who wait for its answer.
type Shared[T any] struct {
	group *run.Group
	ask   func(context.Context) (T, error)
	mu    sync.Mutex
	busy  bool       // a question is under way
	next  *answer[T] // of the question after it; nil when nobody waits for that
}

// answer is what one question brings.
type answer[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// New shares the answers of ask, which must end by itself; it runs in group.
func New[T any](group *run.Group, ask func(context.Context) (T, error)) *Shared[T] {
	return &Shared[T]{group: group, ask: ask}
}

// Ask gives the answer of a question that was put after this call. It gives up when ctx ends; the
// question goes on for the others.
func (s *Shared[T]) Ask(ctx context.Context) (T, error) {
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
func (s *Shared[T]) join() (*answer[T], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &answer[T]{done: make(chan struct{})}
	}
	joined := s.next
	if !s.busy && !s.begin() {
		return nil, run.ErrStopped
	}
	return joined, nil
}

// begin puts the question for those who have joined; it is called under the lock.
func (s *Shared[T]) begin() bool {
	a := s.next
	s.next = nil
	s.busy = s.group.Go(func(ctx context.Context) {
		a.value, a.err = s.ask(ctx)
		close(a.done)
		s.end()
	})
	return s.busy
}

// end lets the next question begin, if anyone waits for it.
func (s *Shared[T]) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
	if s.next != nil {
		s.begin()
	}
}
