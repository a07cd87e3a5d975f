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
	// wholeRate is how many bytes a second whole reports may cost for one core, and wholeLatest how
	// long they are put off for that. Why: in a large fleet a report is tens of KB, for each core.
	wholeRate   = 100
	wholeLatest = time.Minute
)

// reports is what the cores have of this agent, by their addresses; it is used on
// the actor of the reports only.
type reports struct {
	taken map[string]takenReport
}

// takenReport is the newest report that a core has taken.
type takenReport struct {
	report   report.Report
	wholeAt  time.Duration // when it was last given a whole one
	wholeLen int           // bytes of that one
	inflight bool          // it reads what is in flight as a difference too
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
		whole int // bytes of the whole report that it was given; 0 is none
		// inflight says that the core reads what is in flight as a difference.
		inflight bool
	}
	cores := a.members.Live(member.RoleCore)
	bodies := a.reports.bodies(l.r, cores, now)
	ch := run.Fan(a.group, len(cores), func(ctx context.Context, i int) answer {
		got, err := a.tellReport(ctx, cores[i].Addr, bodies[i].packed)
		whole := 0
		if bodies[i].whole {
			whole = len(bodies[i].packed)
		}
		if err == nil && got.Whole {
			packed := wire.Pack(l.r)
			whole = len(packed)
			got, err = a.tellReport(ctx, cores[i].Addr, packed)
		}
		return answer{core: i, taken: err == nil && !got.Whole && got.Differences, whole: whole, inflight: got.InflightDifferences}
	})
	taken := make(map[string]takenReport, len(cores))
	for range cores {
		got := <-ch
		addr := cores[got.core].Addr
		before := a.reports.taken[addr]
		switch {
		case !got.taken:
			continue // Why: whether the core has it, or can read differences, is not known; the whole one settles that.
		case got.whole > 0:
			before.wholeAt, before.wholeLen = now, got.whole
		}
		before.report, before.inflight = l.r, got.inflight
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

// wholeGap is how long after a whole report of some bytes the next is due.
func wholeGap(bytes int) time.Duration {
	return min(max(wholeEvery, time.Duration(bytes)*time.Second/wholeRate), wholeLatest)
}

// variant is a form of a report: whole, or the difference from the one of a version.
type variant struct {
	version  uint64 // 0 is the whole report
	inflight bool   // what is in flight is a difference too
}

// bodies packs a report for each core, once for all that are sent the same form of it.
func (r *reports) bodies(latest report.Report, cores []member.Node, now time.Duration) []body {
	packed := map[variant]cbor.RawMessage{}
	out := make([]body, len(cores))
	for i, c := range cores {
		base, found := r.taken[c.Addr]
		if !found || base.report.Boot != latest.Boot || now-base.wholeAt > wholeGap(base.wholeLen) {
			base = takenReport{}
		}
		form := variant{version: base.report.Version, inflight: base.inflight}
		if _, done := packed[form]; !done {
			packed[form] = pack(latest, base)
		}
		out[i] = body{packed: packed[form], whole: form.version == 0}
	}
	return out
}

// pack packs a report for a core that has another, or none.
func pack(latest report.Report, base takenReport) cbor.RawMessage {
	switch {
	case base.report.Version == 0:
		return wire.Pack(latest)
	case base.inflight:
		return wire.Pack(latest.SinceInflight(base.report))
	}
	return wire.Pack(latest.Since(base.report))
}
