package order

import (
	"io"
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/ring"
)

// fullController controls a replica of 100 MiB with the models that are loaded and
// the tasks that wait, in their order; each task's model has its size reserved.
func fullController(now time.Duration, loaded map[string]int, tasks ...*task) *Controller {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{}
	ctl := &Controller{d: Deps{Clock: &fakeClock{now}, Log: ring.New(io.Discard, 10).Logger(), Conf: func() conf.Effective { return cfg }, PredictedRequests: func(string) float64 { return 0 }},
		entries: map[conf.Item]*entry{}, hasReport: true, report: backend.Report{CapacityMib: 100, AdapterPlaces: 8}}
	for name, size := range loaded {
		cfg.Models[name] = conf.Model{LoadFor: 2 * time.Second, SizeMib: size}
		ctl.entries[conf.Item{Model: name}] = &entry{Entry: Entry{State: backend.Loaded, SizeMib: size}}
	}
	for _, t := range tasks {
		cfg.Models[t.item.Model] = conf.Model{LoadFor: 2 * time.Second, SizeMib: 30}
		ctl.reserve(t.item, 30)
		for _, v := range t.victims {
			ctl.withdrawItem(v)
		}
		ctl.tasks.PushBack(t)
	}
	return ctl
}

func modelItem(name string) conf.Item { return conf.Item{Model: name} }

// A task was once overtaken by one that took the room it had counted on. It stood in front of the one whose
// victim would make room again, and both waited until the front was given up.
func TestBlockedFrontTaskYieldsToTaskThatFreesRoom(t *testing.T) {
	const now = time.Minute
	first := &task{item: modelItem("first"), phase: phaseAwaitGrant, acceptedAt: now, penalty: 9}
	second := &task{item: modelItem("second"), acceptedAt: now, penalty: 1, victims: []conf.Item{modelItem("idle")}}
	ctl := fullController(now, map[string]int{"busy": 50, "overtook": 10, "idle": 40}, first, second)
	ctl.prioritize(now)
	if got := ctl.tasks.Front(); got != second {
		t.Errorf("%v is in front, which does not fit", got.item)
	}
	// Once the room is made, the room of the other is its own, and the dearer one waits for what it leaves over.
	delete(ctl.entries, modelItem("idle"))
	second.phase = phaseAwaitGrant
	ctl.prioritize(now)
	if got := ctl.tasks.Front(); got != second {
		t.Errorf("%v takes the room that another has made", got.item)
	}
}

// A front that does not fit keeps its place where nothing else does either.
func TestFrontTaskStaysWhenNoTaskFits(t *testing.T) {
	const now = time.Minute
	first := &task{item: modelItem("first"), acceptedAt: now, penalty: 1}
	ctl := fullController(now, map[string]int{"busy": 95}, first, &task{item: modelItem("second"), acceptedAt: now, penalty: 9})
	ctl.prioritize(now)
	if got := ctl.tasks.Front(); got != first {
		t.Errorf("%v is in front", got.item)
	}
}

// Giving up one that waited too long once took others along, and the controller went on counting
// those that had been there before.
func TestDropExpiredMayDropAllTasks(t *testing.T) {
	const now = 2 * waitTimeout
	// All count on the room of the last one's victim.
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
