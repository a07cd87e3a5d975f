package load

import (
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/sim/simhost"
)

func TestCPUFractionIsMeasuredAgainstShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var spent time.Duration
		u := NewCPUMeter(simhost.NewClock(), 0.2)
		u.used = func() time.Duration { return spent }
		u.usedAtMeasurement = 0
		for _, c := range []struct{ busyFor, want float64 }{{0, 0}, {0.1, 0.5}, {0.2, 1}, {0.02, 0.1}} {
			time.Sleep(time.Second)
			spent += time.Duration(c.busyFor * float64(time.Second))
			if got := u.Fraction(); got < c.want-0.01 || got > c.want+0.01 {
				t.Errorf("%v s of CPU time in a second: fraction %v, want %v", c.busyFor, got, c.want)
			}
			spent += time.Second
			if got := u.Fraction(); got < c.want-0.01 || got > c.want+0.01 {
				t.Errorf("a second call within minMeasurePeriod returns %v", got)
			}
			spent -= time.Second
		}
		u.share = 0
		time.Sleep(time.Second)
		if got := u.Fraction(); got != 0 {
			t.Errorf("with an unknown share: %v, want 0", got)
		}
	})
}
