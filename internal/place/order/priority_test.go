package order

import (
	"io"
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/ring"
)

// fullController returns the controller of a replica of 100 MiB with the given loaded models and
// pending tasks, in their order; room is reserved for the model of each task.
func fullController(now time.Duration, loaded map[string]int, tasks ...*task) *Controller {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{}
	ctl := &Controller{d: Deps{Clock: &fakeClock{now}, Log: ring.New(io.Discard, 10).Logger(), Conf: func() conf.Effective { return cfg }, PredictedRequests: func(string) float64 { return 0 }},
		entries: map[conf.Item]*entry{}, hasReport: true, report: backend.Report{CapacityMib: 100, AdapterPlaces: 8}}
	for name, size := range loaded {
		cfg.Models[name] = conf.Model{ExpectedLoadTime: 2 * time.Second, SizeMib: size}
		ctl.entries[conf.Item{Model: name}] = &entry{Entry: Entry{State: backend.Loaded, SizeMib: size}}
	}
	for _, t := range tasks {
		cfg.Models[t.item.Model] = conf.Model{ExpectedLoadTime: 2 * time.Second, SizeMib: 30}
		ctl.reserve(t.item, 30)
		for _, v := range t.victims {
			ctl.withdrawItem(v)
		}
		ctl.tasks.PushBack(t)
	}
	return ctl
}

// modelItem returns the item of a model.
func modelItem(name string) conf.Item { return conf.Item{Model: name} }

// A front task whose room was taken by a task that overtook it must yield to the task behind it whose victim
// frees room again. Otherwise both wait until the front task is dropped.
func TestBlockedFrontTaskYieldsToTaskThatFreesRoom(t *testing.T) {
	const now = time.Minute
	first := &task{item: modelItem("first"), phase: phaseAwaitGrant, acceptedAt: now, penalty: 9}
	second := &task{item: modelItem("second"), acceptedAt: now, penalty: 1, victims: []conf.Item{modelItem("idle")}}
	ctl := fullController(now, map[string]int{"busy": 50, "overtook": 10, "idle": 40}, first, second)
	ctl.prioritize(now)
	if got := ctl.tasks.Front(); got != second {
		t.Errorf("front task is %v, which does not fit", got.item)
	}
	// The room that the second task has freed is reserved for it, and the task with the higher penalty waits for the rest.
	delete(ctl.entries, modelItem("idle"))
	second.phase = phaseAwaitGrant
	ctl.prioritize(now)
	if got := ctl.tasks.Front(); got != second {
		t.Errorf("%v takes the room that another task has freed", got.item)
	}
}

// A front task that does not fit keeps its place if no other task fits either.
func TestFrontTaskStaysWhenNoTaskFits(t *testing.T) {
	const now = time.Minute
	first := &task{item: modelItem("first"), acceptedAt: now, penalty: 1}
	ctl := fullController(now, map[string]int{"busy": 95}, first, &task{item: modelItem("second"), acceptedAt: now, penalty: 9})
	ctl.prioritize(now)
	if got := ctl.tasks.Front(); got != first {
		t.Errorf("front task is %v", got.item)
	}
}

// Dropping an expired task may drop other tasks too. The loop over the tasks must not keep counting the tasks
// that were there before.
func TestDropExpiredMayDropAllTasks(t *testing.T) {
	const now = 2 * waitTimeout
	// All tasks count on the room of the last task's victim.
	ctl := fullController(now, map[string]int{"busy": 40, "idle": 60},
		&task{item: modelItem("first"), acceptedAt: now},
		&task{item: modelItem("second")},
		&task{item: modelItem("third"), victims: []conf.Item{modelItem("idle")}})
	if !ctl.dropExpired(now) || ctl.tasks.Len() > 0 {
		t.Errorf("%d tasks are left", ctl.tasks.Len())
	}
	if mib, _ := ctl.plannedUse(); mib != 100 {
		t.Errorf("%d MiB are planned", mib)
	}
}
