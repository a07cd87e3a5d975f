package agent

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/place/report"
)

const (
	reportPath = "/place/report"
	// reportLasts is how old a report may be that is passed on.
	reportLasts = 2 * time.Second
	// wholeEvery is how often a core is given the whole report though it has what it needs.
	// Why: whatever went wrong with the differences ends there.
	wholeEvery = 10 * time.Second
)

// reports is what the cores have of this agent, by their addresses; it is used on
// the desk of the reports only.
type reports struct {
	taken map[string]takenReport
}

// takenReport is the newest report that a core has taken.
type takenReport struct {
	report  report.Report
	wholeAt time.Duration // when it was last given a whole one
}

// report passes the proxy's report to every core, as the difference from what
// the core has of it.
func (a *Agent) report(ctx context.Context) {
	now := a.env.Clock.Since()
	l := a.latest.Load()
	if l == nil || now-l.at > reportLasts {
		return
	}
	type answer struct {
		core  int // whose it is, as an index of cores
		taken bool
		whole bool // it was given the whole report
	}
	cores := a.members.Live(member.RoleCore)
	bodies := a.reports.bodies(l.r, cores, now)
	ch := run.Fan(a.group, len(cores), func(ctx context.Context, i int) answer {
		got, err := a.tellReport(ctx, cores[i].Addr, bodies[i].packed)
		whole := bodies[i].whole
		if err == nil && got.Whole {
			whole = true
			got, err = a.tellReport(ctx, cores[i].Addr, wire.Pack(l.r))
		}
		return answer{core: i, taken: err == nil && !got.Whole && got.Differences, whole: whole}
	})
	taken := make(map[string]takenReport, len(cores))
	for range cores {
		got := <-ch
		addr := cores[got.core].Addr
		before := a.reports.taken[addr]
		switch {
		case !got.taken:
			continue // Why: whether the core has it, or can read differences, is not known; the whole one settles that.
		case got.whole:
			before.wholeAt = now
		}
		before.report = l.r
		taken[addr] = before
	}
	a.reports.taken = taken
}

// tellReport sends a packed report to one core.
func (a *Agent) tellReport(ctx context.Context, addr string, packed cbor.RawMessage) (report.Taken, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := a.env.Clock.Since()
	got, err := wire.Call[cbor.RawMessage, report.Taken](ctx, a.caller, addr, reportPath, packed)
	if err == nil {
		a.touch.Told(asked, got.Touch)
	}
	return got, err
}

// body is a report as one core is sent it.
type body struct {
	packed cbor.RawMessage
	whole  bool
}

// bodies packs a report for each core, once for all that have the same of it.
func (r *reports) bodies(latest report.Report, cores []member.Node, now time.Duration) []body {
	packed := map[uint64]cbor.RawMessage{}
	out := make([]body, len(cores))
	for i, c := range cores {
		base, found := r.taken[c.Addr]
		if !found || base.report.Boot != latest.Boot || now-base.wholeAt > wholeEvery {
			base = takenReport{}
		}
		version := base.report.Version
		if _, done := packed[version]; !done {
			if version == 0 {
				packed[version] = wire.Pack(latest)
			} else {
				packed[version] = wire.Pack(latest.Since(base.report))
			}
		}
		out[i] = body{packed: packed[version], whole: version == 0}
	}
	return out
}
