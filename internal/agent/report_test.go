package agent

import (
	"testing"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/place/report"
)

func decode(t *testing.T, b payload) report.Report {
	t.Helper()
	var r report.Report
	if err := wire.Unmarshal(b.packed, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// Each core gets the difference from what it has taken, and the whole report where
// that is nothing, of another life of the proxy, or long ago.
func TestEachCoreGetsDiffFromItsAckedReport(t *testing.T) {
	cores := []member.Node{{Addr: "new"}, {Addr: "current"}, {Addr: "behind"}, {Addr: "other life"}, {Addr: "long ago"}}
	first := report.Report{Agent: "e", Boot: "b", Version: 1, Demand: map[string]uint64{"m1": 1, "m2": 1}}
	second := report.Report{Agent: "e", Boot: "b", Version: 2, Demand: map[string]uint64{"m1": 2, "m2": 1}}
	latest := report.Report{Agent: "e", Boot: "b", Version: 3, Demand: map[string]uint64{"m1": 2, "m2": 2}}
	now := time.Hour
	r := coreReports{acked: map[string]ackedReport{
		"current":    {report: second, fullAt: now - time.Second},
		"behind":     {report: first, fullAt: now - time.Second},
		"other life": {report: report.Report{Agent: "e", Boot: "a", Version: 2}, fullAt: now},
		"long ago":   {report: second, fullAt: now - fullReportInterval - 1},
	}}
	got := r.encodeAll(latest, cores, "", now)
	for i, want := range []struct{ base, items int }{{0, 2}, {2, 1}, {1, 2}, {0, 2}, {0, 2}} {
		d := decode(t, got[i])
		if int(d.Base) != want.base || len(d.Demand) != want.items || got[i].whole != (want.base == 0) {
			t.Errorf("%s: from %d with %d items, whole %t; want %+v", cores[i].Addr, d.Base, len(d.Demand), got[i].whole, want)
		}
	}
}

// What is in flight goes as a difference only to cores that read it so; another
// gets it whole in the difference, as before.
func TestInflightDiffsGoOnlyToCoresThatSupportThem(t *testing.T) {
	flights := func(n int) map[string]map[string]int {
		out := map[string]map[string]int{}
		for i := range n {
			out[string(rune('a'+i))] = map[string]int{"m": 1}
		}
		return out
	}
	cores := []member.Node{{Addr: "reads"}, {Addr: "earlier version"}, {Addr: "new"}}
	first := report.Report{Agent: "e", Boot: "b", Version: 1, Inflight: flights(9)}
	latest := report.Report{Agent: "e", Boot: "b", Version: 2, Inflight: flights(10)}
	now := time.Hour
	r := coreReports{acked: map[string]ackedReport{
		"reads":           {report: first, fullAt: now, inflight: true},
		"earlier version": {report: first, fullAt: now},
	}}
	got := r.encodeAll(latest, cores, "", now)
	for i, want := range []struct {
		since bool
		told  int
	}{{true, 1}, {false, 10}, {false, 10}} {
		d := decode(t, got[i])
		if d.InflightIsDelta != want.since || len(d.Inflight) != want.told {
			t.Errorf("%s: difference %t with %d; want %+v", cores[i].Addr, d.InflightIsDelta, len(d.Inflight), want)
		}
	}
}

// Whole reports that are small go to a core as often as ever; large ones are put
// off, for a minute at most.
func TestLargeFullReportsAreSentLessOften(t *testing.T) {
	first := report.Report{Agent: "e", Boot: "b", Version: 1}
	latest := report.Report{Agent: "e", Boot: "b", Version: 2}
	now := time.Hour
	for _, c := range []struct {
		bytes int
		after time.Duration
		whole bool
	}{
		{300, fullReportInterval - time.Second, false},
		{300, fullReportInterval + time.Second, true},
		{3_000, 29 * time.Second, false},
		{3_000, 31 * time.Second, true},
		{85_000, 59 * time.Second, false},
		{85_000, 61 * time.Second, true},
	} {
		r := coreReports{acked: map[string]ackedReport{"core": {report: first, fullAt: now - c.after, fullLen: c.bytes}}}
		if got := r.encodeAll(latest, []member.Node{{Addr: "core"}}, "", now)[0]; got.whole != c.whole {
			t.Errorf("%d bytes, %v ago: whole %t", c.bytes, c.after, got.whole)
		}
	}
}

// A core that has not answered is told nothing more, and again once it has if there was more to tell.
func TestOneReportInFlightPerCore(t *testing.T) {
	cores := []member.Node{{Addr: "1"}, {Addr: "2"}}
	var r coreReports
	if got := r.reserve(cores); len(got) != 2 {
		t.Fatalf("%d cores are told at first", len(got))
	}
	if again := r.release("1"); again {
		t.Error("told again, with nothing new")
	}
	if got := r.reserve(cores); len(got) != 1 || got[0].Addr != "1" {
		t.Errorf("%+v are told while core 2 is silent", got)
	}
	if again := r.release("2"); !again {
		t.Error("a core that was passed over is not told again")
	}
	if got := r.reserve(cores[1:]); len(got) != 1 {
		t.Error("a core that has answered is told nothing")
	}
	if again := r.release("2"); again {
		t.Error("told once more")
	}
}
