package plan

import (
	"testing"
	"time"
)

func TestProgressTellsOfOneSpanAtATime(t *testing.T) {
	var c progress
	c.decided(true)
	c.decided(false)
	c.round(30 * time.Millisecond)
	c.round(10 * time.Millisecond)
	want := Progress{Slots: 2, Waiting: 7, LongestWaitMs: 900, Rounds: 2, LongestMs: 30, Decisions: 2, Taken: 1}
	if got := c.turn(2, 7, 900*time.Millisecond); got != want {
		t.Errorf("%+v, not %+v", got, want)
	}
	if got := c.turn(2, 0, 0); got != (Progress{Slots: 2}) {
		t.Errorf("a span in which nothing was decided: %+v", got)
	}
}
