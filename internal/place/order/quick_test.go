package order

import (
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/bounds"
)

func adapterWard(c *clock) *Ward {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {LoadFor: 2 * time.Second, SizeMib: 100}, "n": {LoadFor: 2 * time.Second, SizeMib: 100}}
	w := &Ward{d: Deps{Clock: c, Conf: func() conf.Effective { return cfg }, Requests: func(string) float64 { return 0 }, Cadence: bounds.Cadence{Tasks: 2}},
		book: map[conf.Item]*line{}, traits: backend.Traits{AdaptersUnpaced: true}}
	w.vitals = backend.Vitals{CapacityMib: 1000, AdapterPlaces: 8}
	w.book[conf.Item{Model: "m"}] = &line{Line: Line{State: backend.Loaded, SizeMib: 100}}
	return w
}

// An adapter whose model is there was once told to take as long as a model, and
// refused while model loads waited, so that its requests were turned away at once.
func TestAnAdapterDoesNotWaitLikeAModel(t *testing.T) {
	c := &clock{time.Minute}
	w := adapterWard(c)
	m, adapter, far := conf.Item{Model: "m"}, conf.Item{Model: "m", Adapter: "a"}, conf.Item{Model: "n", Adapter: "a"}
	model := w.d.Conf().Models["m"]
	if got := w.readyMs(model, adapter); got != adapterMs+quickMargin {
		t.Errorf("an adapter is expected in %d ms, want %d", got, adapterMs+quickMargin)
	}
	if got := w.readyMs(model, far); got < 2000+adapterMs {
		t.Errorf("an adapter without its model is expected in %d ms", got)
	}
	for range 2 {
		w.tasks.PushBack(&task{item: conf.Item{Model: "n"}})
	}
	if w.queued(w.quick(m)) < w.mostTasks(m) {
		t.Error("a model would be taken on beyond the bound")
	}
	if w.queued(w.quick(adapter)) >= w.mostTasks(adapter) {
		t.Error("an adapter is refused because models wait")
	}
	w.tasks.Front().phase, w.tasks.Front().since = loaded, c.now-500*time.Millisecond
	if got, want := w.readyMs(model, adapter), adapterMs+quickMargin+1500; got != want {
		t.Errorf("behind a load under way it is expected in %d ms, want %d", got, want)
	}
	for range quickTasks {
		w.tasks.PushBack(&task{item: adapter})
	}
	if w.queued(w.quick(adapter)) < w.mostTasks(adapter) {
		t.Error("adapters are taken on without bound")
	}
}

// What takes little time goes first, by what it is worth in that time.
func TestTheQuickOneGoesFirst(t *testing.T) {
	w := adapterWard(&clock{time.Minute})
	adapter := conf.Item{Model: "m", Adapter: "a"}
	w.book[adapter] = &line{Line: Line{State: Reserved, SizeMib: 1}}
	w.book[conf.Item{Model: "n"}] = &line{Line: Line{State: Reserved, SizeMib: 100}}
	w.tasks.PushBack(&task{item: conf.Item{Model: "n"}, worth: 5, begun: time.Minute})
	w.tasks.PushBack(&task{item: adapter, worth: 1, begun: time.Minute})
	w.dearestFirst(time.Minute)
	if got := w.tasks.Front().item; got != adapter {
		t.Errorf("%v goes first", got)
	}
}
