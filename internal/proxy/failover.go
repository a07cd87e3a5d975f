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

var errFailedOver = errors.New("proxy: another replica goes on with the stream")

// handover is how a stream changes from a replica that has fallen silent to one that
// goes on with it. Why: silence is no proof. The silent replica is let go of only when the other one has
// begun to answer; a refusal there would end an answer that might have come.
type failoverState struct {
	mu             sync.Mutex
	dataReads      uint64           // pieces that have come
	resumeAfter    uint64           // number of the last event passed on, as of the last of them
	hasResumeAfter bool             // after has a value
	pending        *failoverAttempt // the attempt at another replica, while it is under way
	successor      *activeReply     // has begun to go on
	closed         bool
}

// trial is an attempt to have another replica go on.
type failoverAttempt struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// isTakingOver says that another replica is being tried because this one is silent.
func (s *eventStream) isFailingOver(replica string) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending != nil && s.source.replica == replica
}

// isTakenOver says that another replica goes on, and that what comes from this one
// is to be left out.
func (s *eventStream) hasFailedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor != nil
}

// progress notes that a piece has come.
func (s *eventStream) recordProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dataReads++
	s.failoverState.resumeAfter, s.hasResumeAfter = s.lastID, s.hasLastID
}

// takeOver tries to have another replica go on, and says whether one does. The stream's
// reader waits for the silent replica meanwhile, and a piece that comes from that ends the trial.
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
	t := &failoverAttempt{cancel: cancel, done: make(chan struct{})}
	reads, last, known := s.dataReads, s.failoverState.resumeAfter, s.hasResumeAfter
	s.pending = t
	s.mu.Unlock()
	next, err := s.requestResume(ctx, last, known, errFailedOver)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(t.done)
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

// successor is the replica that goes on with a stream that broke off: the one that has
// begun to, or else one that is asked now.
func (s *eventStream) nextReply(broke error) (*activeReply, error) {
	s.awaitFailover(false)
	s.mu.Lock()
	next := s.successor
	s.successor = nil
	s.mu.Unlock()
	if next != nil {
		return next, nil
	}
	return s.requestResume(s.ctx, s.lastID, s.hasLastID, broke)
}

// awaitTrial waits until a trial that is under way is over, and may cut it short.
func (s *eventStream) awaitFailover(cutShort bool) {
	s.mu.Lock()
	t := s.pending
	s.mu.Unlock()
	if t == nil {
		return
	}
	if cutShort {
		t.cancel()
	}
	<-t.done
}

// goOn asks another replica to go on after an event.
func (s *eventStream) requestResume(ctx context.Context, last uint64, known bool, broke error) (*activeReply, error) {
	w := s.dispatch
	if ctx.Err() != nil || w.attempts >= w.call.Target.Route.Attempts || !time.Now().Before(w.call.Deadline) {
		return nil, broke
	}
	w.call.Target.Avoid = s.source.replica
	w.call.FirstByteDeadline = w.call.Deadline
	w.outcome = attempt.Unknown
	if known {
		w.call.LastEventID = strconv.FormatUint(last, 10)
	}
	next, refusal := w.awaitReply(ctx)
	w.releaseReservedRetry()
	if refusal != nil {
		return nil, errors.Wrap(broke, refusal.Detail)
	}
	if next.reply.Status != http.StatusOK {
		_ = next.Close()
		return nil, errors.Wrapf(broke, "the replica that was to go on answered %d", next.reply.Status)
	}
	return next, nil
}

// abandon lets go of a trial that nobody waits for any more.
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
