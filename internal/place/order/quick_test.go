package order

import (
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/bounds"
)

func adapterController(c *clock) *Controller {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {LoadFor: 2 * time.Second, SizeMib: 100}, "n": {LoadFor: 2 * time.Second, SizeMib: 100}}
	ctl := &Controller{d: Deps{Clock: c, Conf: func() conf.Effective { return cfg }, Requests: func(string) float64 { return 0 }, Cadence: bounds.Cadence{Tasks: 2}},
		book: map[conf.Item]*line{}, traits: backend.Traits{AdaptersUnpaced: true}}
	ctl.report = backend.Report{CapacityMib: 1000, AdapterPlaces: 8}
	ctl.book[conf.Item{Model: "m"}] = &line{Line: Line{State: backend.Loaded, SizeMib: 100}}
	return ctl
}

// An adapter whose model is there was once told to take as long as a model, and
// refused while model loads waited, so that its requests were turned away at once.
func TestAnAdapterDoesNotWaitLikeAModel(t *testing.T) {
	c := &clock{time.Minute}
	ctl := adapterController(c)
	m, adapter, far := conf.Item{Model: "m"}, conf.Item{Model: "m", Adapter: "a"}, conf.Item{Model: "n", Adapter: "a"}
	model := ctl.d.Conf().Models["m"]
	if got := ctl.readyMs(model, adapter); got != adapterMs+quickMargin {
		t.Errorf("an adapter is expected in %d ms, want %d", got, adapterMs+quickMargin)
	}
	if got := ctl.readyMs(model, far); got < 2000+adapterMs {
		t.Errorf("an adapter without its model is expected in %d ms", got)
	}
	for range 2 {
		ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}})
	}
	if ctl.queued(ctl.quick(m)) < ctl.mostTasks(m) {
		t.Error("a model would be taken on beyond the bound")
	}
	if ctl.queued(ctl.quick(adapter)) >= ctl.mostTasks(adapter) {
		t.Error("an adapter is refused because models wait")
	}
	ctl.tasks.Front().phase, ctl.tasks.Front().since = loaded, c.now-500*time.Millisecond
	if got, want := ctl.readyMs(model, adapter), adapterMs+quickMargin+1500; got != want {
		t.Errorf("behind a load under way it is expected in %d ms, want %d", got, want)
	}
	for range quickTasks {
		ctl.tasks.PushBack(&task{item: adapter})
	}
	if ctl.queued(ctl.quick(adapter)) < ctl.mostTasks(adapter) {
		t.Error("adapters are taken on without bound")
	}
}

// What takes little time goes first, by what it is worth in that time.
func TestTheQuickOneGoesFirst(t *testing.T) {
	ctl := adapterController(&clock{time.Minute})
	adapter := conf.Item{Model: "m", Adapter: "a"}
	ctl.book[adapter] = &line{Line: Line{State: Reserved, SizeMib: 1}}
	ctl.book[conf.Item{Model: "n"}] = &line{Line: Line{State: Reserved, SizeMib: 100}}
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}, worth: 5, begun: time.Minute})
	ctl.tasks.PushBack(&task{item: adapter, worth: 1, begun: time.Minute})
	ctl.dearestFirst(time.Minute)
	if got := ctl.tasks.Front().item; got != adapter {
		t.Errorf("%v goes first", got)
	}
}
