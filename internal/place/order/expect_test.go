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

type fakeClock struct{ now time.Duration }

func (c *fakeClock) Since() time.Duration { return c.now }
func (c *fakeClock) Wall() time.Time      { return time.Time{} }

// What is told of a load on its way stays where it is in time. It was once told
// as so many ms from whenever the status came, and moved on with every status.
func TestReadyEstimateStaysStable(t *testing.T) {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {LoadFor: 2 * time.Second}, "n": {LoadFor: 3 * time.Second}}
	c := &fakeClock{time.Minute}
	ctl := &Controller{d: Deps{Clock: c, Conf: func() conf.Effective { return cfg }}}
	front := &task{item: conf.Item{Model: "m"}, phase: phaseAwaitGrant, storeWait: 4 * time.Second}
	ctl.tasks.PushBack(front)
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}})
	first := ctl.estimateReady()
	ctl.etas = first
	want := map[string]time.Duration{"m": time.Minute + 6*time.Second, "n": time.Minute + 9500*time.Millisecond}
	same := func(when string) {
		t.Helper()
		ctl.etas = ctl.estimateReady()
		for item, at := range want {
			if ctl.etas[item] != at {
				t.Errorf("%s: %s is expected at %v, want %v", when, item, ctl.etas[item], at)
			}
		}
	}
	same("at once")
	// The store's keeper counts down, give or take a little.
	for range 20 {
		c.now += 200 * time.Millisecond
		front.storeWait = max(0, front.storeWait-200*time.Millisecond)
		same("while it waits")
	}
	front.phase, front.phaseSince = phaseAwaitLoaded, c.now
	for range 8 {
		c.now += 200 * time.Millisecond
		same("while it is loaded")
	}
	// Somebody dearer came first.
	front.phase, front.storeWait = phaseAwaitGrant, 5*time.Second
	ctl.etas = ctl.estimateReady()
	if later := ctl.etas["m"]; later != c.now+7*time.Second {
		t.Errorf("it is expected at %v, want %v", later, c.now+7*time.Second)
	}
}

// The dearest load goes first, unless what is in front has begun, or it needs the
// room that another's victims will leave over; and what it is worth follows who asks.
func TestTaskWithHighestPenaltyRunsFirst(t *testing.T) {
	c := &fakeClock{time.Minute}
	asked := map[string]float64{"m": 10, "n": 1, "o": 40}
	ctl := &Controller{d: Deps{Clock: c, Conf: conf.Empty, PredictedRequests: func(it string) float64 { return asked[it] }}, entries: map[conf.Item]*entry{}}
	ctl.report.CapacityMib = 100
	put := func(item, state string, mib int) {
		ctl.entries[conf.Item{Model: item}] = &entry{Entry: Entry{State: state, SizeMib: mib}}
	}
	put("old", Withdrawn, 80)
	put("n", Reserved, 30)
	put("m", Reserved, 20)
	put("o", Reserved, 40)
	// n's victim leaves room over for o; m fits as it is.
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}, requestCost: time.Second, acceptedAt: c.now, victims: []conf.Item{{Model: "old"}}})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "o"}, requestCost: time.Second, acceptedAt: c.now})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "m"}, requestCost: time.Second, acceptedAt: c.now})
	first := func(want string) {
		t.Helper()
		ctl.prioritize(c.now)
		if got := ctl.tasks.Front().item.Model; got != want {
			t.Errorf("%s goes first, want %s", got, want)
		}
	}
	first("m")
	asked["m"], asked["n"] = 1, 30 // others have begun to ask
	first("n")
	ctl.tasks.Front().phase = phaseAwaitUnloaded // it moves things
	asked["m"] = 90
	first("n")
	delete(ctl.entries, conf.Item{Model: "old"})
	ctl.tasks.Front().phase = phaseAwaitGrant
	first("m")
	asked["m"] = 20 // o is worth more and there is room now
	first("o")
	asked["m"] = 45 // not by enough to change
	first("o")
	// n's room is made; m would take it, and the room that m and o count on is not there yet. Nor does o hold n up.
	put("older", Withdrawn, 60)
	asked["m"] = 400
	first("n")
}

// A load is given up whose victims would have left room for another: that one goes
// with it, and those that have their own room stay.
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
	ctl.abandon(0, "the store had no room")
	if ctl.tasks.Len() != 1 || ctl.tasks.Front().item.Model != "n" || ctl.entries[conf.Item{Model: "o"}] != nil || ctl.entries[conf.Item{Model: "old"}].State != backend.Loaded {
		t.Errorf("%d loads are left, the first for %v", ctl.tasks.Len(), ctl.tasks.Front().item)
	}
}

// What a report cannot show yet is not asked for. An adapter whose model has to be
// loaded first was once asked about all the while.
func TestNextPollWaitsUntilReportCanShowProgress(t *testing.T) {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {LoadFor: 2 * time.Second}}
	model, adapter := conf.Item{Model: "m"}, conf.Item{Model: "m", Adapter: "a"}
	const late = 100 * time.Millisecond
	for name, c := range map[string]struct {
		item  conf.Item
		phase phase
		there bool // the model is
		after time.Duration
	}{
		"a model's load":            {model, phaseAwaitLoaded, false, 1800 * time.Millisecond},
		"an adapter's, model there": {adapter, phaseAwaitLoaded, true, late},
		"an adapter's, model first": {adapter, phaseAwaitLoaded, false, 1800 * time.Millisecond},
		"an unload":                 {model, phaseAwaitUnloaded, false, late},
		"leave of the store":        {model, phaseAwaitGrant, false, -time.Minute},
	} {
		ctl := &Controller{d: Deps{Clock: &fakeClock{time.Minute}, Conf: func() conf.Effective { return cfg }}, entries: map[conf.Item]*entry{},
			traits: backend.Traits{TellsBusy: true}, delay: reportDelay{shortest: late}}
		if c.there {
			ctl.entries[model] = &entry{Entry: Entry{State: backend.Loaded}}
		}
		ctl.tasks.PushBack(&task{item: c.item, phase: c.phase, phaseSince: time.Minute})
		if got := ctl.nextProgressAt() - time.Minute; got != c.after {
			t.Errorf("%s: after %v, want %v", name, got, c.after)
		}
	}
}

// What takes long is looked at less often the longer it has taken, and is never seen later than by a small part of
// that. A load was once looked at 25 times a second from when it might be done.
func TestPollIntervalGrowsWithTaskDuration(t *testing.T) {
	const step = 40 * time.Millisecond
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {LoadFor: 2 * time.Second}}
	for name, c := range map[string]struct {
		phase phase
		took  time.Duration
		most  int // looks
	}{
		"a load that is done in time": {phaseAwaitLoaded, 2 * time.Second, 4},
		"a load that takes longer":    {phaseAwaitLoaded, 4 * time.Second, 30},
		"one that takes very long":    {phaseAwaitLoaded, 20 * time.Second, 85},
		"an unload at once":           {phaseAwaitUnloaded, 50 * time.Millisecond, 3},
		"an unload that takes longer": {phaseAwaitUnloaded, 4 * time.Second, 75},
	} {
		clk := &fakeClock{time.Minute}
		ctl := &Controller{d: Deps{Clock: clk, Conf: func() conf.Effective { return cfg }}, entries: map[conf.Item]*entry{}, traits: backend.Traits{TellsBusy: true}}
		ctl.tasks.PushBack(&task{item: modelItem("m"), phase: c.phase, phaseSince: clk.now})
		looks, seen := 0, time.Duration(0)
		for ; seen < c.took; clk.now += step {
			if ctl.nextProgressAt() > clk.now {
				continue
			}
			ctl.polledAt, seen = clk.now, clk.now-time.Minute
			looks++
		}
		if late := seen - c.took; late > step+c.took/pollBackoffDivisor {
			t.Errorf("%s: seen %v late", name, late)
		}
		if looks > c.most {
			t.Errorf("%s: looked at %d times, want at most %d", name, looks, c.most)
		}
	}
}

// With reports that are so late, few looks are in vain, and none is put off by more
// than a step; what took long once does not keep the next one waiting.
func TestReportDelayIsLearned(t *testing.T) {
	const step = 40 * time.Millisecond
	for _, late := range []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		var r reportDelay
		vain := 0
		for n := range 60 {
			at, looks := r.shortest, 1
			for ; at < late; at += step {
				looks++
			}
			if n >= 20 {
				vain += looks - 1
				if at-late > 2*step {
					t.Errorf("reports late by %v: seen after %v", late, at)
				}
			}
			r.observe(looks, at, step)
		}
		if vain > 50 {
			t.Errorf("reports late by %v: %d looks in vain in 40 loads", late, vain)
		}
	}
	r := reportDelay{shortest: 100 * time.Millisecond}
	r.observe(50, 2*time.Second, step)
	if r.shortest > 100*time.Millisecond+step {
		t.Errorf("after a long one it is %v", r.shortest)
	}
}
