package order

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/sim/simhost"
)

// newPollingController returns a controller that polls a replica and sends no orders; cfg is the current configuration.
func newPollingController(t *testing.T, replica *fakeReplica, cfg *conf.Effective) *Controller {
	return &Controller{d: Deps{Group: run.NewGroup(t.Context()), Clock: simhost.NewClock(), Log: ring.New(io.Discard, 10).Logger(), Replicas: replica,
		Gossip: gossip.NewTable(), Conf: func() conf.Effective { return *cfg }}, listed: inventory.Listed{ID: "r", Addr: "10.0.0.1:1", Model: true},
		entries: map[conf.Item]*entry{}, heldBefore: map[string]bool{}, traits: replica.Traits()}
}

// configWithSizes returns a configuration with models of the given sizes.
func configWithSizes(sizes map[string]int) conf.Effective {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{}
	for name, size := range sizes {
		cfg.Models[name] = conf.Model{SizeMib: size, AdapterMib: size / 10}
	}
	return cfg
}

// A loaded model that is removed from the configuration, or configured with a smaller size, still uses its memory.
func TestLoadedItemUsesMemoryAfterRemovalFromConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		both, one, smaller := configWithSizes(map[string]int{"a": 40, "b": 30}), configWithSizes(map[string]int{"b": 30}), configWithSizes(map[string]int{"a": 10, "b": 30})
		held := map[conf.Item]backend.ItemStatus{modelItem("a"): {State: backend.Loaded}, {Model: "a", Adapter: "x"}: {State: backend.Loaded}}
		replica, cfg := &fakeReplica{items: held}, both
		ctl := newPollingController(t, replica, &cfg)
		expect := func(when string, wantMib, wantPlaces int) {
			t.Helper()
			ctl.poll()
			if mib, places := ctl.currentUse(); mib != wantMib || places != wantPlaces {
				t.Errorf("%s: %d MiB and %d places are in use, want %d and %d", when, mib, places, wantMib, wantPlaces)
			}
		}
		expect("while it is configured", 44, 1)
		cfg = one
		expect("after its removal from the configuration", 44, 1)
		cfg = smaller
		expect("when a smaller size is configured", 44, 1)
		// A new controller without an entry for the model assumes the largest known size.
		cfg = one
		ctl = newPollingController(t, replica, &cfg)
		expect("while its size is unknown", 33, 1)
		cfg = both
		expect("when its size is configured again", 44, 1)
	})
}

// An order of the previous lease holder is delayed by a partition. It arrives when the replica is reachable again,
// and shows in reports some time after that.
func TestOrderDelayedByPartitionKeepsItsMemory(t *testing.T) {
	for _, cut := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 30 * time.Second} {
		for _, inherited := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				cfg := configWithSizes(map[string]int{"a": 40})
				replica := &fakeReplica{items: map[conf.Item]backend.ItemStatus{}}
				ctl := newPollingController(t, replica, &cfg)
				if !inherited {
					ctl.poll()
				}
				ctl.entries[modelItem("a")] = &entry{Entry: Entry{State: backend.Loading, SizeMib: 40}, orderedAt: ctl.d.Clock.Since(), inherited: inherited, unanswered: !inherited}
				time.Sleep(cut)
				for range 25 {
					ctl.poll()
					if mib, _ := ctl.currentUse(); mib != 40 {
						t.Fatalf("cut %v, inherited %v: %d MiB are in use, want 40", cut, inherited, mib)
					}
					time.Sleep(100 * time.Millisecond)
				}
				for range outcomeTimeout / (100 * time.Millisecond) {
					time.Sleep(100 * time.Millisecond)
					ctl.poll()
				}
				if mib, _ := ctl.currentUse(); mib != 0 {
					t.Errorf("cut %v, inherited %v: %d MiB are in use though the order was never carried out", cut, inherited, mib)
				}
			})
		}
	}
}
