package touch

import (
	"testing"
	"time"
)

type clock struct{ now time.Duration }

func (c *clock) Since() time.Duration { return c.now }
func (c *clock) Wall() time.Time      { return time.Time{} }

func TestAgeGrowsWithoutDirectContact(t *testing.T) {
	c := &clock{time.Hour}
	heard := time.Duration(0)
	a, b := New(c, func() time.Duration { return c.now - heard }), New(c)
	if b.Age() != 0 {
		t.Error("one that never was in touch gives its word")
	}
	heard = c.now
	b.Observe(c.now, a.Age())
	for range 100 {
		c.now += 50 * time.Millisecond
		a.Observe(c.now, b.Age())
		b.Observe(c.now, a.Age())
	}
	if a.SinceContact() < 5*time.Second || b.SinceContact() < 5*time.Second {
		t.Errorf("5 s after the last first-hand word they are out of touch for %v and %v", a.SinceContact(), b.SinceContact())
	}
	// An answer that lay unread while the machine stood still.
	asked := c.now
	heard = c.now
	w := a.Age()
	c.now += 10 * time.Second
	if b.Observe(asked, w); b.SinceContact() < 10*time.Second {
		t.Errorf("a word 10 s old counts as %v", b.SinceContact())
	}
	heard = c.now
	b.Observe(c.now, a.Age())
	for _, bad := range []Age{0, 1<<64 - 1, 1 << 50} {
		if b.Observe(c.now, bad); b.SinceContact() != 0 {
			t.Errorf("word %d: out of touch for %v", bad, b.SinceContact())
		}
	}
}

func TestQuorumAge(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		quorum int
		ago    []time.Duration
		want   time.Duration
	}{{1, nil, 0}, {2, []time.Duration{9 * s, s}, s}, {3, []time.Duration{9 * s, s, 3 * s}, 3 * s}, {3, []time.Duration{s, Never, Never}, Never}, {2, nil, Never}} {
		if got := QuorumAge(c.quorum, c.ago); got != c.want {
			t.Errorf("quorum %d of %v: %v, want %v", c.quorum, c.ago, got, c.want)
		}
	}
}
