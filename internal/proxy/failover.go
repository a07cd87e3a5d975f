package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/attempt"
)

var errFailedOver = errors.New("proxy: another replica has taken over the stream")

// failoverState is the state of moving a stream from a silent replica to one that resumes it.
// Silence does not prove a failure, so the silent replica is dropped only once the other one has started to
// respond: if that one refused, a response that might still have arrived would be lost.
type failoverState struct {
	mu             sync.Mutex
	dataReads      uint64           // reads that returned data
	resumeAfter    uint64           // ID of the last event forwarded, as of the last such read
	hasResumeAfter bool             // resumeAfter is set
	pending        *failoverAttempt // the attempt in progress at another replica, if any
	successor      *activeReply     // reply of the replica that resumes the stream
	closed         bool
}

// failoverAttempt is an attempt to have another replica resume the stream.
type failoverAttempt struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// isFailingOver reports whether another replica is being tried because the given one is silent.
func (s *eventStream) isFailingOver(replica string) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending != nil && s.source.replica == replica
}

// hasFailedOver reports whether another replica has taken over, in which case data from the
// current one is discarded.
func (s *eventStream) hasFailedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor != nil
}

// recordProgress records that data has arrived.
func (s *eventStream) recordProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dataReads++
	s.failoverState.resumeAfter, s.hasResumeAfter = s.lastID, s.hasLastID
}

// failOver tries to have another replica resume the stream and reports whether one does. The stream's reader
// keeps waiting for the silent replica meanwhile; data from that one makes the attempt void.
func (s *eventStream) failOver() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	if s.pending != nil || s.successor != nil || s.closed {
		defer s.mu.Unlock()
		return s.successor != nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	a := &failoverAttempt{cancel: cancel, done: make(chan struct{})}
	reads, last, known := s.dataReads, s.failoverState.resumeAfter, s.hasResumeAfter
	s.pending = a
	s.mu.Unlock()
	next, err := s.requestResume(ctx, last, known, errFailedOver)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(a.done)
	s.pending = nil
	switch {
	case err != nil:
		cancel()
		return false
	case s.closed || s.dataReads != reads:
		_ = next.Close()
		cancel()
		return false
	}
	s.successor = next
	return true
}

// nextReply returns the reply that resumes a broken stream: that of a completed failover, or
// else that of a new attempt.
func (s *eventStream) nextReply(cause error) (*activeReply, error) {
	s.awaitFailover(false)
	s.mu.Lock()
	next := s.successor
	s.successor = nil
	s.mu.Unlock()
	if next != nil {
		return next, nil
	}
	return s.requestResume(s.ctx, s.lastID, s.hasLastID, cause)
}

// awaitFailover waits for a failover attempt in progress to end; with abort it cancels the attempt first.
func (s *eventStream) awaitFailover(abort bool) {
	s.mu.Lock()
	a := s.pending
	s.mu.Unlock()
	if a == nil {
		return
	}
	if abort {
		a.cancel()
	}
	<-a.done
}

// requestResume asks another replica to resume the stream after an event; cause is the error that made this necessary.
func (s *eventStream) requestResume(ctx context.Context, last uint64, known bool, cause error) (*activeReply, error) {
	d := s.dispatch
	if ctx.Err() != nil || d.attempts >= d.call.Target.Route.Attempts || !time.Now().Before(d.call.Deadline) {
		return nil, cause
	}
	d.call.Target.Avoid = s.source.replica
	d.call.FirstByteDeadline = d.call.Deadline
	d.outcome = attempt.Unknown
	if known {
		d.call.LastEventID = strconv.FormatUint(last, 10)
	}
	next, refusal := d.awaitReply(ctx)
	d.releaseReservedRetry()
	if refusal != nil {
		return nil, errors.Wrap(cause, refusal.Detail)
	}
	if next.reply.Status != http.StatusOK {
		_ = next.Close()
		return nil, errors.Wrapf(cause, "the replica that was to resume the stream returned status %d", next.reply.Status)
	}
	return next, nil
}

// cancelFailover ends a failover attempt, and its reply, after the stream is closed.
func (s *eventStream) cancelFailover() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.awaitFailover(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != nil {
		_ = s.successor.Close()
		s.successor = nil
	}
}
