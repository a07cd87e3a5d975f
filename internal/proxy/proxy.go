// Package proxy assembles a dsproxy: the callers' API, admission, attempts, the relay of responses, and the feed
// exchange with the agent on the same node.
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
	// feedHold is how long the agent may delay its response until it has updates, and feedGap the minimum time
	// between two exchanges.
	feedHold = 200 * time.Millisecond
	feedGap  = 2 * time.Millisecond
	// feedBusyGap is the time between two exchanges while each response comes within feedBusyWindow of the previous
	// one, and feedWaitingGap the same while requests are queued here for items that an update may make available.
	feedBusyGap    = 100 * time.Millisecond
	feedWaitingGap = 20 * time.Millisecond
	feedBusyWindow = 50 * time.Millisecond
	// reportInterval is how often a report goes to the agent, and minReportInterval the minimum time between two reports
	// when the routing table has changed.
	reportInterval    = 200 * time.Millisecond
	minReportInterval = 50 * time.Millisecond
	feedTimeout       = time.Second
	// urgentReportGap is the minimum time between two urgent reports.
	urgentReportGap  = 5 * time.Millisecond
	peerPullInterval = 400 * time.Millisecond
	bodyReadTimeout  = 15 * time.Second
	stallTimeout     = 30 * time.Second
	// initialEdgeCount is the number of edges assumed until agents have reported a count for edgeCountDelay.
	initialEdgeCount = 16
	// edgeCountDelay is how long after the first contact with an agent the reported count of edges is accepted.
	edgeCountDelay = 10 * time.Second
	// edgeCountTTL is how long the largest count of edges stays valid.
	edgeCountTTL = 30 * time.Minute
	// lameDuck is how long a stopping proxy still serves while it closes its connections.
	lameDuck = 3 * time.Second
	// isolationWait is how long requests wait at a proxy that has just found itself isolated.
	isolationWait   = time.Second
	pollInterval    = 20 * time.Millisecond
	maxReadyWaiters = 1000
	// agentWarmup is how long a new agent may know fewer peers than its predecessor did.
	agentWarmup   = 5 * time.Second
	peerPullCount = 3
	// isolationMargin is how long before the drain bound an isolated proxy stops sending.
	isolationMargin = 500 * time.Millisecond
	// agentTimeout is how long after the last contact with the agent the proxy asks the platform itself.
	agentTimeout = 700 * time.Millisecond
)

// Settings configures a proxy.
type Settings struct {
	Name       string
	Zone       string
	CallerAddr string // HTTP address for callers
	Agent      string // loopback address of the agent
	Platform   string
	Bounds     bounds.Bounds
	Cadence    bounds.Cadence
	Lister     inventory.Lister                     // nil lists replicas at Platform over the native API
	Replicas   backend.Client                       // nil uses the native API of replicas
	Protocol   attempt.Protocol                     // nil sends requests over the native API
	Handlers   map[string]func(*Proxy) http.Handler // additional APIs, by address
}

// Proxy is a running dsproxy.
type Proxy struct {
	settings         Settings
	env              core.Env
	log              *slog.Logger
	boot             string // ID of this start of the process
	group            *run.Group
	rootGroup        *run.Group // runs the servers; parent of group
	gossip           *gossip.Table
	routes           *route.Router
	admission        *admission.Controller
	sender           *attempt.Sender
	budget           *attempt.Budget
	replicas         backend.Client
	caller           *wire.Client
	watch            *inventory.Watcher
	servers          []*wire.Server
	reports          atomic.Uint64 // version of the last report
	urgentReport     *run.Trigger
	startedAt        time.Duration
	confirmed        atomic.Bool // the routing table is current enough to serve from
	contact          *touch.Tracker
	agentSeenAt      atomic.Int64
	agentFirstSeenAt atomic.Int64 // when the current boot of the agent was first seen
	edgeCount        atomic.Int64
	peers            atomic.Pointer[[]string]
	isolatedAt       atomic.Int64 // since when requests have found this proxy isolated; 0 if it is not
	readyWaiters     atomic.Int64 // requests waiting for the proxy to start or to regain contact
	serving          atomic.Int64 // requests in flight
	draining         atomic.Bool  // a planned stop has started: requests are served, connections are closed
	stopping         atomic.Bool  // new requests are refused
	truncated        atomic.Int64 // responses that ended before they were complete
	mu               sync.Mutex
	demand           map[string]uint64 // requests per item
	feed             feedState
	tenantStats      tenantStats
}

// Start starts a proxy. It opens all its addresses or returns an error.
func Start(s Settings, env core.Env) (*Proxy, error) {
	s.Bounds, s.Cadence = s.Bounds.OrDefault(), s.Cadence.OrDefault()
	p := &Proxy{settings: s, env: env, log: env.Log.Logger().With("node", s.Name), boot: core.NewBootID(), rootGroup: run.NewGroup(context.Background()),
		gossip: gossip.NewTable(), budget: attempt.NewBudget(s.Bounds.Retry.Ratio), replicas: s.Replicas,
		caller: wire.NewClient(env.Net), demand: map[string]uint64{}}
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
	p.watch = inventory.NewWatcher(s.Lister, env.Clock, p.log, p.gossip)
	p.contact = touch.New(env.Clock, func() time.Duration { return p.watch.SinceContact() })
	p.agentSeenAt.Store(-1 << 62)
	p.agentFirstSeenAt.Store(-1 << 62)
	p.peers.Store(&[]string{})
	p.routes = route.NewRouter(route.Deps{Group: p.group, Gossip: p.gossip, Clock: env.Clock, Replicas: p.replicas, Zone: func() string { return s.Zone },
		SinceContact: p.contact.SinceContact, Edges: func() int { return int(p.edgeCount.Load()) }, PollReplicas: s.Cadence.ProxiesPoll, Log: p.log, IsolationLimit: s.Bounds.Drain - isolationMargin})
	p.watch.Start(p.group, s.Cadence.List, func() bool { return p.sinceAgentSeen() > agentTimeout })
	misses := run.NewActor(p.group, 4, 0, nil)
	p.urgentReport = run.NewTrigger(misses, p.sendUrgentReport)
	p.admission = admission.New(p.group, p.routes, s.Cadence.NoHolderTimeout, p.urgentReport.Fire)
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

// listen opens the APIs for callers, including the native one.
func (p *Proxy) listen() error {
	at := map[string]http.Handler{}
	if p.settings.CallerAddr != "" {
		mux := httpapi.NewMuxer()
		server.New(gen.NewEndpoints(p), mux, httpapi.Decoder, httpapi.Encoder, httpapi.IgnoreEncodeError, httpapi.Formatter).Mount(mux)
		at[p.settings.CallerAddr] = p.withResponseHeaders(relay.WithReadLimit(mux, bodyReadTimeout))
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

// Stop stops accepting requests, finishes the accepted ones, and ends the proxy.
func (p *Proxy) Stop(ctx context.Context) error {
	if p.settings.Bounds.Grace > 0 {
		return p.stopWithin(ctx, p.settings.Bounds.Grace)
	}
	// Closing a connection while a caller writes to it would drop that request. So each is closed after a response
	// that announces it, and only those idle for longer than callers keep them are closed without notice.
	p.draining.Store(true)
	run.Sleep(ctx, p.lameDuck())
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

// stopWithin stops the proxy where work that is not finished after the grace period is cut off. Callers may connect
// until the end; once too little time is left, their requests are refused at once.
func (p *Proxy) stopWithin(ctx context.Context, grace time.Duration) error {
	p.draining.Store(true)
	run.Sleep(ctx, grace/4)
	p.stopping.Store(true)
	// Requests still queued for a replica now would not be finished when the grace period ends.
	run.Sleep(ctx, grace/8)
	p.admission.Close()
	for p.serving.Load() > 0 && run.Sleep(ctx, pollInterval) {
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

// lameDuck returns how long a stopping proxy still serves while it closes its connections.
func (p *Proxy) lameDuck() time.Duration {
	if g := p.settings.Bounds.Grace; g > 0 {
		return min(lameDuck, g/4)
	}
	return lameDuck
}

// Draining reports whether a planned stop has started.
func (p *Proxy) Draining() bool { return p.draining.Load() }

// headerConfVersion names the response header that holds the version of the configuration active here when the request
// arrived.
const headerConfVersion = "Drumstall-Conf"

// withResponseHeaders adds the configuration version to each response and, during a planned stop, closes the connection
// after it.
func (p *Proxy) withResponseHeaders(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if version, serves := p.ActiveConfig(); serves {
			w.Header().Set(headerConfVersion, strconv.FormatUint(version, 10))
		}
		if p.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Kill ends the proxy at once.
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

// Freeze suspends all loops of the proxy, for simulations.
func (p *Proxy) Freeze() { p.rootGroup.Freeze() }

// Thaw resumes after Freeze.
func (p *Proxy) Thaw() { p.rootGroup.Thaw() }

// ActiveConfig returns the version of the configuration that requests are served by, and
// whether requests are served at all.
func (p *Proxy) ActiveConfig() (uint64, bool) {
	return p.routes.Current().Serial, p.confirmed.Load()
}

// sinceAgentSeen returns the time since the last successful exchange with the agent.
func (p *Proxy) sinceAgentSeen() time.Duration {
	return p.env.Clock.Since() - time.Duration(p.agentSeenAt.Load())
}
