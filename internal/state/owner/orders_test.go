package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/state"
)

func TestIdleTimeNeedsEveryReply(t *testing.T) {
	for _, c := range []struct {
		name string
		yes  []state.Reply
		want time.Duration
	}{
		{"nobody answered", nil, 0},
		{"all know it", []state.Reply{{IdleMs: 4000}, {IdleMs: 3900}}, 3900 * time.Millisecond},
		{"one knows of a later lease", []state.Reply{{IdleMs: 4000}, {}}, 0},
	} {
		if got := idleFor(c.yes); got != c.want {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
}

func TestSlotIsNotIdleDuringAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startProcess(t, vfs.NewMem(), state.LeaseDuration, 0)
		defer l.stop()
		waitFor(t, 5*time.Second, l.mayOrder)
		s := l.owner.slots[state.SlotOf(testKey)]
		quiet := func() time.Duration { return s.orders.idleFor(s.owner.d.Clock.Since()) }
		time.Sleep(10 * time.Second)
		if got := quiet(); got < 9*time.Second {
			t.Errorf("quiet for %v though nothing was ordered in ten seconds", got)
		}
		if got := s.handbackDelay(s.owner.d.Clock.Since()); got != s.owner.d.HandbackDelay {
			t.Errorf("kept for %v, %v at most", got, s.owner.d.HandbackDelay)
		}
		ended := l.owner.BeginOrder(testKey)
		time.Sleep(5 * time.Second)
		if got := quiet(); got != 0 {
			t.Errorf("quiet for %v while an order is under way", got)
		}
		ended()
		time.Sleep(time.Second)
		if got := quiet(); got != time.Second {
			t.Errorf("quiet for %v, a second after the last order", got)
		}
	})
}
