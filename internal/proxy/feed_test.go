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

// A proxy sends differences only from what its agent says it holds, and the whole
// report as soon as the agent has lost that.
func TestReportBaseFollowsAgent(t *testing.T) {
	at := func(serial uint64) report.Report { return report.Report{Boot: "b", Version: serial} }
	for name, c := range map[string]struct {
		base, sent, holds uint64
		want              uint64 // the base from then on
		again             bool   // a report is due at once
	}{
		"first, taken":                         {0, 1, 1, 1, false},
		"first, by one that takes whole ones":  {0, 1, 0, 0, false},
		"next, taken":                          {1, 2, 2, 2, false},
		"next, not taken":                      {1, 2, 0, 0, true},
		"none sent, still held":                {1, 0, 1, 1, false},
		"none sent, lost":                      {1, 0, 0, 0, true},
		"none sent, another held":              {3, 0, 2, 0, true},
		"none sent, of an earlier proxy's":     {0, 0, 9, 0, false},
		"next, an earlier one is held instead": {1, 3, 2, 0, true},
	} {
		f := feedState{base: at(c.base), reportedAt: time.Second}
		if got := f.delta(at(7)).Base; got != c.base {
			t.Errorf("%s: sent from %d", name, got)
		}
		sent := report.Report{}
		if c.sent != 0 {
			sent = at(c.sent)
		}
		f.updateBase(sent, c.holds)
		if f.base.Version != c.want || (f.reportedAt == 0) != c.again {
			t.Errorf("%s: base %d, due at once %v", name, f.base.Version, f.reportedAt == 0)
		}
	}
}

// Where much is new all the time, a proxy at which nobody waits once took it in as often as one at which
// requests wait for what the news may tell of; that was a good part of a large fleet's processor time.
func TestFeedIntervalIsShorterWhileRequestsWait(t *testing.T) {
	idle, waited := busyInterval(nil), busyInterval(map[string]int{"m": 1})
	if idle < 2*waited {
		t.Errorf("exchanges are %v apart with nobody waiting, %v with somebody", idle, waited)
	}
	if idle < feedBusyWindow {
		t.Errorf("a gap of %v lets no more come together than without one", idle)
	}
}

// A proxy once served as soon as the document had come, by a table that was still empty.
func TestProxyServesOnlyFromACurrentTable(t *testing.T) {
	stamp := func(version uint64) state.Stamp { return state.Stamp{Epoch: 1, Version: version} }
	for name, c := range map[string]struct {
		agent feed.Down
		table route.Snapshot
		want  bool
	}{
		"the table is made from it":              {feed.Down{Confirmed: true, Conf: stamp(4)}, route.Snapshot{Serial: 2, Stamp: stamp(4)}, true},
		"the table is made from a newer one":     {feed.Down{Confirmed: true, Conf: stamp(4)}, route.Snapshot{Serial: 3, Stamp: stamp(5)}, true},
		"the table is older":                     {feed.Down{Confirmed: true, Conf: stamp(4)}, route.Snapshot{Serial: 1, Stamp: stamp(3)}, false},
		"the table is empty":                     {feed.Down{Confirmed: true, Conf: stamp(4)}, route.Snapshot{}, false},
		"there is no configuration yet":          {feed.Down{Confirmed: true}, route.Snapshot{}, false},
		"the agent does not know the newest yet": {feed.Down{Conf: stamp(4)}, route.Snapshot{Serial: 2, Stamp: stamp(4)}, false},
	} {
		if got := isTableCurrent(c.agent, &c.table); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Edges once told the status of every replica that they had in force where no controller waits for it: in a large fleet
// that was most of what cores were told.
func TestStatusIsNotAcknowledgedWhenReplicasDrainOnUnload(t *testing.T) {
	inForce := map[string]state.Stamp{"m-1": {Epoch: 1, Version: 2}}
	if got := acknowledgedStatuses(backend.Traits{WaitsForRuns: true}, inForce); len(got) > 0 {
		t.Errorf("told for nothing: %v", got)
	}
	if got := acknowledgedStatuses(backend.Traits{}, inForce); len(got) != 1 {
		t.Errorf("controllers that wait for it are told %v", got)
	}
}
