package proxy

import (
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/feed"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/route"
	"drumstall.example/internal/state"
)

// A proxy sends deltas only against the report that its agent says it holds, and the whole
// report as soon as the agent has lost that one.
func TestReportBaseFollowsAgent(t *testing.T) {
	reportOf := func(serial uint64) report.Report { return report.Report{Boot: "b", Version: serial} }
	for name, c := range map[string]struct {
		base, sent, holds uint64
		want              uint64 // version of the new base
		dueNow            bool   // the next report is due at once
	}{
		"first, accepted":                      {0, 1, 1, 1, false},
		"first, agent accepts whole ones only": {0, 1, 0, 0, false},
		"next, accepted":                       {1, 2, 2, 2, false},
		"next, not accepted":                   {1, 2, 0, 0, true},
		"none sent, still held":                {1, 0, 1, 1, false},
		"none sent, lost":                      {1, 0, 0, 0, true},
		"none sent, a different one held":      {3, 0, 2, 0, true},
		"none sent, one of a previous proxy":   {0, 0, 9, 0, false},
		"next, an earlier one held instead":    {1, 3, 2, 0, true},
	} {
		f := feedState{base: reportOf(c.base), reportedAt: time.Second}
		if got := f.delta(reportOf(7)).Base; got != c.base {
			t.Errorf("%s: delta sent against base %d", name, got)
		}
		sent := report.Report{}
		if c.sent != 0 {
			sent = reportOf(c.sent)
		}
		f.updateBase(sent, c.holds)
		if f.base.Version != c.want || (f.reportedAt == 0) != c.dueNow {
			t.Errorf("%s: new base %d, due at once %v", name, f.base.Version, f.reportedAt == 0)
		}
	}
}

// Guards against a proxy without waiting requests applying a steady flow of updates as often as one whose requests
// wait for them: in a large fleet this took a good part of the processor time.
func TestFeedIntervalIsShorterWhileRequestsWait(t *testing.T) {
	idle, waited := busyInterval(nil), busyInterval(map[string]int{"m": 1})
	if idle < 2*waited {
		t.Errorf("exchanges are %v apart without waiting requests, %v with some", idle, waited)
	}
	if idle < feedBusyWindow {
		t.Errorf("a gap of %v combines no more updates than no gap would", idle)
	}
}

// Guards against a proxy that serves as soon as it has received the configuration, while its table is still empty.
func TestProxyServesOnlyFromACurrentTable(t *testing.T) {
	stamp := func(version uint64) state.Stamp { return state.Stamp{Epoch: 1, Version: version} }
	for name, c := range map[string]struct {
		agent feed.Reply
		table route.Snapshot
		want  bool
	}{
		"the table was built from it":            {feed.Reply{Confirmed: true, Conf: stamp(4)}, route.Snapshot{Serial: 2, Stamp: stamp(4)}, true},
		"the table was built from a newer one":   {feed.Reply{Confirmed: true, Conf: stamp(4)}, route.Snapshot{Serial: 3, Stamp: stamp(5)}, true},
		"the table is older":                     {feed.Reply{Confirmed: true, Conf: stamp(4)}, route.Snapshot{Serial: 1, Stamp: stamp(3)}, false},
		"the table is empty":                     {feed.Reply{Confirmed: true, Conf: stamp(4)}, route.Snapshot{}, false},
		"there is no configuration yet":          {feed.Reply{Confirmed: true}, route.Snapshot{}, false},
		"the agent does not have the latest yet": {feed.Reply{Conf: stamp(4)}, route.Snapshot{Serial: 2, Stamp: stamp(4)}, false},
	} {
		if got := isTableCurrent(c.agent, &c.table); got != c.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// Guards against edges that acknowledge the status of every replica although no controller waits for it: in a large
// fleet this was most of the report traffic to the cores.
func TestStatusIsNotAcknowledgedWhenReplicasDrainOnUnload(t *testing.T) {
	versions := map[string]state.Stamp{"m-1": {Epoch: 1, Version: 2}}
	if got := acknowledgedStatuses(backend.Traits{DrainsBeforeUnload: true}, versions); len(got) > 0 {
		t.Errorf("acknowledged needlessly: %v", got)
	}
	if got := acknowledgedStatuses(backend.Traits{}, versions); len(got) != 1 {
		t.Errorf("controllers waiting for acknowledgements get %v", got)
	}
}
