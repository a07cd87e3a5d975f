package route

import (
	"context"
	"testing"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/state"
)

// steppingClock is the clock of a slow machine: it advances by clockStep on each reading.
type steppingClock struct{ manualClock }

const clockStep = 20 * time.Millisecond

func (c *steppingClock) Since() time.Duration {
	c.now += clockStep
	return c.now
}

func TestRouterRestsBetweenConfigurationsThenAppliesTheNewest(t *testing.T) {
	clock, table := &steppingClock{manualClock{time.Hour}}, gossip.NewTable()
	router := NewRouter(Deps{Group: stoppedGroup(), Gossip: table, Clock: clock, Zone: func() string { return "z" }, SinceContact: func() time.Duration { return 0 }, Edges: func() int { return 1 }})
	apply := func(version uint64) {
		table.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: version}, Value: conf.Stored{Serial: version, Objects: map[string][]byte{}}.Pack()})
		router.renew()
	}
	checkVersion := func(when string, want uint64) {
		t.Helper()
		if got := router.Current().Serial; got != want {
			t.Errorf("%s: configuration %d is in force, want %d", when, got, want)
		}
	}
	apply(1)
	checkVersion("first configuration", 1)
	apply(2)
	checkVersion("while the router rests", 1)
	apply(3)
	checkVersion("while the router rests", 1)
	clock.now += time.Duration(conf.ReadBackoff().Factor) * clockStep
	router.renew()
	checkVersion("after the rest", 3)
	clock.now += time.Second
	apply(4)
	checkVersion("a configuration after a long pause", 4)
}

// On a machine so slow that reading a configuration takes a second, the next one must not wait for several seconds.
func TestConfigurationRestIsBoundedOnSlowMachine(t *testing.T) {
	r := NewRouter(Deps{Group: stoppedGroup(), Gossip: gossip.NewTable(), Clock: &manualClock{}, Zone: func() string { return "z" }}).confRest
	r.Record(0, time.Second)
	if left := r.Remaining(time.Second); left != conf.ReadBackoff().MaxPause {
		t.Errorf("the rest is %v after reading for a second", left)
	}
}

func stoppedGroup() *run.Group {
	g := run.NewGroup(context.Background())
	g.Stop()
	return g
}
