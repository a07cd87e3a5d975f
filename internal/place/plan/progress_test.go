package plan

import (
	"testing"
	"time"
)

func TestProgressCoversOneIntervalAtATime(t *testing.T) {
	var c progressCounter
	c.recordDecision(true, 30*time.Millisecond)
	c.recordDecision(false, 10*time.Millisecond)
	want := Progress{Slots: 2, InProgress: 3, Waiting: 7, LongestWaitMs: 900, LongestDecisionMs: 30, Decisions: 2, Accepted: 1}
	if got := c.rotate(2, 3, 7, 900*time.Millisecond); got != want {
		t.Errorf("%+v, not %+v", got, want)
	}
	if got := c.rotate(2, 0, 0, 0); got != (Progress{Slots: 2}) {
		t.Errorf("a span in which nothing was decided: %+v", got)
	}
}
