package rest

import (
	"testing"
	"time"
)

func TestPauseFollowsDurationOfWork(t *testing.T) {
	for name, c := range map[string]struct {
		throttle Throttle
		took     time.Duration
		want     time.Duration
	}{
		"multiple of the run": {Throttle{Factor: 4}, 10 * time.Millisecond, 40 * time.Millisecond},
		"bounded":             {Throttle{Factor: 4, MaxPause: 25 * time.Millisecond}, 10 * time.Millisecond, 25 * time.Millisecond},
		"none":                {Throttle{}, 10 * time.Millisecond, 0},
	} {
		if remaining := c.throttle.Remaining(time.Hour); remaining != 0 {
			t.Errorf("%s: %v remaining before any run", name, remaining)
		}
		c.throttle.Record(time.Second, time.Second+c.took)
		if remaining := c.throttle.Remaining(time.Second + c.took); remaining != c.want {
			t.Errorf("%s: %v remaining after a run", name, remaining)
		}
		if remaining := c.throttle.Remaining(time.Second + c.took + c.want); remaining != 0 {
			t.Errorf("%s: %v remaining at the end of the pause", name, remaining)
		}
	}
}
