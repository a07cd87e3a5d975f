package order

import (
	"slices"
	"testing"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/place/report"
)

// idleNames returns the names of the possible victims among the models of a replica.
func idleNames(ctl *Controller, cfg conf.Effective) []string {
	order, _, _ := ctl.idleItems(cfg, conf.Item{Model: "wanted"}, false)
	var out []string
	for _, v := range order {
		out = append(out, v.Item)
	}
	slices.Sort(out)
	return out
}

// A copy that was just loaded, and a copy of a contended model, must not become a victim. It would be unloaded
// for a single request before the requests that it was loaded for arrive.
func TestFreshOrContendedItemIsNotIdle(t *testing.T) {
	cfg := conf.Empty()
	cfg.Models = map[string]conf.Model{"fresh": {}, "pressed": {}, "used": {}, "old": {}}
	c := &fakeClock{time.Minute}
	reports := report.NewTable()
	ctl := &Controller{d: Deps{Clock: c, Reports: reports, Statuses: func() Statuses { return Statuses{} }, PredictedRequests: func(string) float64 { return 0 }}, entries: map[conf.Item]*entry{}}
	for name := range cfg.Models {
		ctl.entries[conf.Item{Model: name}] = &entry{Entry: Entry{State: backend.Loaded, SizeMib: 10}, lastUsed: 10 * time.Second}
	}
	ctl.entries[conf.Item{Model: "fresh"}].loadedAt = c.now - 200*time.Millisecond
	used := ctl.entries[conf.Item{Model: "used"}]
	used.loadedAt, used.lastUsed = c.now-200*time.Millisecond, c.now-100*time.Millisecond
	reports.Put(report.Report{Agent: "e", Boot: "b", Version: 1, Contended: map[string]int{"pressed": minContendedRequests, "old": minContendedRequests - 1}}, c.now)
	if got := idleNames(ctl, cfg); !slices.Equal(got, []string{"old", "used"}) {
		t.Errorf("possible victims: %v, want old and used", got)
	}
	c.now += firstUseGrace
	if got := idleNames(ctl, cfg); !slices.Equal(got, []string{"fresh", "old", "used"}) {
		t.Errorf("after the grace period: %v, want fresh, old and used", got)
	}
	c.now += report.FreshFor
	if got := idleNames(ctl, cfg); len(got) != 4 {
		t.Errorf("without contention: %v, want all", got)
	}
}
