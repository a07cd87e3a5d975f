// Package agent assembles the dsagent process, which keeps the control link of the
// proxy on the same machine.
package agent

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/core"
	"drumstall.example/internal/feed"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/load"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/fanout"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/place/report"
)

const (
	callTimeout = time.Second
	maxPeers    = 16
	// maxHold bounds how long an exchange may wait for changes before it is answered.
	maxHold = 500 * time.Millisecond
	// proxyIdleTime is the time without an exchange after which a stopping agent exits.
	proxyIdleTime = time.Second
)

// Settings configures an agent.
type Settings struct {
	Name     string
	Zone     string
	Addr     string // peers, TCP and UDP
	Feed     string // loopback, for the proxy
	Seeds    []string
	Platform string
	Bounds   bounds.Bounds
	Cadence  bounds.Cadence
	Lister   inventory.Lister // nil queries Platform over the native API
}

// Agent is a running dsagent.
type Agent struct {
	s            Settings
	env          core.Env
	log          *slog.Logger
	boot         string
	group        *run.Group
	base         *run.Group
	gossip       *gossip.Table
	spread       *gossip.Disseminator
	members      *member.Table
	watch        *inventory.Watcher
	caller       *wire.Client
	mux          *wire.Mux
	feedMux      *wire.Mux
	post         *wire.DatagramSocket
	servers      []*wire.Server
	confirmed    atomic.Bool
	confirmation confirmation
	touch        *touch.Tracker
	latest       atomic.Pointer[receivedReport]
	feedReport   atomic.Pointer[report.Report] // the last report received in an exchange
	reports      coreReports
	reportActor  *run.Actor    // runs report and owns reports
	reportSeq    atomic.Uint64 // sequence number of the newest report
	lastExchange atomic.Int64  // time of the last exchange, by the local clock
	urgentNudge  *run.Trigger
}

// receivedReport is a report of the proxy with its time of arrival and sequence number.
type receivedReport struct {
	r     report.Report
	at    time.Duration
	order uint64
}

// Start opens the listeners and joins the cluster.
func Start(s Settings, env core.Env) (*Agent, error) {
	a := &Agent{s: s, env: env, log: env.Log.Logger().With("node", s.Name), boot: core.NewBootID(), base: run.NewGroup(context.Background()),
		gossip: gossip.NewTable(), caller: wire.NewClient(env.Net), mux: wire.NewMux(), feedMux: wire.NewMux()}
	a.group = a.base.Child()
	a.s.Bounds, a.s.Cadence = s.Bounds.OrDefault(), s.Cadence.OrDefault()
	s = a.s
	if s.Lister == nil {
		s.Lister = inventory.NewLister(env.Net, s.Platform, a.log)
	}
	a.watch = inventory.NewWatcher(s.Lister, env.Clock, a.log, a.gossip)
	a.touch = touch.New(env.Clock, func() time.Duration { return a.watch.SinceContact() })
	ln, err := env.Net.Listen(s.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "agent: peers' address")
	}
	pc, err := env.Net.ListenPacket(s.Addr)
	if err != nil {
		_ = ln.Close()
		return nil, errors.Wrap(err, "agent: datagram address")
	}
	fl, err := env.Net.Listen(s.Feed)
	if err != nil {
		_, _ = ln.Close(), pc.Close()
		return nil, errors.Wrap(err, "agent: feed address")
	}
	a.gossip.OnUpdate(a.onGossip)
	a.post = wire.NewDatagramSocket(pc)
	self := member.Node{Name: s.Name, Role: member.RoleAgent, Zone: s.Zone, Addr: s.Addr, Boot: a.boot, Inc: uint64(max(env.Clock.Wall().UnixMilli(), 1)), Build: env.BuildName()}
	a.members = member.New(a.group, env.Clock, a.log, a.post, a.caller, a.mux, self, s.Seeds, a.touch)
	a.spread = gossip.NewDisseminator(a.group, a.gossip, a.log, a.post, a.caller, a.mux, func() string { return s.Addr }, a.members.Peers, a.gossipTree, a.touch)
	a.watch.Start(a.group, s.Cadence.List, a.pollsPlatform)
	wire.Handle(a.feedMux, feed.Path, a.exchange)
	wire.Handle(a.feedMux, feed.UrgentPath, a.handleUrgent)
	a.reportActor = run.NewActor(a.group, 32, s.Cadence.Report, a.report)
	a.urgentNudge = run.NewTrigger(a.reportActor, a.report)
	a.group.Every(confirmInterval, a.confirm)
	load.StartLogging(a.group, a.log, a.mux.Stats, a.feedMux.Stats, a.post.Stats)
	a.base.Go(a.post.Run)
	for _, srv := range []*wire.Server{wire.NewServer(ln, a.mux), wire.NewServer(fl, a.feedMux)} {
		a.servers = append(a.servers, srv)
		a.base.Go(srv.Run)
	}
	return a, nil
}

// pollsPlatform reports whether this agent queries the platform's list itself.
func (a *Agent) pollsPlatform() bool {
	return a.s.Cadence.ListFallback == 0 || a.touch.SinceContact() > a.s.Cadence.ListFallback
}

// gossipTree returns the tree along which this agent gossips in a large fleet.
func (a *Agent) gossipTree() gossip.Tree {
	return fanout.View{Self: a.members.Self(), Nodes: a.members.Nodes()}.Tree()
}

// Reseed replaces the seed addresses.
func (a *Agent) Reseed(seeds []string) { a.members.SetSeeds(seeds) }

// Stop shuts down cleanly: it waits until the proxy is quiet, leaves the cluster and drains the servers.
func (a *Agent) Stop(ctx context.Context) error {
	// A proxy that is stopped together with this agent still needs current state while it drains.
	for a.env.Clock.Since()-time.Duration(a.lastExchange.Load()) < proxyIdleTime && run.Sleep(ctx, proxyIdleTime/10) {
	}
	a.members.Leave(ctx)
	for _, s := range a.servers {
		_ = s.Drain(ctx)
	}
	a.Kill()
	return nil
}

// Kill stops at once, without leaving the cluster.
func (a *Agent) Kill() {
	a.post.Close()
	for _, s := range a.servers {
		s.Close()
	}
	a.group.Stop()
	a.base.Stop()
	a.caller.Close()
	a.watch.Close()
}

// Sent returns the calls, bytes in calls and datagrams that this agent has sent.
func (a *Agent) Sent() (calls, bytes, grams int64) {
	calls, bytes = a.caller.Sent()
	return calls, bytes, a.post.Sent()
}

// Freeze pauses the agent until Thaw; simulations use it.
func (a *Agent) Freeze() { a.base.Freeze() }

// Thaw resumes a frozen agent.
func (a *Agent) Thaw() { a.base.Thaw() }

// onGossip logs the arrival of a configuration.
func (a *Agent) onGossip(e gossip.Entry) {
	if e.Key == conf.Key {
		a.log.Info("configuration learned", "epoch", e.Stamp.Epoch, "version", e.Stamp.Version, "bytes", len(e.Value))
	}
}

// handleUrgent stores a report and sends it to the cores at once.
func (a *Agent) handleUrgent(_ context.Context, r report.Report) (feed.UrgentReply, error) {
	a.storeReport(r)
	a.urgentNudge.Fire()
	return feed.UrgentReply{}, nil
}

// storeReport records r as the proxy's newest report.
func (a *Agent) storeReport(r report.Report) {
	r.Agent, r.Zone = a.s.Name, a.s.Zone
	a.latest.Store(&receivedReport{r, a.env.Clock.Since(), a.reportSeq.Add(1)})
}

// exchange handles one exchange with the proxy.
func (a *Agent) exchange(ctx context.Context, up feed.Request) (feed.Reply, error) {
	a.lastExchange.Store(int64(a.env.Clock.Since()))
	for _, e := range up.Entries {
		a.gossip.Put(e)
	}
	if len(up.Peers) > 0 {
		a.members.SetPreviousPeers(up.Peers[:min(len(up.Peers), maxPeers)])
	}
	// A proxy that kept running has applied the newest configuration of this machine, so with that one here nothing is rolled back.
	if up.Confirmed && !up.Conf.Newer(a.gossip.StampOf(conf.Key)) {
		a.confirmed.Store(true)
	}
	if !up.NoReport {
		a.mergeFeedReport(up.Report)
	}
	if up.AgentBoot == a.boot {
		a.awaitGossip(ctx, up)
	}
	d := feed.Reply{AgentBoot: a.boot, Confirmed: a.confirmed.Load(), Conf: a.gossip.StampOf(conf.Key), SinceContactMs: min(a.touch.SinceContact().Milliseconds()+1, 1<<40),
		Edges: len(a.members.Live(member.RoleAgent)), Agent: a.s.Name, Zone: a.s.Zone}
	if fed := a.feedReport.Load(); fed != nil && fed.Boot == up.Boot {
		d.ReportVersion = fed.Version
	}
	peers := a.members.Peers()
	d.Peers = peers[:min(len(peers), maxPeers)]
	cursor := up.Cursor
	if up.AgentBoot != a.boot {
		cursor, d.SendAll = 0, true
	}
	d.Entries, d.Cursor, _ = a.gossip.Since(cursor)
	return d, nil
}

// mergeFeedReport stores a report received in an exchange, full or as a difference from the
// previous one. If the base is missing, the stored report is dropped; the answer then names no
// held version, which makes the proxy send a full report.
func (a *Agent) mergeFeedReport(r report.Report) {
	r.Agent = a.s.Name
	var base report.Report
	if fed := a.feedReport.Load(); fed != nil {
		base = *fed
	}
	whole, ok := r.ApplyTo(base)
	if !ok {
		a.feedReport.Store(nil)
		return
	}
	a.feedReport.Store(&whole)
	a.storeReport(whole)
}

// awaitGossip delays an answer until there are new gossip entries, the requested hold time has passed or ctx ends.
func (a *Agent) awaitGossip(ctx context.Context, up feed.Request) {
	hold := min(time.Duration(up.MaxWaitMs)*time.Millisecond, maxHold)
	if hold <= 0 {
		return
	}
	fresh, _, changed := a.gossip.Since(up.Cursor)
	if len(fresh) == 0 {
		run.WaitOn(ctx, changed, hold)
	}
}
