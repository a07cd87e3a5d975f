package rest

import (
	"testing"
	"time"
)

func TestPauseFollowsDurationOfWork(t *testing.T) {
	for name, c := range map[string]struct {
		rest Throttle
		took time.Duration
		want time.Duration
	}{
		"so many times the work": {Throttle{Factor: 4}, 10 * time.Millisecond, 40 * time.Millisecond},
		"bounded":                {Throttle{Factor: 4, MaxPause: 25 * time.Millisecond}, 10 * time.Millisecond, 25 * time.Millisecond},
		"none":                   {Throttle{}, 10 * time.Millisecond, 0},
	} {
		if left := c.rest.Remaining(time.Hour); left != 0 {
			t.Errorf("%s: %v left before any work", name, left)
		}
		c.rest.Record(time.Second, time.Second+c.took)
		if left := c.rest.Remaining(time.Second + c.took); left != c.want {
			t.Errorf("%s: %v left", name, left)
		}
		if left := c.rest.Remaining(time.Second + c.took + c.want); left != 0 {
			t.Errorf("%s: %v left at its end", name, left)
		}
	}
}
