package order

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simstate"
	"drumstall.example/internal/state/owner"
)

// countedReplica holds nothing, and counts how often it is asked for its report.
type countingReplica struct {
	polls  atomic.Int64
	orders atomic.Int64
	loaded atomic.Bool
}

func (r *countingReplica) Report(_ context.Context, target backend.Target) (backend.Report, error) {
	r.polls.Add(1)
	items := map[conf.Item]backend.ItemStatus{}
	if r.loaded.Load() {
		items[conf.Item{Model: "m"}] = backend.ItemStatus{State: backend.Loaded, SizeMib: 10}
	}
	return backend.Report{ID: target.ID, Incarnation: target.ID, Model: true, Slots: 4, CapacityMib: 100, Items: items}, nil
}

func (r *countingReplica) Order(context.Context, backend.Target, backend.Order) error {
	r.orders.Add(1)
	return nil
}

func (r *countingReplica) Close() {}

func (r *countingReplica) Traits() backend.Traits { return backend.Traits{} }

// controlled plays a controller of a replica that waits for the store's leave as it is told.
func runController(t *testing.T, replica backend.Client, grant func(context.Context, GrantRequest) (time.Duration, bool), play func(t *testing.T, ctl *Controller)) {
	t.Helper()
	simstate.Play(t, vfs.NewMem(), func(t *testing.T, g *run.Group, own *owner.Owner) {
		cadence := bounds.DefaultCadence()
		cadence.ReplicaIdle, cadence.ReplicaBusy = 700*time.Millisecond, 40*time.Millisecond
		cfg := conf.Empty()
		cfg.Models = map[string]conf.Model{"m": {SizeMib: 10, LoadFor: time.Second, ServeFor: time.Second}}
		play(t, NewController(g, Deps{Clock: simhost.NewClock(), Log: ring.New(io.Discard, 10).Logger(), Self: "a", Boot: "b", Cadence: cadence, Replicas: replica, Owner: own,
			Gossip: gossip.NewTable(), Reports: report.NewTable(), Conf: func() conf.Effective { return cfg }, PredictedRequests: func(string) float64 { return 0 },
			Others: func() Statuses { return Statuses{} }, LiveAgents: func() map[string]bool { return nil }, PlatformAge: func() time.Duration { return 0 },
			Afloat: func(context.Context, string) {}, Grant: grant}, inventory.Listed{ID: "r", Addr: "10.0.0.2:9000", Model: true}))
	})
}

// atOnce is the store's leave, given at once.
func grantAtOnce(context.Context, GrantRequest) (time.Duration, bool) { return 0, true }

// A controller looks at an idle replica in the long interval, at different moments for different replicas, and in the
// short one as soon as it carries something out.
func TestReplicaIsPolledOftenOnlyWhileTaskRuns(t *testing.T) {
	replica := &countingReplica{}
	runController(t, replica, grantAtOnce, func(t *testing.T, ctl *Controller) {
		looksIn := func(while time.Duration) int64 {
			before := replica.polls.Load()
			time.Sleep(while)
			return replica.polls.Load() - before
		}
		time.Sleep(time.Second)
		if looks := looksIn(14 * time.Second); looks < 16 || looks > 24 {
			t.Errorf("%d looks at an idle replica in 14 s, 20 are due", looks)
		}
		a, err := ctl.Consider(t.Context(), ConsiderRequest{Replica: "r", Item: "m", SkipTest: true})
		if err != nil || !a.Accepted {
			t.Fatal(fmt.Sprintf("%+v", a), err)
		}
		if looks := looksIn(time.Second); looks < 20 || looks > 27 {
			t.Errorf("%d looks in a second while a load is under way, 25 are due", looks)
		}
		replica.loaded.Store(true)
		time.Sleep(100 * time.Millisecond)
		if looks := looksIn(7 * time.Second); looks < 8 || looks > 12 {
			t.Errorf("%d looks in 7 s after the load, 10 are due", looks)
		}
	})
}

// A load whose leave came too late to be used was given up, with its victims gone, and had to be decided on anew.
func TestLoadRetriesAfterLateGrant(t *testing.T) {
	replica := &countingReplica{}
	asked := 0
	starts := map[string]bool{}
	late := func(_ context.Context, l GrantRequest) (time.Duration, bool) {
		starts[l.StartID] = true
		if asked++; asked == 1 {
			time.Sleep(490 * time.Millisecond)
		}
		return 0, true
	}
	runController(t, replica, late, func(t *testing.T, ctl *Controller) {
		time.Sleep(time.Second)
		a, err := ctl.Consider(t.Context(), ConsiderRequest{Replica: "r", Item: "m", SkipTest: true})
		if err != nil || !a.Accepted {
			t.Fatal(fmt.Sprintf("%+v", a), err)
		}
		time.Sleep(time.Second)
		if orders := replica.orders.Load(); orders != 1 {
			t.Errorf("%d orders a second after the load was decided on, though leave was given twice", orders)
		}
		if len(starts) != 1 {
			t.Errorf("leave for one start was asked for under %d names", len(starts))
		}
	})
}
