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

// slowClock is that of a machine on which everything takes its time: each look at it is a step later.
type steppingClock struct{ manualClock }

const clockStep = 20 * time.Millisecond

func (c *steppingClock) Since() time.Duration {
	c.now += clockStep
	return c.now
}

func TestRouterRestsBetweenConfigurationsThenAppliesTheNewest(t *testing.T) {
	clock, table := &steppingClock{manualClock{time.Hour}}, gossip.NewTable()
	k := NewRouter(Deps{Group: stoppedGroup(), Gossip: table, Clock: clock, Zone: func() string { return "z" }, SinceContact: func() time.Duration { return 0 }, Edges: func() int { return 1 }})
	come := func(version uint64) {
		table.Put(gossip.Entry{Key: conf.Key, Stamp: state.Stamp{Epoch: 1, Version: version}, Value: conf.Kept{Serial: version, Objects: map[string][]byte{}}.Pack()})
		k.renew()
	}
	inForce := func(when string, want uint64) {
		t.Helper()
		if got := k.Current().Serial; got != want {
			t.Errorf("%s: %d is in force, want %d", when, got, want)
		}
	}
	come(1)
	inForce("the first one", 1)
	come(2)
	inForce("while the keeper rests", 1)
	come(3)
	inForce("while the keeper rests", 1)
	clock.now += time.Duration(conf.ReadingRest().Times) * clockStep
	k.renew()
	inForce("after the rest", 3)
	clock.now += time.Second
	come(4)
	inForce("one that comes alone", 4)
}

// On a machine so slow that reading takes a second, what has come must not wait for many more.
func TestConfigurationRestIsBoundedOnSlowMachine(t *testing.T) {
	r := NewRouter(Deps{Group: stoppedGroup(), Gossip: gossip.NewTable(), Clock: &manualClock{}, Zone: func() string { return "z" }}).confRest
	r.Worked(0, time.Second)
	if left := r.Left(time.Second); left != conf.ReadingRest().Most {
		t.Errorf("a rest of %v after reading for a second", left)
	}
}

func stoppedGroup() *run.Group {
	g := run.NewGroup(context.Background())
	g.Stop()
	return g
}
