package load

import (
	"testing"
	"time"

	"drumstall.example/internal/sim/simhost"
)

func TestLateProcessIsBusy(t *testing.T) {
	for _, c := range []struct {
		name string
		late time.Duration
		want bool
	}{
		{"on time", 2 * time.Millisecond, false},
		{"late", busyThreshold, true},
		{"resumed after suspension", suspendThreshold, false},
	} {
		l := &LagMonitor{clock: simhost.NewClock()}
		now := l.clock.Since()
		l.due = now - c.late
		l.check(now)
		if got := l.Busy(); got != c.want {
			t.Errorf("%s: busy %v", c.name, got)
		}
	}
}
