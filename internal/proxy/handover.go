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

var errTakenOver = errors.New("proxy: another replica goes on with the stream")

// handover is how a stream changes from a replica that has fallen silent to one that
// goes on with it. Why: silence is no proof. The silent replica is let go of only when the other one has
// begun to answer; a refusal there would end an answer that might have come.
type handover struct {
	mu     sync.Mutex
	reads  uint64 // pieces that have come
	after  uint64 // number of the last event passed on, as of the last of them
	some   bool   // after has a value
	trial  *trial // the attempt at another replica, while it is under way
	next   *begun // has begun to go on
	closed bool
}

// trial is an attempt to have another replica go on.
type trial struct {
	cancel context.CancelFunc
	over   chan struct{}
}

// isTakingOver says that another replica is being tried because this one is silent.
func (s *eventStream) isTakingOver(replica string) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trial != nil && s.from.replica == replica
}

// isTakenOver says that another replica goes on, and that what comes from this one
// is to be left out.
func (s *eventStream) isTakenOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next != nil
}

// progress notes that a piece has come.
func (s *eventStream) progress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.handover.after, s.some = s.last, s.known
}

// takeOver tries to have another replica go on, and says whether one does. The stream's
// reader waits for the silent replica meanwhile, and a piece that comes from that ends the trial.
func (s *eventStream) takeOver() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	if s.trial != nil || s.next != nil || s.closed {
		defer s.mu.Unlock()
		return s.next != nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	t := &trial{cancel: cancel, over: make(chan struct{})}
	reads, last, known := s.reads, s.handover.after, s.some
	s.trial = t
	s.mu.Unlock()
	next, err := s.goOn(ctx, last, known, errTakenOver)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(t.over)
	s.trial = nil
	switch {
	case err != nil:
		cancel()
		return false
	case s.closed || s.reads != reads:
		_ = next.Close()
		cancel()
		return false
	}
	s.next = next
	return true
}

// successor is the replica that goes on with a stream that broke off: the one that has
// begun to, or else one that is asked now.
func (s *eventStream) successor(broke error) (*begun, error) {
	s.awaitTrial(false)
	s.mu.Lock()
	next := s.next
	s.next = nil
	s.mu.Unlock()
	if next != nil {
		return next, nil
	}
	return s.goOn(s.ctx, s.last, s.known, broke)
}

// awaitTrial waits until a trial that is under way is over, and may cut it short.
func (s *eventStream) awaitTrial(cutShort bool) {
	s.mu.Lock()
	t := s.trial
	s.mu.Unlock()
	if t == nil {
		return
	}
	if cutShort {
		t.cancel()
	}
	<-t.over
}

// goOn asks another replica to go on after an event.
func (s *eventStream) goOn(ctx context.Context, last uint64, known bool, broke error) (*begun, error) {
	w := s.passage
	if ctx.Err() != nil || w.number >= w.call.Target.Route.Attempts || !time.Now().Before(w.call.Deadline) {
		return nil, broke
	}
	w.call.Target.Avoid = s.from.replica
	w.call.FirstBy = w.call.Deadline
	w.outcome = attempt.Unknown
	if known {
		w.call.LastEvent = strconv.FormatUint(last, 10)
	}
	next, refusal := w.begin(ctx)
	w.giveBack()
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
func (s *eventStream) abandon() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.awaitTrial(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		_ = s.next.Close()
		s.next = nil
	}
}
