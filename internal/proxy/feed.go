package proxy

import (
	"context"
	"maps"
	"strings"
	"time"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/feed"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/sample"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/route"
	"drumstall.example/internal/state"
)

// feedState is the state of the exchanges with the agent. Only the feed loop uses it.
type feedState struct {
	agentBoot       string
	cursor          uint64
	gossipCursor    uint64
	sendAll         bool
	firstContactAt  time.Duration // when an agent was first reached
	edgesUpdatedAt  time.Duration // when the count of edges was last updated
	maxEdges        int           // the largest count reported since then
	exchangedAt     time.Duration // when the last exchange was complete
	reportedAt      time.Duration // when the last report was sent; 0 if the agent may not have it
	reportedVersion uint64        // version of the routing table described by that report
	base            report.Report // the last report the agent holds, the base of the next delta; version 0 means none
}

// pullFromPeers pulls updates from the agent's peers while the agent is unreachable, or so new that it may not know
// any peer yet, so that a new configuration is applied here all the same.
func (p *Proxy) pullFromPeers(ctx context.Context) {
	known := *p.peers.Load()
	if p.sinceAgentSeen() <= agentTimeout && p.env.Clock.Since()-time.Duration(p.agentFirstSeenAt.Load()) > agentWarmup || len(known) == 0 {
		return
	}
	// Some peers may be down as well; one response is enough.
	peers := sample.Of(known, peerPullCount)
	askedAt := p.env.Clock.Since()
	results := run.FanOut(p.group, len(peers), func(ctx context.Context, i int) touch.Age {
		ctx, cancel := context.WithTimeout(ctx, peerPullInterval)
		defer cancel()
		return gossip.Reconcile(ctx, p.caller, p.gossip, peers[i], "")
	})
	for range peers {
		p.contact.Observe(askedAt, <-results)
	}
}

// exchangeFeed exchanges updates and reports with the agent.
func (p *Proxy) exchangeFeed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	f := &p.feed
	snap := p.routes.Current()
	up := feed.Request{Boot: p.boot, AgentBoot: f.agentBoot, Cursor: f.cursor, Confirmed: p.confirmed.Load(), Conf: snap.Stamp}
	fresh, cursor, _ := p.gossip.Since(f.gossipCursor)
	for _, e := range fresh {
		if f.sendAll || strings.HasPrefix(e.Key, inventory.MarkKey("")) || strings.HasPrefix(e.Key, route.TenantPrefix) {
			up.Entries = append(up.Entries, e)
		}
	}
	// Without these peers, an agent that restarted while all seeds are down would stay isolated.
	if time.Duration(p.agentSeenAt.Load()) < time.Duration(p.agentFirstSeenAt.Load())+time.Second {
		up.Peers = *p.peers.Load()
	}
	up.MaxWaitMs = int(feedHold.Milliseconds())
	askedAt := p.env.Clock.Since()
	var sent report.Report
	if up.NoReport = !f.reportDue(snap, askedAt); !up.NoReport {
		sent = p.buildReport()
		up.Report = f.delta(sent)
	}
	down, err := wire.Call[feed.Request, feed.Reply](ctx, p.caller, p.settings.Agent, feed.Path, up)
	if err != nil {
		f.reportedAt, f.base = 0, report.Report{}
		return
	}
	f.updateBase(sent, down.ReportVersion)
	f.gossipCursor, f.sendAll = cursor, false
	if down.SendAll {
		// The agent has lost its table; the entries here may be newer than any it can get elsewhere.
		f.gossipCursor, f.sendAll = 0, true
	}
	if f.agentBoot != "" && f.agentBoot != down.AgentBoot {
		p.agentFirstSeenAt.Store(int64(askedAt))
	}
	if f.agentBoot != down.AgentBoot {
		f.reportedAt = 0
	}
	f.agentBoot, f.cursor = down.AgentBoot, down.Cursor
	for _, e := range down.Entries {
		p.gossip.Put(e)
	}
	if !p.routes.Isolated() {
		p.isolatedAt.Store(0)
	}
	p.updateEdgeCount(down.Edges, askedAt)
	// A new agent that knows few peers must not replace the larger list of its predecessor.
	if isNew := askedAt-time.Duration(p.agentFirstSeenAt.Load()) < agentWarmup; len(down.Peers) > 0 && (!isNew || len(down.Peers) >= len(*p.peers.Load())) {
		p.peers.Store(&down.Peers)
	}
	p.agentSeenAt.Store(int64(askedAt))
	p.contact.Observe(askedAt, touch.Age(down.SinceContactMs+1))
	if !p.confirmed.Load() && isTableCurrent(down, p.routes.Current()) {
		p.confirmed.Store(true)
	}
	p.paceExchanges(ctx, p.env.Clock.Since())
}

// isTableCurrent reports whether a newly started proxy may serve from a table: the agent knows the latest
// configuration in effect, and the table was built from it or from a later one. A table without any configuration would
// make the proxy report unknown routes to callers.
func isTableCurrent(agent feed.Reply, table *route.Snapshot) bool {
	return agent.Confirmed && table.Serial > 0 && !agent.Conf.Newer(table.Stamp)
}

// reportDue reports whether to include a report in an exchange: at regular intervals, and soon
// after the routing table has changed, since controllers may wait for that.
func (f *feedState) reportDue(snap *route.Snapshot, now time.Duration) bool {
	age := now - f.reportedAt
	if f.reportedAt != 0 && age < reportInterval && (age < minReportInterval || snap.Version == f.reportedVersion) {
		return false
	}
	f.reportedAt, f.reportedVersion = now, snap.Version
	return true
}

// delta returns a report relative to the base, or the full report if the agent holds none.
func (f *feedState) delta(r report.Report) report.Report {
	if f.base.Version == 0 {
		return r
	}
	return r.DeltaFrom(f.base)
}

// updateBase records which report the agent holds after an exchange, in which one may have been sent.
// The agent may have been replaced in the meantime, or may accept full reports only.
func (f *feedState) updateBase(sent report.Report, holds uint64) {
	before := f.base
	switch {
	case holds != 0 && holds == sent.Version:
		f.base = sent
	case holds != before.Version:
		f.base = report.Report{}
	}
	if before.Version != 0 && f.base.Version == 0 {
		f.reportedAt = 0
	}
}

// paceExchanges spaces out exchanges while updates are frequent. Updates that arrive together are built into one
// table; a single update is applied at once.
func (p *Proxy) paceExchanges(ctx context.Context, exchangedAt time.Duration) {
	f := &p.feed
	if exchangedAt-f.exchangedAt < feedBusyWindow {
		run.Sleep(ctx, busyInterval(p.admission.Waiting()))
	}
	f.exchangedAt = p.env.Clock.Since()
}

// busyInterval returns the time between exchanges while updates are frequent, given the requests waiting for each item.
func busyInterval(waiting map[string]int) time.Duration {
	if len(waiting) > 0 {
		return feedWaitingGap
	}
	return feedBusyGap
}

// buildReport returns this proxy's periodic report to the controllers.
func (p *Proxy) buildReport() report.Report {
	snap := p.routes.Current()
	tenants, version := p.tenantReport()
	return report.Report{Boot: p.boot, Version: p.reports.Add(1), ConfigSerial: snap.Serial, Demand: p.demandCounts(), Inflight: p.routes.Inflight(),
		Waiting: p.admission.Waiting(), Contended: p.routes.Pressure(), WorkMs: p.routes.PrefillWorkMs(), Acked: acknowledgedStatuses(p.replicas.Traits(), snap.Acked), Zone: p.settings.Zone, Serving: p.confirmed.Load(),
		Tenants: tenants, TenantsVersion: version}
}

// acknowledgedStatuses returns the versions of replica status to acknowledge to controllers. Controllers wait
// for these only if replicas do not finish running requests before an unload; otherwise each change at a replica would
// needlessly change the report of every edge.
func acknowledgedStatuses(traits backend.Traits, versions map[string]state.Stamp) map[string]state.Stamp {
	if traits.DrainsBeforeUnload {
		return nil
	}
	return versions
}

// sendUrgentReport sends the report at once: a load can start only after a
// controller has learned that a request waits for it.
func (p *Proxy) sendUrgentReport() {
	ctx, cancel := context.WithTimeout(p.group.Context(), feedTimeout)
	defer cancel()
	_, _ = wire.Call[report.Report, feed.UrgentReply](ctx, p.caller, p.settings.Agent, feed.UrgentPath, p.buildReport())
	run.Sleep(ctx, urgentReportGap)
}

// updateEdgeCount keeps the largest recent count of edges. During a network partition each edge
// sees only itself, and all of them together must still keep to one retry allowance.
func (p *Proxy) updateEdgeCount(n int, now time.Duration) {
	f := &p.feed
	if f.firstContactAt == 0 {
		f.firstContactAt = now
	}
	f.maxEdges = max(f.maxEdges, n)
	switch {
	case now-f.firstContactAt < edgeCountDelay:
		return
	case int64(f.maxEdges) > p.edgeCount.Load() || f.edgesUpdatedAt == 0 || now-f.edgesUpdatedAt > edgeCountTTL:
		p.edgeCount.Store(int64(max(1, f.maxEdges)))
		f.edgesUpdatedAt, f.maxEdges = now, n
	}
}

// demandCounts returns a copy of the number of requests per model and per adapter.
func (p *Proxy) demandCounts() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.demand)
}

// countDemand counts a request for a model and, if it names one, its adapter.
func (p *Proxy) countDemand(item conf.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand[item.Model]++
	if item.Adapter != "" {
		p.demand[item.String()]++
	}
}
