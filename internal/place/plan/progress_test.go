package plan

import (
	"testing"
	"time"
)

func TestProgressTellsOfOneSpanAtATime(t *testing.T) {
	var c progress
	c.decided(true, 30*time.Millisecond)
	c.decided(false, 10*time.Millisecond)
	want := Progress{Slots: 2, UnderWay: 3, Waiting: 7, LongestWaitMs: 900, LongestMs: 30, Decisions: 2, Taken: 1}
	if got := c.turn(2, 3, 7, 900*time.Millisecond); got != want {
		t.Errorf("%+v, not %+v", got, want)
	}
	if got := c.turn(2, 0, 0, 0); got != (Progress{Slots: 2}) {
		t.Errorf("a span in which nothing was decided: %+v", got)
	}
}
