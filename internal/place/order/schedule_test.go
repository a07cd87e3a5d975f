package order

import (
	"io"
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/state/owner"
)

// fakeClock is a clock that the test sets.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Since() time.Duration { return c.now }
func (c *fakeClock) Wall() time.Time      { return time.Time{} }

// The estimated completion time of a pending load stays constant while nothing changes. An estimate
// relative to the arrival of each status would move later with every status.
func TestReadyEstimateStaysStable(t *testing.T) {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {ExpectedLoadTime: 2 * time.Second}, "n": {ExpectedLoadTime: 3 * time.Second}}
	c := &fakeClock{time.Minute}
	ctl := &Controller{d: Deps{Clock: c, Conf: func() conf.Effective { return cfg }}}
	front := &task{item: conf.Item{Model: "m"}, phase: phaseAwaitGrant, storeWait: 4 * time.Second}
	ctl.tasks.PushBack(front)
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}})
	first := ctl.estimateReady()
	ctl.etas = first
	want := map[string]time.Duration{"m": time.Minute + 6*time.Second, "n": time.Minute + 9500*time.Millisecond}
	expectSame := func(when string) {
		t.Helper()
		ctl.etas = ctl.estimateReady()
		for item, at := range want {
			if ctl.etas[item] != at {
				t.Errorf("%s: %s is estimated for %v, want %v", when, item, ctl.etas[item], at)
			}
		}
	}
	expectSame("at once")
	// The wait for the grant counts down.
	for range 20 {
		c.now += 200 * time.Millisecond
		front.storeWait = max(0, front.storeWait-200*time.Millisecond)
		expectSame("while it waits")
	}
	front.phase, front.phaseSince = phaseAwaitLoaded, c.now
	for range 8 {
		c.now += 200 * time.Millisecond
		expectSame("while it is loaded")
	}
	// A load with a higher penalty is granted first.
	front.phase, front.storeWait = phaseAwaitGrant, 5*time.Second
	ctl.etas = ctl.estimateReady()
	if eta := ctl.etas["m"]; eta != c.now+7*time.Second {
		t.Errorf("the item is estimated for %v, want %v", eta, c.now+7*time.Second)
	}
}

// The task with the highest penalty runs first, unless the front task has orders in progress or the
// task needs room that another task's victims will free. Penalties follow the predicted requests.
func TestTaskWithHighestPenaltyRunsFirst(t *testing.T) {
	c := &fakeClock{time.Minute}
	requests := map[string]float64{"m": 10, "n": 1, "o": 40}
	ctl := &Controller{d: Deps{Clock: c, Conf: conf.Empty, PredictedRequests: func(it string) float64 { return requests[it] }}, entries: map[conf.Item]*entry{}}
	ctl.report.CapacityMib = 100
	put := func(item, state string, mib int) {
		ctl.entries[conf.Item{Model: item}] = &entry{Entry: Entry{State: state, SizeMib: mib}}
	}
	put("old", Withdrawn, 80)
	put("n", Reserved, 30)
	put("m", Reserved, 20)
	put("o", Reserved, 40)
	// n's victim also frees the room for o; m fits without it.
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}, requestCost: time.Second, acceptedAt: c.now, victims: []conf.Item{{Model: "old"}}})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "o"}, requestCost: time.Second, acceptedAt: c.now})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "m"}, requestCost: time.Second, acceptedAt: c.now})
	expectFirst := func(want string) {
		t.Helper()
		ctl.prioritize(c.now)
		if got := ctl.tasks.Front().item.Model; got != want {
			t.Errorf("task %s is first, want %s", got, want)
		}
	}
	expectFirst("m")
	requests["m"], requests["n"] = 1, 30 // requests for n arrive
	expectFirst("n")
	ctl.tasks.Front().phase = phaseAwaitUnloaded // its orders are in progress
	requests["m"] = 90
	expectFirst("n")
	delete(ctl.entries, conf.Item{Model: "old"})
	ctl.tasks.Front().phase = phaseAwaitGrant
	expectFirst("m")
	requests["m"] = 20 // o has a higher penalty and there is room now
	expectFirst("o")
	requests["m"] = 45 // not enough of a difference to overtake
	expectFirst("o")
	// The room for n is free and m would take it; the room that m and o count on is not free yet. o does not block n either.
	put("older", Withdrawn, 60)
	requests["m"] = 400
	expectFirst("n")
}

// When a task is dropped whose victims would also have freed the room for another task, that task is dropped
// too, and tasks with room of their own stay.
func TestTaskIsDroppedWithTheTaskWhoseRoomItNeeds(t *testing.T) {
	g := run.NewGroup(t.Context())
	g.Stop()
	c := &fakeClock{time.Minute}
	ctl := &Controller{d: Deps{Clock: c, Group: g, Log: ring.New(io.Discard, 9).Logger(), Conf: conf.Empty, Owner: owner.New(owner.Deps{Group: g, Clock: c})}, entries: map[conf.Item]*entry{}, hasReport: true}
	ctl.report.CapacityMib = 100
	put := func(item, state string, mib int) {
		ctl.entries[conf.Item{Model: item}] = &entry{Entry: Entry{State: state, SizeMib: mib}}
	}
	put("old", Withdrawn, 70)
	put("m", Reserved, 30)
	put("n", Reserved, 30)
	put("o", Reserved, 30)
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "m"}, victims: []conf.Item{{Model: "old"}}})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "o"}})
	ctl.abandon(0, "timed out waiting for a grant of the weight store")
	if ctl.tasks.Len() != 1 || ctl.tasks.Front().item.Model != "n" || ctl.entries[conf.Item{Model: "o"}] != nil || ctl.entries[conf.Item{Model: "old"}].State != backend.Loaded {
		t.Errorf("%d tasks are left, the first for %v", ctl.tasks.Len(), ctl.tasks.Front().item)
	}
}

// No report is requested before it can show progress. The load of an adapter whose model has to be loaded
// first must not be polled during the load of the model.
func TestNextPollWaitsUntilReportCanShowProgress(t *testing.T) {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {ExpectedLoadTime: 2 * time.Second}}
	model, adapter := conf.Item{Model: "m"}, conf.Item{Model: "m", Adapter: "a"}
	const delay = 100 * time.Millisecond
	for name, c := range map[string]struct {
		item        conf.Item
		phase       phase
		modelLoaded bool
		after       time.Duration
	}{
		"a model's load":             {model, phaseAwaitLoaded, false, 1800 * time.Millisecond},
		"an adapter's, model loaded": {adapter, phaseAwaitLoaded, true, delay},
		"an adapter's, model first":  {adapter, phaseAwaitLoaded, false, 1800 * time.Millisecond},
		"an unload":                  {model, phaseAwaitUnloaded, false, delay},
		"a grant of the store":       {model, phaseAwaitGrant, false, -time.Minute},
	} {
		ctl := &Controller{d: Deps{Clock: &fakeClock{time.Minute}, Conf: func() conf.Effective { return cfg }}, entries: map[conf.Item]*entry{},
			traits: backend.Traits{ReportsBusy: true}, delay: reportDelay{shortest: delay}}
		if c.modelLoaded {
			ctl.entries[model] = &entry{Entry: Entry{State: backend.Loaded}}
		}
		ctl.tasks.PushBack(&task{item: c.item, phase: c.phase, phaseSince: time.Minute})
		if got := ctl.nextProgressAt() - time.Minute; got != c.after {
			t.Errorf("%s: next poll after %v, want %v", name, got, c.after)
		}
	}
}

// The poll interval grows with the time that a task has taken, and completion is detected late by at most a small
// part of that time. Polling at a fixed interval would mean 25 polls a second from when the load may be complete.
func TestPollIntervalGrowsWithTaskDuration(t *testing.T) {
	const step = 40 * time.Millisecond
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {ExpectedLoadTime: 2 * time.Second}}
	for name, c := range map[string]struct {
		phase    phase
		took     time.Duration
		maxPolls int
	}{
		"a load that is done in time": {phaseAwaitLoaded, 2 * time.Second, 4},
		"a load that takes longer":    {phaseAwaitLoaded, 4 * time.Second, 30},
		"one that takes very long":    {phaseAwaitLoaded, 20 * time.Second, 85},
		"an unload at once":           {phaseAwaitUnloaded, 50 * time.Millisecond, 3},
		"an unload that takes longer": {phaseAwaitUnloaded, 4 * time.Second, 75},
	} {
		clock := &fakeClock{time.Minute}
		ctl := &Controller{d: Deps{Clock: clock, Conf: func() conf.Effective { return cfg }}, entries: map[conf.Item]*entry{}, traits: backend.Traits{ReportsBusy: true}}
		ctl.tasks.PushBack(&task{item: modelItem("m"), phase: c.phase, phaseSince: clock.now})
		polls, seen := 0, time.Duration(0)
		for ; seen < c.took; clock.now += step {
			if ctl.nextProgressAt() > clock.now {
				continue
			}
			ctl.polledAt, seen = clock.now, clock.now-time.Minute
			polls++
		}
		if late := seen - c.took; late > step+c.took/pollBackoffDivisor {
			t.Errorf("%s: detected %v late", name, late)
		}
		if polls > c.maxPolls {
			t.Errorf("%s: polled %d times, want at most %d", name, polls, c.maxPolls)
		}
	}
}

// With a constant report delay, few polls are useless and none is postponed by more than two
// steps; one slow load does not delay the detection of the next one.
func TestReportDelayIsLearned(t *testing.T) {
	const step = 40 * time.Millisecond
	for _, late := range []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		var r reportDelay
		useless := 0
		for n := range 60 {
			at, polls := r.shortest, 1
			for ; at < late; at += step {
				polls++
			}
			if n >= 20 {
				useless += polls - 1
				if at-late > 2*step {
					t.Errorf("report delay %v: detected after %v", late, at)
				}
			}
			r.observe(polls, at, step)
		}
		if useless > 50 {
			t.Errorf("report delay %v: %d useless polls in 40 loads", late, useless)
		}
	}
	r := reportDelay{shortest: 100 * time.Millisecond}
	r.observe(50, 2*time.Second, step)
	if r.shortest > 100*time.Millisecond+step {
		t.Errorf("after a slow load the delay is %v", r.shortest)
	}
}
