package simnet

import (
	"testing"
	"time"
)

func TestALinkCarriesSoManyBytesASecond(t *testing.T) {
	f := New(1, func(string, string) time.Duration { return 0 })
	f.Rate("10.0.0.1", 1000)
	f.Rate("10.0.0.2", 500)
	now := time.Now()
	for _, c := range []struct {
		what, from, to string
		bytes          int
		after          time.Duration
	}{
		{"the slower link decides", "10.0.0.1", "10.0.0.2", 100, 200 * time.Millisecond},
		{"what is sent next waits for what goes before", "10.0.0.1", "10.0.0.3", 300, 400 * time.Millisecond},
		{"the other way is free", "10.0.0.2", "10.0.0.1", 50, 100 * time.Millisecond},
		{"machines without a limit", "10.0.0.3", "10.0.0.4", 1 << 30, 0},
		{"within a machine", "10.0.0.2", "10.0.0.2", 1 << 30, 0},
	} {
		if got := f.rates.carry(c.from, c.to, c.bytes, now).Sub(now); got != c.after {
			t.Errorf("%s: after %v, want %v", c.what, got, c.after)
		}
	}
}
