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

type clock struct{ now time.Duration }

func (c *clock) Since() time.Duration { return c.now }
func (c *clock) Wall() time.Time      { return time.Time{} }

// What is told of a load on its way stays where it is in time. It was once told
// as so many ms from whenever the status came, and moved on with every status.
func TestWhatIsExpectedStandsStill(t *testing.T) {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {LoadFor: 2 * time.Second}, "n": {LoadFor: 3 * time.Second}}
	c := &clock{time.Minute}
	ctl := &Controller{d: Deps{Clock: c, Conf: func() conf.Effective { return cfg }}}
	front := &task{item: conf.Item{Model: "m"}, phase: grant, wait: 4 * time.Second}
	ctl.tasks.PushBack(front)
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}})
	first := ctl.expect()
	ctl.etas = first
	want := map[string]time.Duration{"m": time.Minute + 6*time.Second, "n": time.Minute + 9500*time.Millisecond}
	same := func(when string) {
		t.Helper()
		ctl.etas = ctl.expect()
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
		front.wait = max(0, front.wait-200*time.Millisecond)
		same("while it waits")
	}
	front.phase, front.since = loaded, c.now
	for range 8 {
		c.now += 200 * time.Millisecond
		same("while it is loaded")
	}
	// Somebody dearer came first.
	front.phase, front.wait = grant, 5*time.Second
	ctl.etas = ctl.expect()
	if later := ctl.etas["m"]; later != c.now+7*time.Second {
		t.Errorf("it is expected at %v, want %v", later, c.now+7*time.Second)
	}
}

// The dearest load goes first, unless what is in front has begun, or it needs the
// room that another's victims will leave over; and what it is worth follows who asks.
func TestTheDearestLoadOfAReplicaGoesFirst(t *testing.T) {
	c := &clock{time.Minute}
	asked := map[string]float64{"m": 10, "n": 1, "o": 40}
	ctl := &Controller{d: Deps{Clock: c, Conf: conf.Empty, Requests: func(it string) float64 { return asked[it] }}, book: map[conf.Item]*line{}}
	ctl.report.CapacityMib = 100
	put := func(item, state string, mib int) {
		ctl.book[conf.Item{Model: item}] = &line{Line: Line{State: state, SizeMib: mib}}
	}
	put("old", Leaving, 80)
	put("n", Reserved, 30)
	put("m", Reserved, 20)
	put("o", Reserved, 40)
	// n's victim leaves room over for o; m fits as it is.
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}, cost: time.Second, begun: c.now, victims: []conf.Item{{Model: "old"}}})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "o"}, cost: time.Second, begun: c.now})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "m"}, cost: time.Second, begun: c.now})
	first := func(want string) {
		t.Helper()
		ctl.dearestFirst(c.now)
		if got := ctl.tasks.Front().item.Model; got != want {
			t.Errorf("%s goes first, want %s", got, want)
		}
	}
	first("m")
	asked["m"], asked["n"] = 1, 30 // others have begun to ask
	first("n")
	ctl.tasks.Front().phase = gone // it moves things
	asked["m"] = 90
	first("n")
	delete(ctl.book, conf.Item{Model: "old"})
	ctl.tasks.Front().phase = grant
	first("m")
	asked["m"] = 20 // o is worth more and there is room now
	first("o")
	asked["m"] = 45 // not by enough to change
	first("o")
	// n's room is made; m would take it, and the room that m and o count on is not there yet. Nor does o hold n up.
	put("older", Leaving, 60)
	asked["m"] = 400
	first("n")
}

// A load is given up whose victims would have left room for another: that one goes
// with it, and those that have their own room stay.
func TestWhoCountedOnAnothersVictimsGoesWithIt(t *testing.T) {
	g := run.NewGroup(t.Context())
	g.Stop()
	c := &clock{time.Minute}
	ctl := &Controller{d: Deps{Clock: c, Group: g, Log: ring.New(io.Discard, 9).Logger(), Conf: conf.Empty, Owner: owner.New(owner.Deps{Group: g, Clock: c})}, book: map[conf.Item]*line{}, known: true}
	ctl.report.CapacityMib = 100
	put := func(item, state string, mib int) {
		ctl.book[conf.Item{Model: item}] = &line{Line: Line{State: state, SizeMib: mib}}
	}
	put("old", Leaving, 70)
	put("m", Reserved, 30)
	put("n", Reserved, 30)
	put("o", Reserved, 30)
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "m"}, victims: []conf.Item{{Model: "old"}}})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "n"}})
	ctl.tasks.PushBack(&task{item: conf.Item{Model: "o"}})
	ctl.giveUp(0, "the store had no room")
	if ctl.tasks.Len() != 1 || ctl.tasks.Front().item.Model != "n" || ctl.book[conf.Item{Model: "o"}] != nil || ctl.book[conf.Item{Model: "old"}].State != backend.Loaded {
		t.Errorf("%d loads are left, the first for %v", ctl.tasks.Len(), ctl.tasks.Front().item)
	}
}

// What a report cannot show yet is not asked for. An adapter whose model has to be
// loaded first was once asked about all the while.
func TestReportsAreAskedForWhenTheyMayShowSomething(t *testing.T) {
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
		"a model's load":            {model, loaded, false, 1800 * time.Millisecond},
		"an adapter's, model there": {adapter, loaded, true, late},
		"an adapter's, model first": {adapter, loaded, false, 1800 * time.Millisecond},
		"an unload":                 {model, gone, false, late},
		"leave of the store":        {model, grant, false, -time.Minute},
	} {
		ctl := &Controller{d: Deps{Clock: &clock{time.Minute}, Conf: func() conf.Effective { return cfg }}, book: map[conf.Item]*line{},
			traits: backend.Traits{TellsBusy: true}, delay: reportDelay{least: late}}
		if c.there {
			ctl.book[model] = &line{Line: Line{State: backend.Loaded}}
		}
		ctl.tasks.PushBack(&task{item: c.item, phase: c.phase, since: time.Minute})
		if got := ctl.expects() - time.Minute; got != c.after {
			t.Errorf("%s: after %v, want %v", name, got, c.after)
		}
	}
}

// What takes long is looked at less often the longer it has taken, and is never seen later than by a small part of
// that. A load was once looked at 25 times a second from when it might be done.
func TestWhatTakesLongIsLookedAtLessOften(t *testing.T) {
	const step = 40 * time.Millisecond
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"m": {LoadFor: 2 * time.Second}}
	for name, c := range map[string]struct {
		phase phase
		took  time.Duration
		most  int // looks
	}{
		"a load that is done in time": {loaded, 2 * time.Second, 4},
		"a load that takes longer":    {loaded, 4 * time.Second, 30},
		"one that takes very long":    {loaded, 20 * time.Second, 85},
		"an unload at once":           {gone, 50 * time.Millisecond, 3},
		"an unload that takes longer": {gone, 4 * time.Second, 75},
	} {
		clk := &clock{time.Minute}
		ctl := &Controller{d: Deps{Clock: clk, Conf: func() conf.Effective { return cfg }}, book: map[conf.Item]*line{}, traits: backend.Traits{TellsBusy: true}}
		ctl.tasks.PushBack(&task{item: model("m"), phase: c.phase, since: clk.now})
		looks, seen := 0, time.Duration(0)
		for ; seen < c.took; clk.now += step {
			if ctl.expects() > clk.now {
				continue
			}
			ctl.lookedAt, seen = clk.now, clk.now-time.Minute
			looks++
		}
		if late := seen - c.took; late > step+c.took/lookPart {
			t.Errorf("%s: seen %v late", name, late)
		}
		if looks > c.most {
			t.Errorf("%s: looked at %d times, want at most %d", name, looks, c.most)
		}
	}
}

// With reports that are so late, few looks are in vain, and none is put off by more
// than a step; what took long once does not keep the next one waiting.
func TestHowLateReportsAreIsLearned(t *testing.T) {
	const step = 40 * time.Millisecond
	for _, late := range []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		var r reportDelay
		vain := 0
		for n := range 60 {
			at, looks := r.least, 1
			for ; at < late; at += step {
				looks++
			}
			if n >= 20 {
				vain += looks - 1
				if at-late > 2*step {
					t.Errorf("reports late by %v: seen after %v", late, at)
				}
			}
			r.learn(looks, at, step)
		}
		if vain > 50 {
			t.Errorf("reports late by %v: %d looks in vain in 40 loads", late, vain)
		}
	}
	r := reportDelay{least: 100 * time.Millisecond}
	r.learn(50, 2*time.Second, step)
	if r.least > 100*time.Millisecond+step {
		t.Errorf("after a long one it is %v", r.least)
	}
}
