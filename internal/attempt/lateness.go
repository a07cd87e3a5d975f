package attempt

import (
	"sync"
	"time"
)

// lateness gives an attempt up whose first piece does not come in time. Whether it
// is given up or has begun is decided once.
type lateness struct {
	mu      sync.Mutex
	timer   *time.Timer
	q       Request
	giveUp  func()
	decided bool // it has begun, or was given up
}

// newLateness watches over an attempt until it has begun.
func newLateness(q Request, giveUp func()) *lateness {
	l := &lateness{q: q, giveUp: giveUp}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(time.Until(q.FirstBy), l.doubt)
	return l
}

// doubt gives the attempt up, unless its replica is borne with a little longer.
func (l *lateness) doubt() {
	borne := l.q.bearsSilence(time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	// Why: the first piece may have come while the replica was looked at.
	case l.decided:
	case borne:
		l.timer.Reset(patienceStep)
	default:
		l.decided = true
		l.giveUp()
	}
}

// end stops the watch, and says whether the attempt was not given up before.
func (l *lateness) end() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer.Stop()
	inTime := !l.decided
	l.decided = true
	return inTime
}

// bearsSilence says that the first piece is waited for beyond FirstBy.
func (q Request) bearsSilence(now time.Time) bool {
	if q.Alive != nil && now.Before(q.FirstAtLast) && q.Alive() {
		return true
	}
	return q.Only != nil && now.Before(q.OnlyUntil) && q.Only()
}
