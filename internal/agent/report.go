package agent

import (
	"context"
	"maps"
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
	// fewEdges is how many edges a fleet may have in which each tells every core with every beat.
	fewEdges = 24
)

// reports is what the cores have of this agent, by their addresses; it is used on
// the desk of the reports only.
type reports struct {
	taken map[string]takenReport
	// told is the newest report that was sent to all cores.
	told report.Report
	// beats counts the regular reports.
	beats int
}

// takenReport is the newest report that a core has taken.
type takenReport struct {
	report  report.Report
	wholeAt time.Duration // when it was last given a whole one
}

// reportOnBeat passes the proxy's report on as often as it is due.
func (a *Agent) reportOnBeat(ctx context.Context) {
	a.reports.beats++
	cores := a.members.Live(member.RoleCore)
	if l := a.latest.Load(); l != nil && len(a.members.Live(member.RoleAgent)) > fewEdges && a.reports.calm(l.r) {
		cores = everySecond(cores, a.reports.beats)
	}
	a.report(ctx, cores)
}

// reportNow passes the proxy's report on out of turn.
func (a *Agent) reportNow(ctx context.Context) { a.report(ctx, a.members.Live(member.RoleCore)) }

// calm says that a report brings nothing that a core would act on at once: what
// waits and what is pressed is as all cores were told.
func (r *reports) calm(latest report.Report) bool {
	return latest.Boot == r.told.Boot && maps.Equal(latest.Waiting, r.told.Waiting) && maps.Equal(latest.Pressed, r.told.Pressed)
}

// everySecond is the cores that are told with one beat of a large fleet; the others
// are told with the next. Why: with each beat some core is heard, by whose word the edge is in touch.
func everySecond(cores []member.Node, beat int) []member.Node {
	if len(cores) < 2 {
		return cores
	}
	var out []member.Node
	for i, c := range cores {
		if (i+beat)%2 == 0 {
			out = append(out, c)
		}
	}
	return out
}

// report passes the proxy's report to cores, to each as the difference from what
// it has of it.
func (a *Agent) report(ctx context.Context, cores []member.Node) {
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
	for range cores {
		got := <-ch
		a.reports.note(cores[got.core].Addr, l.r, got.taken, got.whole, now)
	}
	live := a.members.Live(member.RoleCore)
	a.reports.keepOnly(live)
	if len(cores) == len(live) {
		a.reports.told = l.r
	}
}

// note keeps what a core has of the reports after it was sent one.
func (r *reports) note(addr string, latest report.Report, taken, whole bool, now time.Duration) {
	if !taken {
		// Why: whether the core has it, or can read differences, is not known; the whole one settles that.
		delete(r.taken, addr)
		return
	}
	before := r.taken[addr]
	if whole {
		before.wholeAt = now
	}
	before.report = latest
	r.taken[addr] = before
}

// keepOnly lets go of cores that are gone.
func (r *reports) keepOnly(cores []member.Node) {
	live := map[string]bool{}
	for _, c := range cores {
		live[c.Addr] = true
	}
	maps.DeleteFunc(r.taken, func(addr string, _ takenReport) bool { return !live[addr] })
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
		serial := base.report.Serial
		if _, done := packed[serial]; !done {
			if serial == 0 {
				packed[serial] = wire.Pack(latest)
			} else {
				packed[serial] = wire.Pack(latest.Since(base.report))
			}
		}
		out[i] = body{packed: packed[serial], whole: serial == 0}
	}
	return out
}
