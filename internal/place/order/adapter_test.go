package order

import (
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/bounds"
)

// adapterController returns the controller of a replica with model m loaded and model n configured.
func adapterController(c *fakeClock) *Controller {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {ExpectedLoadTime: 2 * time.Second, SizeMib: 100}, "n": {ExpectedLoadTime: 2 * time.Second, SizeMib: 100}}
	ctl := &Controller{d: Deps{Clock: c, Conf: func() conf.Effective { return cfg }, PredictedRequests: func(string) float64 { return 0 }, Cadence: bounds.Cadence{MaxLoads: 2}},
		entries: map[conf.Item]*entry{}, traits: backend.Traits{AdapterLoadsUnlimited: true}}
	ctl.report = backend.Report{CapacityMib: 1000, AdapterPlaces: 8}
	ctl.entries[conf.Item{Model: "m"}] = &entry{Entry: Entry{State: backend.Loaded, SizeMib: 100}}
	return ctl
}

// The load of an adapter whose model is loaded is estimated by its own load time and accepted while model loads
// are pending. Otherwise the requests for the adapter would be rejected at once.
func TestAdapterLoadIsNotLimitedLikeModelLoad(t *testing.T) {
	c := &fakeClock{time.Minute}
	ctl := adapterController(c)
	m, adapter, unloadedBase := conf.Item{Model: "m"}, conf.Item{Model: "m", Adapter: "a"}, conf.Item{Model: "n", Adapter: "a"}
	model := ctl.d.Conf().Models["m"]
	if got := ctl.readyMs(model, adapter); got != defaultAdapterMs+adapterMarginMs {
		t.Errorf("the adapter is estimated at %d ms, want %d", got, defaultAdapterMs+adapterMarginMs)
	}
	if got := ctl.readyMs(model, unloadedBase); got < 2000+defaultAdapterMs {
		t.Errorf("an adapter without its model is estimated at %d ms", got)
	}
	for range 2 {
		ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}})
	}
	if ctl.queued(ctl.adapterOnly(m)) < ctl.maxTasks(m) {
		t.Error("a model load is accepted beyond the limit")
	}
	if ctl.queued(ctl.adapterOnly(adapter)) >= ctl.maxTasks(adapter) {
		t.Error("an adapter load is refused because model loads are pending")
	}
	ctl.tasks.Front().phase, ctl.tasks.Front().phaseSince = phaseAwaitLoaded, c.now-500*time.Millisecond
	if got, want := ctl.readyMs(model, adapter), defaultAdapterMs+adapterMarginMs+1500; got != want {
		t.Errorf("behind a load in progress the adapter is estimated at %d ms, want %d", got, want)
	}
	for range maxAdapterTasks {
		ctl.tasks.PushBack(&task{item: adapter})
	}
	if ctl.queued(ctl.adapterOnly(adapter)) < ctl.maxTasks(adapter) {
		t.Error("adapter loads are accepted without limit")
	}
}

// Tasks are ordered by penalty per load time, so a short load may run before one with a higher penalty.
func TestTaskPriorityAccountsForLoadTime(t *testing.T) {
	ctl := adapterController(&fakeClock{time.Minute})
	adapter := conf.Item{Model: "m", Adapter: "a"}
	ctl.entries[adapter] = &entry{Entry: Entry{State: Reserved, SizeMib: 1}}
	ctl.entries[conf.Item{Model: "n"}] = &entry{Entry: Entry{State: Reserved, SizeMib: 100}}
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}, penalty: 5, acceptedAt: time.Minute})
	ctl.tasks.PushBack(&task{item: adapter, penalty: 1, acceptedAt: time.Minute})
	ctl.prioritize(time.Minute)
	if got := ctl.tasks.Front().item; got != adapter {
		t.Errorf("%v is first", got)
	}
}
