// Package proxy puts a dsproxy together: the callers' API, admission, attempts,
// relay, and the feed from the agent beside it.
package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	gen "drumstall.example/gen/caller"
	"drumstall.example/gen/http/caller/server"
	"drumstall.example/internal/admission"
	"drumstall.example/internal/attempt"
	"drumstall.example/internal/backend"
	"drumstall.example/internal/core"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/httpapi"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/relay"
	"drumstall.example/internal/route"
)

const (
	// feedHold is how long the agent may hold an answer back until it has news, and feedGap the least time between two questions.
	feedHold = 200 * time.Millisecond
	feedGap  = 2 * time.Millisecond
	// feedBusyGap is the time between two questions while each answer has news that came within feedBusy of the one
	// before, and feedWaitedGap the same while requests wait here for what the news may tell of.
	feedBusyGap    = 100 * time.Millisecond
	feedWaitingGap = 20 * time.Millisecond
	feedBusyWindow = 50 * time.Millisecond
	// reportEvery is how often a report goes to the agent, and reportGap how soon after another when what is in force has changed.
	reportInterval    = 200 * time.Millisecond
	minReportInterval = 50 * time.Millisecond
	feedTimeout       = time.Second
	// missGap is the least time between two urgent reports.
	urgentReportGap  = 5 * time.Millisecond
	peerPullInterval = 400 * time.Millisecond
	bodyReadTimeout  = 15 * time.Second
	stallTimeout     = 30 * time.Second
	// unknownEdges is how many edges a proxy supposes before it has been told for a while.
	initialEdgeCount = 16
	// settled is how long an agent must have been there for its count of edges to be believed.
	edgeCountDelay = 10 * time.Second
	// edgesLast is how long the largest count of edges holds.
	edgeCountTTL = 30 * time.Minute
	// lameDuck is how long a stopping proxy still serves while it lets go of its connections.
	lameDuck = 3 * time.Second
	// wakeFor is how long requests wait for a proxy that has just found itself out of touch.
	isolationWait   = time.Second
	pollInterval    = 20 * time.Millisecond
	maxReadyWaiters = 1000
	// agentYoung is how long a new agent may know less than those its predecessor knew.
	agentWarmup   = 5 * time.Second
	peerPullCount = 3
	// deafMargin is how long before the bound on draining a proxy that hears nobody stops sending.
	isolationMargin = 500 * time.Millisecond
	// agentLost is after how long without the agent the proxy asks the platform itself.
	agentTimeout = 700 * time.Millisecond
)

// Settings of a proxy.
type Settings struct {
	Name     string
	Zone     string
	Callers  string // callers' HTTP
	Agent    string // the agent's loopback address
	Platform string
	Bounds   bounds.Bounds
	Cadence  bounds.Cadence
	Lister   inventory.Lister                     // nil asks Platform over the design's own API
	Replicas backend.Client                       // nil asks replicas over the design's own API
	Protocol attempt.Protocol                     // nil sends requests over the design's own API
	Handlers map[string]func(*Proxy) http.Handler // further APIs, by address
}

// Proxy is a running dsproxy.
type Proxy struct {
	settings         Settings
	env              core.Env
	log              *slog.Logger
	boot             string
	group            *run.Group
	rootGroup        *run.Group
	gossip           *gossip.Table
	routes           *route.Keeper
	admission        *admission.Controller
	sender           *attempt.Sender
	budget           *attempt.Budget
	replicas         backend.Client
	caller           *wire.Caller
	watch            *inventory.Watch
	servers          []*wire.Server
	reports          atomic.Uint64
	urgentReport     *run.Nudge
	startedAt        time.Duration
	confirmed        atomic.Bool
	contact          *touch.Keeper
	agentSeenAt      atomic.Int64
	agentFirstSeenAt atomic.Int64 // when the agent was first heard under its boot
	edgeCount        atomic.Int64
	peers            atomic.Pointer[[]string]
	isolatedAt       atomic.Int64 // since when a request has found this proxy out of touch; 0 is not
	readyWaiters     atomic.Int64 // requests that wait for it to be in touch again
	serving          atomic.Int64 // requests that are being served
	draining         atomic.Bool  // a planned stop has begun: serve, but let go of connections
	stopping         atomic.Bool
	truncated        atomic.Int64
	mu               sync.Mutex
	demand           map[string]uint64
	feed             feedState
	tenantStats      tenantStats
}

// Start begins to serve.
func Start(s Settings, env core.Env) (*Proxy, error) {
	s.Bounds, s.Cadence = s.Bounds.OrDefault(), s.Cadence.OrDefault()
	p := &Proxy{settings: s, env: env, log: env.Log.Logger().With("node", s.Name), boot: core.NewBoot(), rootGroup: run.NewGroup(context.Background()),
		gossip: gossip.NewTable(), budget: attempt.NewBudget(s.Bounds.Retry.Ratio), replicas: s.Replicas,
		caller: wire.NewCaller(env.Net), demand: map[string]uint64{}}
	p.group = p.rootGroup.Child()
	p.startedAt = env.Clock.Since()
	if s.Protocol == nil {
		s.Protocol = attempt.Native{}
	}
	p.sender = attempt.NewSender(env.Net, s.Protocol, stallTimeout)
	if p.replicas == nil {
		p.replicas = backend.NewNative(env.Net)
	}
	if s.Lister == nil {
		s.Lister = inventory.NewLister(env.Net, s.Platform, p.log)
	}
	p.edgeCount.Store(initialEdgeCount)
	p.watch = inventory.NewWatch(s.Lister, env.Clock, p.log, p.gossip)
	p.contact = touch.New(env.Clock, func() time.Duration { return p.watch.HeardFor() })
	p.agentSeenAt.Store(-1 << 62)
	p.agentFirstSeenAt.Store(-1 << 62)
	p.peers.Store(&[]string{})
	p.routes = route.NewKeeper(route.Deps{Group: p.group, Gossip: p.gossip, Clock: env.Clock, Replicas: p.replicas, Zone: func() string { return s.Zone },
		HeardFor: p.contact.For, Edges: func() int { return int(p.edgeCount.Load()) }, Ask: s.Cadence.ProxiesAsk, Log: p.log, Deaf: s.Bounds.Drain - isolationMargin})
	p.watch.Start(p.group, s.Cadence.List, func() bool { return p.sinceAgentSeen() > agentTimeout })
	misses := run.NewActor(p.group, 4, 0, nil)
	p.urgentReport = run.NewNudge(misses, p.sendUrgentReport)
	p.admission = admission.New(p.group, p.routes, s.Cadence.Hold, p.urgentReport.Now)
	if err := p.listen(); err != nil {
		p.group.Stop()
		p.rootGroup.Stop()
		return nil, err
	}
	p.group.Repeat(feedGap, p.exchangeFeed)
	p.group.Every(peerPullInterval, p.pullFromPeers)
	for _, srv := range p.servers {
		p.rootGroup.Go(srv.Run)
	}
	return p, nil
}

// listen opens the APIs for callers, the design's own among them.
func (p *Proxy) listen() error {
	at := map[string]http.Handler{}
	if p.settings.Callers != "" {
		mux := httpapi.NewMuxer()
		server.New(gen.NewEndpoints(p), mux, httpapi.Decoder, httpapi.Encoder, httpapi.Quiet, httpapi.Formatter).Mount(mux)
		at[p.settings.Callers] = p.withResponseHeaders(relay.WithReadLimit(mux, bodyReadTimeout))
	}
	for addr, f := range p.settings.Handlers {
		at[addr] = f(p)
	}
	for addr, h := range at {
		ln, err := p.env.Net.Listen(addr)
		if err != nil {
			for _, srv := range p.servers {
				srv.Close()
			}
			return errors.Wrap(err, "proxy: callers' address")
		}
		p.servers = append(p.servers, wire.NewServer(ln, h))
	}
	return nil
}

// Stop takes no new requests, finishes the accepted ones, and ends.
func (p *Proxy) Stop(ctx context.Context) error {
	if p.settings.Bounds.Grace > 0 {
		return p.stopWithin(ctx, p.settings.Bounds.Grace)
	}
	// Why: a connection closed while a caller writes to it drops that request. So each is closed after an
	// answer that says so, and only those idle for longer than callers keep them are closed unasked.
	p.draining.Store(true)
	run.Wait(ctx, p.lameDuck())
	for _, srv := range p.servers {
		srv.Quiesce(ctx, p.lameDuck())
	}
	p.stopping.Store(true)
	var failed error
	for _, srv := range p.servers {
		if err := srv.Drain(ctx); err != nil {
			failed = err
		}
	}
	p.Kill()
	return failed
}

// stopWithin ends where whatever is not done after a grace is cut off. Callers may
// come to the very end; they are told so at once when there is no time left for them.
func (p *Proxy) stopWithin(ctx context.Context, grace time.Duration) error {
	p.draining.Store(true)
	run.Wait(ctx, grace/4)
	p.stopping.Store(true)
	// Why: what waits for a replica now would still be at work when the grace ends.
	run.Wait(ctx, grace/8)
	p.admission.Close()
	for p.serving.Load() > 0 && run.Wait(ctx, pollInterval) {
	}
	var failed error
	for _, srv := range p.servers {
		if err := srv.Drain(ctx); err != nil {
			failed = err
		}
	}
	p.Kill()
	return failed
}

// lameDuck is how long a stopping proxy still serves while it lets go of its connections.
func (p *Proxy) lameDuck() time.Duration {
	if g := p.settings.Bounds.Grace; g > 0 {
		return min(lameDuck, g/4)
	}
	return lameDuck
}

// Leaving says that a planned stop has begun.
func (p *Proxy) Draining() bool { return p.draining.Load() }

// headerConf is on every answer: the configuration in force here when its request came.
const headerConfSerial = "Drumstall-Conf"

func (p *Proxy) withResponseHeaders(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if serial, serves := p.ActiveConfig(); serves {
			w.Header().Set(headerConfSerial, strconv.FormatUint(serial, 10))
		}
		if p.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Kill ends at once.
func (p *Proxy) Kill() {
	for _, srv := range p.servers {
		srv.Close()
	}
	p.group.Stop()
	p.rootGroup.Stop()
	p.sender.Close()
	p.replicas.Close()
	p.caller.Close()
	p.watch.Close()
}

// Freeze and Thaw are for simulations.
func (p *Proxy) Freeze() { p.rootGroup.Freeze() }

// Thaw ends a freeze.
func (p *Proxy) Thaw() { p.rootGroup.Thaw() }

// InForce is the serial of the configuration requests are served by, and
// whether any are.
func (p *Proxy) ActiveConfig() (uint64, bool) {
	return p.routes.Now().Serial, p.confirmed.Load()
}

func (p *Proxy) sinceAgentSeen() time.Duration {
	return p.env.Clock.Since() - time.Duration(p.agentSeenAt.Load())
}
