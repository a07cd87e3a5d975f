package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/state"
)

func TestASlotCountsAsQuietOnlyIfEveryVoterSaysSo(t *testing.T) {
	for _, c := range []struct {
		name string
		yes  []state.Reply
		want time.Duration
	}{
		{"nobody answered", nil, 0},
		{"all know it", []state.Reply{{IdleMs: 4000}, {IdleMs: 3900}}, 3900 * time.Millisecond},
		{"one knows of a later lease", []state.Reply{{IdleMs: 4000}, {}}, 0},
	} {
		if got := quietFor(c.yes); got != c.want {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
}

func TestASlotIsNotQuietWhileAnOrderIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := begin(t, vfs.NewMem(), state.LeaseDuration, 0)
		defer l.end()
		until(t, 5*time.Second, l.mayOrder)
		s := l.owner.slots[state.SlotOf(testKey)]
		quiet := func() time.Duration { return s.orders.quietFor(s.o.d.Clock.Since()) }
		time.Sleep(10 * time.Second)
		if got := quiet(); got < 9*time.Second {
			t.Errorf("quiet for %v though nothing was ordered in ten seconds", got)
		}
		if got := s.handback(s.o.d.Clock.Since()); got != s.o.d.Handback {
			t.Errorf("kept for %v, %v at most", got, s.o.d.Handback)
		}
		ended := l.owner.Ordering(testKey)
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
