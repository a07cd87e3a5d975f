package attempt

import (
	"sync"
	"time"
)

// lateness gives an attempt up whose first piece does not come in time. Whether it
// is given up or has begun is decided once.
type firstByteTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	request Request
	cancel  func()
	decided bool // it has begun, or was given up
}

// newLateness watches over an attempt until it has begun.
func newFirstByteTimer(q Request, giveUp func()) *firstByteTimer {
	l := &firstByteTimer{request: q, cancel: giveUp}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(time.Until(q.FirstBy), l.onDeadline)
	return l
}

// doubt gives the attempt up, unless its replica is borne with a little longer.
func (l *firstByteTimer) onDeadline() {
	borne := l.request.toleratesSilence(time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	// Why: the first piece may have come while the replica was looked at.
	case l.decided:
	case borne:
		l.timer.Reset(silenceCheckInterval)
	default:
		l.decided = true
		l.cancel()
	}
}

// end stops the watch, and says whether the attempt was not given up before.
func (l *firstByteTimer) stop() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer.Stop()
	inTime := !l.decided
	l.decided = true
	return inTime
}

// bearsSilence says that the first piece is waited for beyond FirstBy.
func (q Request) toleratesSilence(now time.Time) bool {
	if q.Alive != nil && now.Before(q.FirstAtLast) && q.Alive() {
		return true
	}
	return q.Only != nil && now.Before(q.OnlyUntil) && q.Only()
}
