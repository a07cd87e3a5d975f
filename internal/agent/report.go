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
	// reportMaxAge is the maximum age of a report that is sent to the cores.
	reportMaxAge = 2 * time.Second
	// fullReportInterval is how often a core gets a full report although a difference would do.
	// This bounds the effect of any error in the differences.
	fullReportInterval = 10 * time.Second
	// fullReportRate limits the bytes per second of full reports to one core, and fullReportMaxInterval
	// bounds the delay that this causes. In a large fleet a full report is tens of KB, for each core.
	fullReportRate        = 100
	fullReportMaxInterval = time.Minute
	// busyInterval is the minimum time between two rounds of reports while the relay is busy.
	busyInterval = time.Second
)

// coreReports tracks what each core has received from this agent, by core address. It is used
// on reportActor only.
type coreReports struct {
	acked    map[string]ackedReport
	inFlight map[string]bool // cores with a report in flight; true if another became due meanwhile
	relay    relayState
	lastSent time.Duration // time of the last round of reports
}

// ackedReport is the newest report that a core has acknowledged.
type ackedReport struct {
	report   report.Report
	fullAt   time.Duration // time of the last full report
	fullLen  int           // its size in bytes
	inflight bool          // the core supports differences of in-flight counts
}

// delivery is the outcome of sending a report to one core.
type delivery struct {
	reached bool
	acked   bool
	whole   int // size of the full report that was sent; 0 if none
	// inflight is set if the core supports differences of in-flight counts.
	inflight bool
	relayed  []uint32 // keys of the cores that it covers as relay
	busy     bool     // it is short of processor time
	took     time.Duration
}

// newestReport returns the proxy's newest report unless it is older than reportMaxAge.
func (a *Agent) newestReport(now time.Duration) (report.Report, bool) {
	l := a.latest.Load()
	if l == nil || now-l.at > reportMaxAge {
		return report.Report{}, false
	}
	r := l.r
	r.AgentBoot, r.Sequence = a.boot, l.order
	return r, true
}

// report sends the proxy's report to every core, as the difference from what the core has
// acknowledged. In a large fleet one core relays it, and only the cores that the relay does not
// cover get it directly.
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

// send sends a report to some cores, and then to those of others that the relay turns out not to
// cover. It does not wait for answers: an unresponsive core must not delay reports about waiting
// requests to the rest. A core with a report in flight gets the newest one after it has answered.
func (a *Agent) send(r report.Report, cores, others []member.Node, now time.Duration) {
	relay, within := a.reports.relay.core, a.reports.relay.timeout()
	cores = a.reports.reserve(cores)
	payloads := a.reports.encodeAll(r, cores, relay, now)
	for i, core := range cores {
		a.group.Go(func(ctx context.Context) {
			began := a.env.Clock.Since()
			got := a.sendToCore(ctx, r, core, payloads[i], within)
			got.took = a.env.Clock.Since() - began
			_ = a.reportActor.Do(ctx, func() { a.onDelivery(r, core, got, others, now) })
		})
	}
}

// onDelivery processes the outcome of a report to one core.
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
		a.log.Info("relay core does not answer", "core", core.Name)
		relays.avoid(core.Name, now)
		a.send(r, relays.due(others, now), nil, now)
	default:
		relays.recordLatency(got.took)
		relays.covered = got.relayed
		// Cores that the relay reached with its previous report are assumed to get the one just sent too.
		a.send(r, relays.uncovered(others, now), nil, now)
	}
	if !a.reports.release(core.Addr) {
		return
	}
	if newest, ok := a.newestReport(now); ok {
		a.send(newest, []member.Node{core}, nil, now)
	}
}

// sendToCore sends a report to one core, and again in full if the core cannot apply the difference.
// The relay has relayWithin to answer.
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

// prune drops the state of cores that are no longer live.
func (r *coreReports) prune(cores []member.Node) {
	live := map[string]bool{}
	for _, c := range cores {
		live[c.Addr] = true
	}
	maps.DeleteFunc(r.acked, func(addr string, _ ackedReport) bool { return !live[addr] })
}

// reserve returns those of some cores that have no report in flight and marks them as having one.
// The rest are marked to get another report after they have answered.
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

// release marks a core's report as answered, and reports whether another became due meanwhile.
func (r *coreReports) release(addr string) bool {
	again := r.inFlight[addr]
	delete(r.inFlight, addr)
	return again
}

// record stores what a core has acknowledged.
func (r *coreReports) record(addr string, latest report.Report, got delivery, now time.Duration) {
	if r.acked == nil {
		r.acked = map[string]ackedReport{}
	}
	before := r.acked[addr]
	if !got.acked {
		// It is unknown whether the core has the report or supports differences; a full report resolves both.
		delete(r.acked, addr)
		return
	}
	if got.whole > 0 {
		before.fullAt, before.fullLen = now, got.whole
	}
	before.report, before.inflight = latest, got.inflight
	r.acked[addr] = before
}

// callReport sends an encoded report to one core.
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

// payload is a report as encoded for one core.
type payload struct {
	packed cbor.RawMessage
	whole  bool
	relay  bool // the core is asked to relay it
}

// fullReportGap returns the time from a full report of the given size to the next.
func fullReportGap(bytes int) time.Duration {
	return min(max(fullReportInterval, time.Duration(bytes)*time.Second/fullReportRate), fullReportMaxInterval)
}

// reportForm identifies an encoding of a report: full, or the difference from a version.
type reportForm struct {
	version  uint64 // base of the difference; 0 for a full report
	inflight bool   // in-flight counts are a difference too
	relay    bool   // the core is to relay it
}

// encodeAll encodes a report for each core, once for all that get the same form;
// relay is the name of the core that is asked to relay it.
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

// encode encodes a report for a core that has acknowledged base, or nothing.
func encode(latest report.Report, base ackedReport) cbor.RawMessage {
	switch {
	case base.report.Version == 0:
		return wire.Marshal(latest)
	case base.inflight:
		return wire.Marshal(latest.DeltaWithInflight(base.report))
	}
	return wire.Marshal(latest.DeltaFrom(base.report))
}
