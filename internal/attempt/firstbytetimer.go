package attempt

import (
	"sync"
	"time"
)

// firstByteTimer cancels an attempt whose first byte does not arrive in time. Whether the attempt is
// cancelled or its response has started is decided once.
type firstByteTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	request Request
	cancel  func()
	decided bool // the response has started, or the attempt was cancelled
}

// newFirstByteTimer starts the timer for an attempt; stop ends it.
func newFirstByteTimer(q Request, cancel func()) *firstByteTimer {
	t := &firstByteTimer{request: q, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Until(q.FirstByteDeadline), t.onDeadline)
	return t
}

// onDeadline cancels the attempt, unless the silence of its replica is tolerated a little longer.
func (t *firstByteTimer) onDeadline() {
	tolerated := t.request.toleratesSilence(time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	// The first byte may have arrived while the replica was checked.
	case t.decided:
	case tolerated:
		t.timer.Reset(silenceCheckInterval)
	default:
		t.decided = true
		t.cancel()
	}
}

// stop stops the timer and reports whether the attempt had not been cancelled before.
func (t *firstByteTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	inTime := !t.decided
	t.decided = true
	return inTime
}

// toleratesSilence reports whether to wait for the first byte beyond FirstBy.
func (q Request) toleratesSilence(now time.Time) bool {
	if q.Alive != nil && now.Before(q.AliveDeadline) && q.Alive() {
		return true
	}
	return q.OnlyReplica != nil && now.Before(q.OnlyReplicaDeadline) && q.OnlyReplica()
}
