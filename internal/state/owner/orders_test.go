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
		{"no replies", nil, 0},
		{"all replies report it", []state.Reply{{IdleMs: 4000}, {IdleMs: 3900}}, 3900 * time.Millisecond},
		{"one voter saw a later lease", []state.Reply{{IdleMs: 4000}, {}}, 0},
	} {
		if got := idleFor(c.yes); got != c.want {
			t.Errorf("%s: idle for %v, want %v", c.name, got, c.want)
		}
	}
}

func TestSlotIsNotIdleDuringAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startProcess(t, vfs.NewMem(), state.LeaseDuration, 0)
		defer p.stop()
		waitFor(t, 5*time.Second, p.mayOrder)
		s := p.owner.slots[state.SlotOf(testKey)]
		idle := func() time.Duration { return s.orders.idleFor(s.owner.d.Clock.Since()) }
		time.Sleep(10 * time.Second)
		if got := idle(); got < 9*time.Second {
			t.Errorf("idle for %v, but no order was sent in ten seconds", got)
		}
		if got := s.handbackDelay(s.owner.d.Clock.Since()); got != s.owner.d.HandbackDelay {
			t.Errorf("handback delay %v, want %v", got, s.owner.d.HandbackDelay)
		}
		ended := p.owner.BeginOrder(testKey)
		time.Sleep(5 * time.Second)
		if got := idle(); got != 0 {
			t.Errorf("idle for %v while an order is in flight", got)
		}
		ended()
		time.Sleep(time.Second)
		if got := idle(); got != time.Second {
			t.Errorf("idle for %v one second after the last order", got)
		}
	})
}
