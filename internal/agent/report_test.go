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
	first := report.Report{Agent: "e", Boot: "b", Version: 1, Demand: map[string]uint64{"m1": 1, "m2": 1}}
	second := report.Report{Agent: "e", Boot: "b", Version: 2, Demand: map[string]uint64{"m1": 2, "m2": 1}}
	latest := report.Report{Agent: "e", Boot: "b", Version: 3, Demand: map[string]uint64{"m1": 2, "m2": 2}}
	now := time.Hour
	r := reports{taken: map[string]takenReport{
		"current":    {report: second, wholeAt: now - time.Second},
		"behind":     {report: first, wholeAt: now - time.Second},
		"other life": {report: report.Report{Agent: "e", Boot: "a", Version: 2}, wholeAt: now},
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
