package agent

import (
	"testing"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/place/report"
)

func unpacked(t *testing.T, b body) report.Report {
	t.Helper()
	var r report.Report
	if err := wire.Unpack(b.packed, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// Each core gets the difference from what it has taken, and the whole report where
// that is nothing, of another life of the proxy, or long ago.
func TestWhatEachCoreIsSent(t *testing.T) {
	cores := []member.Node{{Addr: "new"}, {Addr: "current"}, {Addr: "behind"}, {Addr: "other life"}, {Addr: "long ago"}}
	first := report.Report{Agent: "e", Boot: "b", Serial: 1, Demand: map[string]uint64{"m1": 1, "m2": 1}}
	second := report.Report{Agent: "e", Boot: "b", Serial: 2, Demand: map[string]uint64{"m1": 2, "m2": 1}}
	latest := report.Report{Agent: "e", Boot: "b", Serial: 3, Demand: map[string]uint64{"m1": 2, "m2": 2}}
	now := time.Hour
	r := reports{taken: map[string]takenReport{
		"current":    {report: second, wholeAt: now - time.Second},
		"behind":     {report: first, wholeAt: now - time.Second},
		"other life": {report: report.Report{Agent: "e", Boot: "a", Serial: 2}, wholeAt: now},
		"long ago":   {report: second, wholeAt: now - wholeEvery - 1},
	}}
	got := r.bodies(latest, cores, now)
	for i, want := range []struct{ base, items int }{{0, 2}, {2, 1}, {1, 2}, {0, 2}, {0, 2}} {
		d := unpacked(t, got[i])
		if int(d.Base) != want.base || len(d.Demand) != want.items || got[i].whole != (want.base == 0) {
			t.Errorf("%s: from %d with %d items, whole %t; want %+v", cores[i].Addr, d.Base, len(d.Demand), got[i].whole, want)
		}
	}
}

// In a large fleet each core is told with every second beat, and some core with each.
func TestEachCoreIsToldWithEverySecondBeat(t *testing.T) {
	for n := range 7 {
		var cores []member.Node
		for i := range n {
			cores = append(cores, member.Node{Addr: string(rune('a' + i))})
		}
		told, want := map[string]int{}, 5
		if n == 1 {
			want = 10
		}
		for beat := range 10 {
			now := everySecond(cores, beat)
			if n > 0 && len(now) == 0 {
				t.Errorf("%d cores, beat %d: none is told", n, beat)
			}
			for _, c := range now {
				told[c.Addr]++
			}
		}
		for _, c := range cores {
			if told[c.Addr] != want {
				t.Errorf("%d cores: %s was told %d times in 10 beats", n, c.Addr, told[c.Addr])
			}
		}
	}
}

// What a core would act on goes to all cores with the next beat.
func TestAReportIsCalmWhileWhatWaitsIsAsTold(t *testing.T) {
	told := report.Report{Boot: "b", Serial: 1, Waiting: map[string]int{"m": 1}, Pressed: map[string]int{"p": 2}, Demand: map[string]uint64{"m": 1}}
	r := reports{told: told}
	for name, c := range map[string]struct {
		change func(*report.Report)
		calm   bool
	}{
		"same":           {func(*report.Report) {}, true},
		"more demand":    {func(r *report.Report) { r.Demand = map[string]uint64{"m": 9} }, true},
		"more waits":     {func(r *report.Report) { r.Waiting = map[string]int{"m": 2} }, false},
		"nothing waits":  {func(r *report.Report) { r.Waiting = nil }, false},
		"another waits":  {func(r *report.Report) { r.Waiting = map[string]int{"n": 1} }, false},
		"more pressed":   {func(r *report.Report) { r.Pressed = map[string]int{"p": 3} }, false},
		"another's life": {func(r *report.Report) { r.Boot = "c" }, false},
	} {
		latest := told
		latest.Serial++
		c.change(&latest)
		if r.calm(latest) != c.calm {
			t.Errorf("%s: calm is %t", name, !c.calm)
		}
	}
}

// A core that was not told with a beat is told the next difference from what it has;
// one that did not answer, or was away, is given the whole report.
func TestWhatACoreHasIsKeptWhileOthersAreTold(t *testing.T) {
	r := reports{taken: map[string]takenReport{}}
	first, second := report.Report{Boot: "b", Serial: 1}, report.Report{Boot: "b", Serial: 2}
	for _, addr := range []string{"a", "b", "c"} {
		r.note(addr, first, true, true, time.Second)
	}
	r.note("a", second, true, false, 2*time.Second)
	r.note("c", second, false, false, 2*time.Second)
	r.keepOnly([]member.Node{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}})
	if a, b := r.taken["a"], r.taken["b"]; a.report.Serial != 2 || a.wholeAt != time.Second || b.report.Serial != 1 {
		t.Errorf("a has %+v, b has %+v", a, b)
	}
	if _, known := r.taken["c"]; known {
		t.Error("c counts as having a report that it did not answer for")
	}
	r.keepOnly([]member.Node{{Addr: "a"}})
	if len(r.taken) != 1 {
		t.Errorf("kept: %v", r.taken)
	}
}
