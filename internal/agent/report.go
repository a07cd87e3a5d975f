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
	// wholeRate is how many bytes a second whole reports may cost for one core, and wholeLatest how
	// long they are put off for that. Why: in a large fleet a report is tens of KB, for each core.
	wholeRate   = 100
	wholeLatest = time.Minute
	// relayLimit is how long the core that passes reports on may take before the others are told from here.
	relayLimit = 300 * time.Millisecond
)

// reports is what the cores have of this agent, by their addresses; it is used on
// the actor of the reports only.
type reports struct {
	taken  map[string]takenReport
	relays relays
}

// takenReport is the newest report that a core has taken.
type takenReport struct {
	report   report.Report
	wholeAt  time.Duration // when it was last given a whole one
	wholeLen int           // bytes of that one
	inflight bool          // it reads what is in flight as a difference too
}

// told is what became of a report that one core was told.
type told struct {
	core    int // as an index of those told
	reached bool
	taken   bool
	whole   int // bytes of the whole report that it was given; 0 is none
	// inflight says that the core reads what is in flight as a difference.
	inflight bool
	relayed  []uint32 // keys of the cores that it vouches for
}

// report passes the proxy's report to every core, as the difference from what
// the core has of it. In a large fleet one core passes it on, and only the cores that
// this one does not vouch for are told from here.
func (a *Agent) report(ctx context.Context) {
	now := a.env.Clock.Since()
	l := a.latest.Load()
	if l == nil || now-l.at > reportLasts {
		return
	}
	latest := l.r
	latest.AgentBoot, latest.Order = a.boot, l.order
	cores := a.members.Live(member.RoleCore)
	relay := a.reports.relays.choose(a.members.Self(), a.members.Nodes(), now)
	a.reports.keep(cores)
	first, others := a.reports.relays.split(cores, relay)
	answered, relayed := a.tell(latest, first, relay, now)
	if relay == "" {
		return
	}
	if !answered {
		a.log.Info("the core that passes reports on does not answer", "core", relay)
		a.reports.relays.avoid(relay, now)
	}
	a.reports.relays.vouched = relayed
	// Why: the report that was just sent is as good as told where the last one got through.
	a.tell(latest, a.reports.relays.unvouched(others), "", now)
}

// tell sends a report to some cores, one of which is asked to pass it on; it says
// whether that one has answered, and for which cores it vouches.
func (a *Agent) tell(r report.Report, cores []member.Node, relay string, now time.Duration) (answered bool, relayed []uint32) {
	bodies := a.reports.bodies(r, cores, relay, now)
	ch := run.Fan(a.group, len(cores), func(ctx context.Context, i int) told {
		return a.tellCore(ctx, r, i, cores[i], bodies[i])
	})
	for range cores {
		got := <-ch
		core := cores[got.core]
		if core.Name == relay {
			answered, relayed = got.reached, got.relayed
		}
		a.reports.note(core.Addr, r, got, now)
	}
	return answered, relayed
}

// tellCore sends a report to one core, whole where the core cannot use the difference.
func (a *Agent) tellCore(ctx context.Context, r report.Report, i int, core member.Node, b body) told {
	within := limit
	if b.relay {
		within = relayLimit
	}
	got, err := a.tellReport(ctx, core.Addr, b.packed, within)
	whole := 0
	if b.whole {
		whole = len(b.packed)
	}
	if err == nil && got.Whole {
		r.Relay = b.relay
		packed := wire.Pack(r)
		whole = len(packed)
		got, err = a.tellReport(ctx, core.Addr, packed, within)
	}
	return told{core: i, reached: err == nil, taken: err == nil && !got.Whole && got.Differences, whole: whole, inflight: got.InflightDifferences, relayed: got.Relayed}
}

// keep forgets cores that are gone.
func (r *reports) keep(cores []member.Node) {
	live := map[string]bool{}
	for _, c := range cores {
		live[c.Addr] = true
	}
	maps.DeleteFunc(r.taken, func(addr string, _ takenReport) bool { return !live[addr] })
}

// note keeps what a core has taken.
func (r *reports) note(addr string, latest report.Report, got told, now time.Duration) {
	if r.taken == nil {
		r.taken = map[string]takenReport{}
	}
	before := r.taken[addr]
	if !got.taken {
		// Why: whether the core has it, or can read differences, is not known; the whole one settles that.
		delete(r.taken, addr)
		return
	}
	if got.whole > 0 {
		before.wholeAt, before.wholeLen = now, got.whole
	}
	before.report, before.inflight = latest, got.inflight
	r.taken[addr] = before
}

// tellReport sends a packed report to one core.
func (a *Agent) tellReport(ctx context.Context, addr string, packed cbor.RawMessage, within time.Duration) (report.Taken, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
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
	relay  bool // the core is asked to pass it on
}

// wholeGap is how long after a whole report of some bytes the next is due.
func wholeGap(bytes int) time.Duration {
	return min(max(wholeEvery, time.Duration(bytes)*time.Second/wholeRate), wholeLatest)
}

// variant is a form of a report: whole, or the difference from the one of a version.
type variant struct {
	version  uint64 // 0 is the whole report
	inflight bool   // what is in flight is a difference too
	relay    bool   // it is to be passed on
}

// bodies packs a report for each core, once for all that are sent the same form of it;
// relay is the name of the core that is asked to pass it on.
func (r *reports) bodies(latest report.Report, cores []member.Node, relay string, now time.Duration) []body {
	packed := map[variant]cbor.RawMessage{}
	out := make([]body, len(cores))
	for i, c := range cores {
		base, found := r.taken[c.Addr]
		if !found || base.report.Boot != latest.Boot || now-base.wholeAt > wholeGap(base.wholeLen) {
			base = takenReport{}
		}
		form := variant{version: base.report.Version, inflight: base.inflight, relay: c.Name == relay}
		if _, done := packed[form]; !done {
			latest.Relay = form.relay
			packed[form] = pack(latest, base)
		}
		out[i] = body{packed: packed[form], whole: form.version == 0, relay: form.relay}
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
