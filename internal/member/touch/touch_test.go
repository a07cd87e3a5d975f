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
		t.Error("a tracker without any contact returns an age")
	}
	heard = c.now
	b.Observe(c.now, a.Age())
	for range 100 {
		c.now += 50 * time.Millisecond
		a.Observe(c.now, b.Age())
		b.Observe(c.now, a.Age())
	}
	if a.SinceContact() < 5*time.Second || b.SinceContact() < 5*time.Second {
		t.Errorf("5 s after the last direct contact the ages are %v and %v", a.SinceContact(), b.SinceContact())
	}
	// A response that stayed unread while the machine was paused.
	asked := c.now
	heard = c.now
	w := a.Age()
	c.now += 10 * time.Second
	if b.Observe(asked, w); b.SinceContact() < 10*time.Second {
		t.Errorf("a response that was unread for 10 s gives an age of %v", b.SinceContact())
	}
	heard = c.now
	b.Observe(c.now, a.Age())
	for _, bad := range []Age{0, 1<<64 - 1, 1 << 50} {
		if b.Observe(c.now, bad); b.SinceContact() != 0 {
			t.Errorf("age %d on the wire: contact age is %v", bad, b.SinceContact())
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
