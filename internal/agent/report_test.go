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

// Each core gets the difference from its acknowledged report, or a full report if it has
// none, one of another proxy boot, or its last full report is too old.
func TestEachCoreGetsDiffFromItsAckedReport(t *testing.T) {
	cores := []member.Node{{Addr: "new"}, {Addr: "current"}, {Addr: "behind"}, {Addr: "other boot"}, {Addr: "long ago"}}
	first := report.Report{Agent: "e", Boot: "b", Version: 1, Demand: map[string]uint64{"m1": 1, "m2": 1}}
	second := report.Report{Agent: "e", Boot: "b", Version: 2, Demand: map[string]uint64{"m1": 2, "m2": 1}}
	latest := report.Report{Agent: "e", Boot: "b", Version: 3, Demand: map[string]uint64{"m1": 2, "m2": 2}}
	now := time.Hour
	r := coreReports{acked: map[string]ackedReport{
		"current":    {report: second, fullAt: now - time.Second},
		"behind":     {report: first, fullAt: now - time.Second},
		"other boot": {report: report.Report{Agent: "e", Boot: "a", Version: 2}, fullAt: now},
		"long ago":   {report: second, fullAt: now - fullReportInterval - 1},
	}}
	got := r.encodeAll(latest, cores, "", now)
	for i, want := range []struct{ base, items int }{{0, 2}, {2, 1}, {1, 2}, {0, 2}, {0, 2}} {
		d := decode(t, got[i])
		if int(d.Base) != want.base || len(d.Demand) != want.items || got[i].whole != (want.base == 0) {
			t.Errorf("%s: base %d, %d items, full %t; want %+v", cores[i].Addr, d.Base, len(d.Demand), got[i].whole, want)
		}
	}
}

// In-flight counts are sent as a difference only to cores that support it; other cores get
// them in full within the difference.
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
		since   bool
		entries int
	}{{true, 1}, {false, 10}, {false, 10}} {
		d := decode(t, got[i])
		if d.InflightIsDelta != want.since || len(d.Inflight) != want.entries {
			t.Errorf("%s: in-flight difference %t with %d entries; want %+v", cores[i].Addr, d.InflightIsDelta, len(d.Inflight), want)
		}
	}
}

// Small full reports are sent every fullReportInterval; larger ones less often, but at least
// once a minute.
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
			t.Errorf("%d bytes, %v ago: full report %t", c.bytes, c.after, got.whole)
		}
	}
}

// A core gets no further report while one is in flight, and the newest afterwards if one became due.
func TestOneReportInFlightPerCore(t *testing.T) {
	cores := []member.Node{{Addr: "1"}, {Addr: "2"}}
	var r coreReports
	if got := r.reserve(cores); len(got) != 2 {
		t.Fatalf("%d cores get the first report, want 2", len(got))
	}
	if again := r.release("1"); again {
		t.Error("another report is due although nothing changed")
	}
	if got := r.reserve(cores); len(got) != 1 || got[0].Addr != "1" {
		t.Errorf("reports go to %+v while one to core 2 is in flight", got)
	}
	if again := r.release("2"); !again {
		t.Error("no further report is due for a core that was skipped")
	}
	if got := r.reserve(cores[1:]); len(got) != 1 {
		t.Error("a core that has answered gets no report")
	}
	if again := r.release("2"); again {
		t.Error("another report is due although nothing changed")
	}
}
