// Package agent puts a dsagent together: the link to the control plane beside
// each proxy.
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
	// maxHold bounds how long a proxy may have its answer held back.
	maxHold = 500 * time.Millisecond
	// lingerGap is how long a stopping agent must not have been asked by its proxy before it goes.
	proxyIdleTime = time.Second
)

// Settings of an agent.
type Settings struct {
	Name     string
	Zone     string
	Addr     string // peers, TCP and UDP
	Feed     string // loopback, for the proxy
	Seeds    []string
	Platform string
	Bounds   bounds.Bounds
	Cadence  bounds.Cadence
	Lister   inventory.Lister // nil asks Platform over the design's own API
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
	feedReport   atomic.Pointer[report.Report] // the last report that came with an exchange
	reports      coreReports
	reportActor  *run.Actor    // of the reports
	reportSeq    atomic.Uint64 // of reports
	lastExchange atomic.Int64  // when the proxy asked last, on our clock
	urgentNudge  *run.Trigger
}

// dated is a report of the proxy, when it came, and which it was of all that did.
type receivedReport struct {
	r     report.Report
	at    time.Duration
	order uint64
}

// Start begins to take part.
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

// asksPlatform says whether this agent asks for the list itself.
func (a *Agent) pollsPlatform() bool {
	return a.s.Cadence.ListSpare == 0 || a.touch.SinceContact() > a.s.Cadence.ListSpare
}

// gossipTree is whom this agent tells its news in a large fleet.
func (a *Agent) gossipTree() gossip.Tree {
	return fanout.View{Self: a.members.Self(), Nodes: a.members.Nodes()}.Tree()
}

// Reseed names other seeds.
func (a *Agent) Reseed(seeds []string) { a.members.SetSeeds(seeds) }

// Stop leaves on purpose.
func (a *Agent) Stop(ctx context.Context) error {
	// Why: a proxy that is stopped with us still needs to hear what is in force while it finishes.
	for a.env.Clock.Since()-time.Duration(a.lastExchange.Load()) < proxyIdleTime && run.Sleep(ctx, proxyIdleTime/10) {
	}
	a.members.Leave(ctx)
	for _, s := range a.servers {
		_ = s.Drain(ctx)
	}
	a.Kill()
	return nil
}

// Kill ends at once.
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

// Sent counts what this agent has sent: calls, bytes in them, datagrams.
func (a *Agent) Sent() (calls, bytes, grams int64) {
	calls, bytes = a.caller.Sent()
	return calls, bytes, a.post.Sent()
}

// Freeze and Thaw are for simulations.
func (a *Agent) Freeze() { a.base.Freeze() }

// Thaw ends a freeze.
func (a *Agent) Thaw() { a.base.Thaw() }

// onGossip logs when a configuration has come.
func (a *Agent) onGossip(e gossip.Entry) {
	if e.Key == conf.Key {
		a.log.Info("configuration learned", "epoch", e.Stamp.Epoch, "version", e.Stamp.Version, "bytes", len(e.Value))
	}
}

// takeUrgent passes a report on at once.
func (a *Agent) handleUrgent(_ context.Context, r report.Report) (feed.UrgentReply, error) {
	a.storeReport(r)
	a.urgentNudge.Fire()
	return feed.UrgentReply{}, nil
}

func (a *Agent) storeReport(r report.Report) {
	r.Agent, r.Zone = a.s.Name, a.s.Zone
	a.latest.Store(&receivedReport{r, a.env.Clock.Since(), a.reportSeq.Add(1)})
}

// exchange answers the proxy.
func (a *Agent) exchange(ctx context.Context, up feed.Request) (feed.Reply, error) {
	a.lastExchange.Store(int64(a.env.Clock.Since()))
	for _, e := range up.Entries {
		a.gossip.Put(e)
	}
	if len(up.Peers) > 0 {
		a.members.SetPreviousPeers(up.Peers[:min(len(up.Peers), maxPeers)])
	}
	// Why: a surviving proxy has in force what this machine had; with that here, nothing goes back.
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

// takeFed takes a report that came with an exchange, whole or as the difference
// from the one before. What it cannot be laid on is asked for again by what the answer
// says is held.
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

// awaitGossip holds an answer back until there is something to tell.
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
