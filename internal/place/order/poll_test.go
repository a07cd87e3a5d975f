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

// countingReplica counts the requests for its report and the orders; it holds nothing until loaded is set.
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

// runController runs a test with the controller of a replica whose grants come from the given function.
func runController(t *testing.T, replica backend.Client, grant func(context.Context, GrantRequest) (time.Duration, bool), test func(t *testing.T, ctl *Controller)) {
	t.Helper()
	simstate.Play(t, vfs.NewMem(), func(t *testing.T, g *run.Group, own *owner.Owner) {
		cadence := bounds.DefaultCadence()
		cadence.ReplicaIdle, cadence.ReplicaBusy = 700*time.Millisecond, 40*time.Millisecond
		cfg := conf.Empty()
		cfg.Models = map[string]conf.Model{"m": {SizeMib: 10, ExpectedLoadTime: time.Second, ExpectedServeTime: time.Second}}
		test(t, NewController(g, Deps{Clock: simhost.NewClock(), Log: ring.New(io.Discard, 10).Logger(), Self: "a", Boot: "b", Cadence: cadence, Replicas: replica, Owner: own,
			Gossip: gossip.NewTable(), Reports: report.NewTable(), Conf: func() conf.Effective { return cfg }, PredictedRequests: func(string) float64 { return 0 },
			Statuses: func() Statuses { return Statuses{} }, LiveAgents: func() map[string]bool { return nil }, PlatformAge: func() time.Duration { return 0 },
			ReportOutstanding: func(context.Context, string) {}, Grant: grant}, inventory.Listed{ID: "r", Addr: "10.0.0.2:9000", Model: true}))
	})
}

// grantAtOnce grants every load immediately.
func grantAtOnce(context.Context, GrantRequest) (time.Duration, bool) { return 0, true }

// A controller polls an idle replica at the long interval, with jitter, and at the short interval
// while a task runs.
func TestReplicaIsPolledOftenOnlyWhileTaskRuns(t *testing.T) {
	replica := &countingReplica{}
	runController(t, replica, grantAtOnce, func(t *testing.T, ctl *Controller) {
		pollsIn := func(duration time.Duration) int64 {
			before := replica.polls.Load()
			time.Sleep(duration)
			return replica.polls.Load() - before
		}
		time.Sleep(time.Second)
		if polls := pollsIn(14 * time.Second); polls < 16 || polls > 24 {
			t.Errorf("%d polls of an idle replica in 14 s, want about 20", polls)
		}
		a, err := ctl.Consider(t.Context(), ConsiderRequest{Replica: "r", Item: "m", SkipTest: true})
		if err != nil || !a.Accepted {
			t.Fatal(fmt.Sprintf("%+v", a), err)
		}
		if polls := pollsIn(time.Second); polls < 20 || polls > 27 {
			t.Errorf("%d polls in a second during a load, want about 25", polls)
		}
		replica.loaded.Store(true)
		time.Sleep(100 * time.Millisecond)
		if polls := pollsIn(7 * time.Second); polls < 8 || polls > 12 {
			t.Errorf("%d polls in 7 s after the load, want about 10", polls)
		}
	})
}

// A grant that arrives too late to be used must not drop the task: its victims are already unloaded, and the load would
// have to be decided again.
func TestLoadRetriesAfterLateGrant(t *testing.T) {
	replica := &countingReplica{}
	requests := 0
	starts := map[string]bool{}
	late := func(_ context.Context, l GrantRequest) (time.Duration, bool) {
		starts[l.StartID] = true
		if requests++; requests == 1 {
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
			t.Errorf("%d orders a second after the load was accepted and a second grant was given, want 1", orders)
		}
		if len(starts) != 1 {
			t.Errorf("grants for one start were requested with %d IDs, want 1", len(starts))
		}
	})
}
