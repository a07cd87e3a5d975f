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

// feedState is owned by the feed's loop.
type feedState struct {
	agentBoot       string
	cursor          uint64
	gossipCursor    uint64
	sendAll         bool
	firstContactAt  time.Duration // when an agent was first heard
	edgesUpdatedAt  time.Duration // when the count of edges was last settled
	maxEdges        int           // the largest count since then
	exchangedAt     time.Duration // when the last exchange ended
	reportedAt      time.Duration // when the last report was sent; 0 when the agent may not have it
	reportedVersion uint64        // version of the table that it told of
	base            report.Report // the last report that the agent holds, from which the next is the difference; without a serial there is none
}

// mend gets news from the agent's peers while the agent is away, or so new
// that it may know nobody yet: a configuration must come into force here all the same.
func (p *Proxy) pullFromPeers(ctx context.Context) {
	known := *p.peers.Load()
	if p.sinceAgentSeen() <= agentTimeout && p.env.Clock.Since()-time.Duration(p.agentFirstSeenAt.Load()) > agentWarmup || len(known) == 0 {
		return
	}
	// Why: some of them may be down as well; one that answers is enough.
	to := sample.Of(known, peerPullCount)
	asked := p.env.Clock.Since()
	ch := run.Fan(p.group, len(to), func(ctx context.Context, i int) touch.Word {
		ctx, cancel := context.WithTimeout(ctx, peerPullInterval)
		defer cancel()
		return gossip.Mend(ctx, p.caller, p.gossip, to[i], "")
	})
	for range to {
		p.contact.Told(asked, <-ch)
	}
}

// exchange trades news and reports with the agent.
func (p *Proxy) exchangeFeed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	f := &p.feed
	snap := p.routes.Now()
	up := feed.Up{Boot: p.boot, AgentBoot: f.agentBoot, Cursor: f.cursor, Confirmed: p.confirmed.Load(), Conf: snap.Stamp}
	fresh, mine, _ := p.gossip.After(f.gossipCursor)
	for _, e := range fresh {
		if f.sendAll || strings.HasPrefix(e.Key, inventory.MarkKey("")) || strings.HasPrefix(e.Key, route.TenantPrefix) {
			up.Entries = append(up.Entries, e)
		}
	}
	// Why: an agent that was started anew while all seeds are down would stay alone.
	if time.Duration(p.agentSeenAt.Load()) < time.Duration(p.agentFirstSeenAt.Load())+time.Second {
		up.Peers = *p.peers.Load()
	}
	up.HoldMs = int(feedHold.Milliseconds())
	asked := p.env.Clock.Since()
	var sent report.Report
	if up.NoReport = !f.reportDue(snap, asked); !up.NoReport {
		sent = p.buildReport()
		up.Report = f.delta(sent)
	}
	down, err := wire.Call[feed.Up, feed.Down](ctx, p.caller, p.settings.Agent, feed.Path, up)
	if err != nil {
		f.reportedAt, f.base = 0, report.Report{}
		return
	}
	f.updateBase(sent, down.Holds)
	f.gossipCursor, f.sendAll = mine, false
	if down.WantAll {
		// Why: the agent lost its table; ours may be newer than any it can get elsewhere.
		f.gossipCursor, f.sendAll = 0, true
	}
	if f.agentBoot != "" && f.agentBoot != down.AgentBoot {
		p.agentFirstSeenAt.Store(int64(asked))
	}
	if f.agentBoot != down.AgentBoot {
		f.reportedAt = 0
	}
	f.agentBoot, f.cursor = down.AgentBoot, down.Cursor
	for _, e := range down.Entries {
		p.gossip.Put(e)
	}
	if !p.routes.Deaf() {
		p.isolatedAt.Store(0)
	}
	p.updateEdgeCount(down.Edges, asked)
	// Why: a new agent that knows few must not make us forget whom the one before it knew.
	if young := asked-time.Duration(p.agentFirstSeenAt.Load()) < agentWarmup; len(down.Peers) > 0 && (!young || len(down.Peers) >= len(*p.peers.Load())) {
		p.peers.Store(&down.Peers)
	}
	p.agentSeenAt.Store(int64(asked))
	p.contact.Told(asked, touch.Word(down.HeardMs+1))
	if !p.confirmed.Load() && isTableCurrent(down, p.routes.Now()) {
		p.confirmed.Store(true)
	}
	p.paceExchanges(ctx, p.env.Clock.Since())
}

// knowsEnough says whether a proxy that was just started may serve by a table: its agent
// knows what was in force before, and the table was made from that or from what came after. By a table without
// any configuration it would tell callers that there is no route.
func isTableCurrent(agent feed.Down, table *route.Snapshot) bool {
	return agent.Confirmed && table.Serial > 0 && !agent.Conf.Newer(table.Stamp)
}

// reportDue says whether a report goes with an exchange: now and then, and soon
// after what is in force here has changed, since controllers may wait for that.
func (f *feedState) reportDue(snap *route.Snapshot, now time.Duration) bool {
	age := now - f.reportedAt
	if f.reportedAt != 0 && age < reportInterval && (age < minReportInterval || snap.Version == f.reportedVersion) {
		return false
	}
	f.reportedAt, f.reportedVersion = now, snap.Version
	return true
}

// difference is a report as the agent needs it.
func (f *feedState) delta(r report.Report) report.Report {
	if f.base.Version == 0 {
		return r
	}
	return r.Since(f.base)
}

// settle notes which report the agent holds after an exchange in which it was sent
// one, or none. Why: the agent may be another one by now, or one that takes whole reports only.
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

// rest keeps exchanges apart while much is new. Why: what comes together makes one
// table; what comes alone is passed on at once.
func (p *Proxy) paceExchanges(ctx context.Context, answered time.Duration) {
	f := &p.feed
	if answered-f.exchangedAt < feedBusyWindow {
		run.Wait(ctx, busyInterval(p.admission.Waiting()))
	}
	f.exchangedAt = p.env.Clock.Since()
}

// busyGap is how far apart exchanges are while much is new, with so many requests waiting for each item.
func busyInterval(waiting map[string]int) time.Duration {
	if len(waiting) > 0 {
		return feedWaitingGap
	}
	return feedBusyGap
}

// report is this proxy's word to the controllers.
func (p *Proxy) buildReport() report.Report {
	snap := p.routes.Now()
	tenants, version := p.tenantReport()
	return report.Report{Boot: p.boot, Version: p.reports.Add(1), Conf: snap.Serial, Demand: p.demandCounts(), Inflight: p.routes.Inflight(),
		Waiting: p.admission.Waiting(), Pressed: p.routes.Pressed(), WorkMs: p.routes.Work(), Acked: acknowledgedStatuses(p.replicas.Traits(), snap.Acked), Zone: p.settings.Zone, Serving: p.confirmed.Load(),
		Tenants: tenants, TenantsVersion: version}
}

// acknowledged is what controllers are told of the replicas' status that is in force here. Why: they wait for it
// only where a replica does not itself let runs end before it unloads; told for nothing, each change at a
// replica made a change in every edge's report.
func acknowledgedStatuses(traits backend.Traits, inForce map[string]state.Stamp) map[string]state.Stamp {
	if traits.WaitsForRuns {
		return nil
	}
	return inForce
}

// tellMiss passes the report on at once. Why: a load can only begin when a
// controller has heard that somebody waits for it.
func (p *Proxy) sendUrgentReport() {
	ctx, cancel := context.WithTimeout(p.group.Context(), feedTimeout)
	defer cancel()
	_, _ = wire.Call[report.Report, feed.Taken](ctx, p.caller, p.settings.Agent, feed.UrgentPath, p.buildReport())
	run.Wait(ctx, urgentReportGap)
}

// countEdges keeps the largest count of edges seen lately. Why: edges cut apart
// each see only themselves, and together must keep to one allowance all the same.
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

func (p *Proxy) demandCounts() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.demand)
}

func (p *Proxy) countDemand(item conf.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand[item.Model]++
	if item.Adapter != "" {
		p.demand[item.String()]++
	}
}
