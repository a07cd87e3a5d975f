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

// manyModels is a configuration of so many models, and replicas that hold none of them.
func configWithModels(models, replicas int) (conf.Effective, order.Statuses) {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{}
	for i := range models {
		cfg.Models[fmt.Sprintf("m-%02d", i)] = conf.Model{SizeMib: 10, LoadFor: time.Second, ServeFor: time.Second}
	}
	var all []order.Status
	for i := range replicas {
		all = append(all, order.Status{Listed: inventory.Listed{ID: fmt.Sprintf("r-%02d", i), Model: true}, Controller: "core-2", Slots: 12, CapacityMib: 100, FreeMib: 100})
	}
	return cfg, order.NewStatuses(all)
}

// takenLoads is the loads that controllers have agreed to, by item, and the replicas they went to.
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

// planning plays a planner whose controllers take so long to answer.
func runPlanner(t *testing.T, models int, slow func(item string) time.Duration, play func(reports *report.Table, loads *acceptedLoads)) {
	t.Helper()
	simstate.Play(t, vfs.NewMem(), func(t *testing.T, g *run.Group, own *owner.Owner) {
		cfg, views := configWithModels(models, 32)
		reports := report.NewTable()
		loads := &acceptedLoads{items: map[string]bool{}, replicas: map[string]int{}}
		cadence := bounds.DefaultCadence()
		cadence.Plan, cadence.Again = 50*time.Millisecond, 10*time.Second
		p := New(Deps{Group: g, Clock: simhost.NewClock(), Log: ring.New(io.Discard, 10).Logger(), Self: "core-1", Cadence: cadence, Owner: own,
			Gossip: gossip.NewTable(), Reports: reports, Conf: func() conf.Effective { return cfg }, Views: func() order.Statuses { return views },
			Tell: func(context.Context, SharedPredictions) {},
			Ask: func(ctx context.Context, _ string, q order.ConsiderRequest) (order.ConsiderResponse, error) {
				run.Wait(ctx, slow(q.Item))
				if !q.DryRun {
					loads.add(q)
				}
				return order.ConsiderResponse{Accepted: true, Starts: 1, ReadyMs: 1000}, nil
			}})
		for slot, epoch := range own.Held() {
			p.OnSlotAcquired(slot, epoch, nil)
		}
		time.Sleep(time.Second)
		play(reports, loads)
	})
}

// misses is a report by which a request waits for each of some items.
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
		began := time.Now()
		clk := simhost.NewClock()
		reports.Put(missReport(1, all...), clk.Since())
		time.Sleep(1600 * time.Millisecond)
		if count, _ := loads.maxPerReplica(); count < models {
			t.Errorf("%d of %d items that are missed are on their way after %v, with controllers that answer in 200 ms", count, models, time.Since(began))
		}
	})
}

func TestASlowDecisionDoesNotBlockOthers(t *testing.T) {
	slow := func(item string) time.Duration {
		if item == "m-00" {
			return time.Minute
		}
		return 10 * time.Millisecond
	}
	runPlanner(t, 2, slow, func(reports *report.Table, loads *acceptedLoads) {
		clk := simhost.NewClock()
		reports.Put(missReport(1, "m-00"), clk.Since())
		time.Sleep(200 * time.Millisecond)
		reports.Put(missReport(2, "m-00", "m-01"), clk.Since())
		time.Sleep(300 * time.Millisecond)
		if !loads.has("m-01") {
			t.Error("an item is not on its way 0.3 s after it was missed, while a decision about another waits for an answer")
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
			t.Errorf("%d of %d items are on their way, %d of them at one replica", count, maxConcurrentDecisions, most)
		}
	})
}
