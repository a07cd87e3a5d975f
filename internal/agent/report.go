package agent

import (
	"context"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/place/report"
)

const (
	reportPath = "/place/report"
	// reportLasts is how old a report may be that is passed on.
	reportMaxAge = 2 * time.Second
	// wholeEvery is how often a core is given the whole report though it has what it needs.
	// Why: whatever went wrong with the differences ends there.
	fullReportInterval = 10 * time.Second
	// wholeRate is how many bytes a second whole reports may cost for one core, and wholeLatest how
	// long they are put off for that. Why: in a large fleet a report is tens of KB, for each core.
	fullReportRate        = 100
	fullReportMaxInterval = time.Minute
	// busyGap is the time between two reports to a core that has no time to spare.
	busyInterval = time.Second
)

// reports is what the cores have of this agent, by their addresses; it is used on
// the actor of the reports only.
type coreReports struct {
	acked    map[string]ackedReport
	inFlight map[string]bool // cores that are being told: whether there was more to tell since
	relay    relayState
	lastSent time.Duration // when the cores that are told first were told last
}

// takenReport is the newest report that a core has taken.
type ackedReport struct {
	report   report.Report
	fullAt   time.Duration // when it was last given a whole one
	fullLen  int           // bytes of that one
	inflight bool          // it reads what is in flight as a difference too
}

// told is what became of a report that one core was told.
type delivery struct {
	reached bool
	acked   bool
	whole   int // bytes of the whole report that it was given; 0 is none
	// inflight says that the core reads what is in flight as a difference.
	inflight bool
	relayed  []uint32 // keys of the cores that it vouches for
	busy     bool     // it has no time to spare
	took     time.Duration
}

// newest is the proxy's newest report, if it may still be passed on.
func (a *Agent) newestReport(now time.Duration) (report.Report, bool) {
	l := a.latest.Load()
	if l == nil || now-l.at > reportMaxAge {
		return report.Report{}, false
	}
	r := l.r
	r.AgentBoot, r.Sequence = a.boot, l.order
	return r, true
}

// report passes the proxy's report to every core, as the difference from what
// the core has of it. In a large fleet one core passes it on, and only the cores that
// this one does not vouch for are told from here.
func (a *Agent) report() {
	now := a.env.Clock.Since()
	r, ok := a.newestReport(now)
	if !ok {
		return
	}
	cores := a.members.Live(member.RoleCore)
	a.reports.prune(cores)
	relays := &a.reports.relay
	first, others := relays.split(cores, relays.choose(a.members.Self(), a.members.Nodes(), now))
	if relays.isBusy() && now-a.reports.lastSent < busyInterval {
		return
	}
	a.reports.lastSent = now
	a.send(r, first, others, now)
}

// tell sends a report to some cores, and to the others too that the core which passes
// reports on turns out not to vouch for. It waits for no answer: one core that is
// silent must not keep from the rest that requests wait. A core that has not answered
// the report before gets the newest when it has.
func (a *Agent) send(r report.Report, cores, others []member.Node, now time.Duration) {
	relay, within := a.reports.relay.core, a.reports.relay.timeout()
	cores = a.reports.reserve(cores)
	bodies := a.reports.encodeAll(r, cores, relay, now)
	for i, core := range cores {
		a.group.Go(func(ctx context.Context) {
			began := a.env.Clock.Since()
			got := a.sendToCore(ctx, r, core, bodies[i], within)
			got.took = a.env.Clock.Since() - began
			_ = a.reportActor.Do(ctx, func() { a.onDelivery(r, core, got, others, now) })
		})
	}
}

// answered notes what became of a report at a core.
func (a *Agent) onDelivery(r report.Report, core member.Node, got delivery, others []member.Node, at time.Duration) {
	a.reports.record(core.Addr, r, got, at)
	now := a.env.Clock.Since()
	relays := &a.reports.relay
	if got.busy {
		relays.markBusy(core.Name, now)
	}
	switch {
	case !relays.isRelay(core):
	case !got.reached:
		a.log.Info("the core that passes reports on does not answer", "core", core.Name)
		relays.avoid(core.Name, now)
		a.send(r, relays.due(others, now), nil, now)
	default:
		relays.recordLatency(got.took)
		relays.covered = got.relayed
		// Why: the report that was just sent is as good as told where the last one got through.
		a.send(r, relays.uncovered(others, now), nil, now)
	}
	if !a.reports.release(core.Addr) {
		return
	}
	if newest, ok := a.newestReport(now); ok {
		a.send(newest, []member.Node{core}, nil, now)
	}
}

// tellCore sends a report to one core, whole where the core cannot use the difference. The core that
// passes it on is given so long to answer.
func (a *Agent) sendToCore(ctx context.Context, r report.Report, core member.Node, b payload, relayWithin time.Duration) delivery {
	within := callTimeout
	if b.relay {
		within = relayWithin
	}
	got, err := a.callReport(ctx, core.Addr, b.packed, within)
	whole := 0
	if b.whole {
		whole = len(b.packed)
	}
	if err == nil && got.NeedsFullReport {
		r.RelayRequested = b.relay
		packed := wire.Marshal(r)
		whole = len(packed)
		got, err = a.callReport(ctx, core.Addr, packed, within)
	}
	return delivery{reached: err == nil, acked: err == nil && !got.NeedsFullReport && got.SupportsDeltas, whole: whole, inflight: got.SupportsInflightDeltas,
		relayed: got.RelayedTo, busy: got.Busy}
}

// keep forgets cores that are gone.
func (r *coreReports) prune(cores []member.Node) {
	live := map[string]bool{}
	for _, c := range cores {
		live[c.Addr] = true
	}
	maps.DeleteFunc(r.acked, func(addr string, _ ackedReport) bool { return !live[addr] })
}

// free is those of some cores that are not being told anything; they are from now on. The
// rest are told again when they have answered.
func (r *coreReports) reserve(cores []member.Node) []member.Node {
	if r.inFlight == nil {
		r.inFlight = map[string]bool{}
	}
	var out []member.Node
	for _, c := range cores {
		if _, busy := r.inFlight[c.Addr]; busy {
			r.inFlight[c.Addr] = true
			continue
		}
		r.inFlight[c.Addr] = false
		out = append(out, c)
	}
	return out
}

// release ends that a core is being told, and says whether it was passed over meanwhile.
func (r *coreReports) release(addr string) bool {
	again := r.inFlight[addr]
	delete(r.inFlight, addr)
	return again
}

// note keeps what a core has taken.
func (r *coreReports) record(addr string, latest report.Report, got delivery, now time.Duration) {
	if r.acked == nil {
		r.acked = map[string]ackedReport{}
	}
	before := r.acked[addr]
	if !got.acked {
		// Why: whether the core has it, or can read differences, is not known; the whole one settles that.
		delete(r.acked, addr)
		return
	}
	if got.whole > 0 {
		before.fullAt, before.fullLen = now, got.whole
	}
	before.report, before.inflight = latest, got.inflight
	r.acked[addr] = before
}

// tellReport sends a packed report to one core.
func (a *Agent) callReport(ctx context.Context, addr string, packed cbor.RawMessage, within time.Duration) (report.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	asked := a.env.Clock.Since()
	got, err := wire.Call[cbor.RawMessage, report.Response](ctx, a.caller, addr, reportPath, packed)
	if err == nil {
		a.touch.Observe(asked, got.ContactAge)
		a.spread.Fetch(addr, conf.Key, got.ConfigStamp)
	}
	return got, err
}

// body is a report as one core is sent it.
type payload struct {
	packed cbor.RawMessage
	whole  bool
	relay  bool // the core is asked to pass it on
}

// wholeGap is how long after a whole report of some bytes the next is due.
func fullReportGap(bytes int) time.Duration {
	return min(max(fullReportInterval, time.Duration(bytes)*time.Second/fullReportRate), fullReportMaxInterval)
}

// variant is a form of a report: whole, or the difference from the one of a version.
type reportForm struct {
	version  uint64 // 0 is the whole report
	inflight bool   // what is in flight is a difference too
	relay    bool   // it is to be passed on
}

// bodies packs a report for each core, once for all that are sent the same form of it;
// relay is the name of the core that is asked to pass it on.
func (r *coreReports) encodeAll(latest report.Report, cores []member.Node, relay string, now time.Duration) []payload {
	packed := map[reportForm]cbor.RawMessage{}
	out := make([]payload, len(cores))
	for i, c := range cores {
		base, found := r.acked[c.Addr]
		if !found || base.report.Boot != latest.Boot || now-base.fullAt > fullReportGap(base.fullLen) {
			base = ackedReport{}
		}
		form := reportForm{version: base.report.Version, inflight: base.inflight, relay: c.Name == relay}
		if _, done := packed[form]; !done {
			latest.RelayRequested = form.relay
			packed[form] = encode(latest, base)
		}
		out[i] = payload{packed: packed[form], whole: form.version == 0, relay: form.relay}
	}
	return out
}

// pack packs a report for a core that has another, or none.
func encode(latest report.Report, base ackedReport) cbor.RawMessage {
	switch {
	case base.report.Version == 0:
		return wire.Marshal(latest)
	case base.inflight:
		return wire.Marshal(latest.DeltaWithInflight(base.report))
	}
	return wire.Marshal(latest.DeltaFrom(base.report))
}
