package plan

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simstate"
	"drumstall.example/internal/state/owner"
)

// configWithModels returns a configuration with the given number of models, and replicas that hold none of them.
func configWithModels(models, replicas int) (conf.Effective, order.Statuses) {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{}
	for i := range models {
		cfg.Models[fmt.Sprintf("m-%02d", i)] = conf.Model{SizeMib: 10, ExpectedLoadTime: time.Second, ExpectedServeTime: time.Second}
	}
	var all []order.Status
	for i := range replicas {
		all = append(all, order.Status{Listed: inventory.Listed{ID: fmt.Sprintf("r-%02d", i), Model: true}, Controller: "core-2", Slots: 12, CapacityMib: 100, FreeMib: 100})
	}
	return cfg, order.NewStatuses(all)
}

// acceptedLoads records the loads accepted by controllers, by item, and counts them by replica.
type acceptedLoads struct {
	mu       sync.Mutex
	items    map[string]bool
	replicas map[string]int
}

func (l *acceptedLoads) add(q order.ConsiderRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items[q.Item] = true
	l.replicas[q.Replica]++
}

func (l *acceptedLoads) has(item string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.items[item]
}

func (l *acceptedLoads) maxPerReplica() (count, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.replicas {
		most = max(most, n)
	}
	return len(l.items), most
}

// runPlanner runs test against a planner whose controllers answer after the given delay.
func runPlanner(t *testing.T, models int, delay func(item string) time.Duration, test func(reports *report.Table, loads *acceptedLoads)) {
	t.Helper()
	simstate.Play(t, vfs.NewMem(), func(t *testing.T, g *run.Group, own *owner.Owner) {
		cfg, statuses := configWithModels(models, 32)
		reports := report.NewTable()
		loads := &acceptedLoads{items: map[string]bool{}, replicas: map[string]int{}}
		cadence := bounds.DefaultCadence()
		cadence.Plan, cadence.DecisionInterval = 50*time.Millisecond, 10*time.Second
		p := New(Deps{Group: g, Clock: simhost.NewClock(), Log: ring.New(io.Discard, 10).Logger(), Self: "core-1", Cadence: cadence, Owner: own,
			Gossip: gossip.NewTable(), Reports: reports, Conf: func() conf.Effective { return cfg }, Statuses: func() order.Statuses { return statuses },
			SharePredictions: func(context.Context, SharedPredictions) {},
			Consider: func(ctx context.Context, _ string, q order.ConsiderRequest) (order.ConsiderResponse, error) {
				run.Sleep(ctx, delay(q.Item))
				if !q.DryRun {
					loads.add(q)
				}
				return order.ConsiderResponse{Accepted: true, Starts: 1, ReadyMs: 1000}, nil
			}})
		for slot, epoch := range own.Held() {
			p.OnSlotAcquired(slot, epoch, nil)
		}
		time.Sleep(time.Second)
		test(reports, loads)
	})
}

// missReport returns a report with one request waiting for each item.
func missReport(version uint64, items ...string) report.Report {
	r := report.Report{Agent: "e", Boot: "b", Version: version, Waiting: map[string]int{}, Demand: map[string]uint64{}}
	for _, item := range items {
		r.Waiting[item], r.Demand[item] = 1, 1
	}
	return r
}

func TestDecisionsRunConcurrently(t *testing.T) {
	const models = 24
	runPlanner(t, models, func(string) time.Duration { return 200 * time.Millisecond }, func(reports *report.Table, loads *acceptedLoads) {
		var all []string
		for i := range models {
			all = append(all, fmt.Sprintf("m-%02d", i))
		}
		start := time.Now()
		clock := simhost.NewClock()
		reports.Put(missReport(1, all...), clock.Since())
		time.Sleep(1600 * time.Millisecond)
		if count, _ := loads.maxPerReplica(); count < models {
			t.Errorf("loads ordered for %d of %d missed items after %v, with controllers that answer in 200 ms", count, models, time.Since(start))
		}
	})
}

func TestASlowDecisionDoesNotBlockOthers(t *testing.T) {
	delay := func(item string) time.Duration {
		if item == "m-00" {
			return time.Minute
		}
		return 10 * time.Millisecond
	}
	runPlanner(t, 2, delay, func(reports *report.Table, loads *acceptedLoads) {
		clock := simhost.NewClock()
		reports.Put(missReport(1, "m-00"), clock.Since())
		time.Sleep(200 * time.Millisecond)
		reports.Put(missReport(2, "m-00", "m-01"), clock.Since())
		time.Sleep(300 * time.Millisecond)
		if !loads.has("m-01") {
			t.Error("no load ordered 0.3 s after a miss, while a decision about another item waits for an answer")
		}
	})
}

func TestConcurrentDecisionsChooseDifferentReplicas(t *testing.T) {
	runPlanner(t, maxConcurrentDecisions, func(string) time.Duration { return 50 * time.Millisecond }, func(reports *report.Table, loads *acceptedLoads) {
		var all []string
		for i := range maxConcurrentDecisions {
			all = append(all, fmt.Sprintf("m-%02d", i))
		}
		reports.Put(missReport(1, all...), simhost.NewClock().Since())
		time.Sleep(time.Second)
		if count, most := loads.maxPerReplica(); count != maxConcurrentDecisions || most > 1 {
			t.Errorf("loads ordered for %d of %d items, %d of them on one replica", count, maxConcurrentDecisions, most)
		}
	})
}
