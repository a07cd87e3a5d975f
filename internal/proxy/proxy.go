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
	feedBusyGap   = 100 * time.Millisecond
	feedWaitedGap = 20 * time.Millisecond
	feedBusy      = 50 * time.Millisecond
	// reportEvery is how often a report goes to the agent, and reportGap how soon after another when what is in force has changed.
	reportEvery = 200 * time.Millisecond
	reportGap   = 50 * time.Millisecond
	feedLimit   = time.Second
	// missGap is the least time between two urgent reports.
	missGap      = 5 * time.Millisecond
	mendInterval = 400 * time.Millisecond
	bodyLimit    = 15 * time.Second
	stall        = 30 * time.Second
	// unknownEdges is how many edges a proxy supposes before it has been told for a while.
	unknownEdges = 16
	// settled is how long an agent must have been there for its count of edges to be believed.
	settled = 10 * time.Second
	// edgesLast is how long the largest count of edges holds.
	edgesLast = 30 * time.Minute
	// lameDuck is how long a stopping proxy still serves while it lets go of its connections.
	lameDuck = 3 * time.Second
	// wakeFor is how long requests wait for a proxy that has just found itself out of touch.
	wakeFor      = time.Second
	wakeInterval = 20 * time.Millisecond
	maxWaking    = 1000
	// agentYoung is how long a new agent may know less than those its predecessor knew.
	agentYoung = 5 * time.Second
	mendWith   = 3
	// deafMargin is how long before the bound on draining a proxy that hears nobody stops sending.
	deafMargin = 500 * time.Millisecond
	// agentLost is after how long without the agent the proxy asks the platform itself.
	agentLost = 700 * time.Millisecond
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
	s         Settings
	env       core.Env
	log       *slog.Logger
	boot      string
	group     *run.Group
	base      *run.Group
	gossip    *gossip.Table
	routes    *route.Router
	admission *admission.Controller
	sender    *attempt.Sender
	budget    *attempt.Budget
	replicas  backend.Client
	caller    *wire.Caller
	watch     *inventory.Watch
	servers   []*wire.Server
	reports   atomic.Uint64
	missed    *run.Nudge
	began     time.Duration
	confirmed atomic.Bool
	touch     *touch.Keeper
	agentSeen atomic.Int64
	agentNew  atomic.Int64 // when the agent was first heard under its boot
	edges     atomic.Int64
	peers     atomic.Pointer[[]string]
	deafAt    atomic.Int64 // since when a request has found this proxy out of touch; 0 is not
	waking    atomic.Int64 // requests that wait for it to be in touch again
	serving   atomic.Int64 // requests that are being served
	leaving   atomic.Bool  // a planned stop has begun: serve, but let go of connections
	stopping  atomic.Bool
	cut       atomic.Int64
	mu        sync.Mutex
	demand    map[string]uint64
	feed      feedState
	figures   tenantFigures
}

// Start begins to serve.
func Start(s Settings, env core.Env) (*Proxy, error) {
	s.Bounds, s.Cadence = s.Bounds.OrDefault(), s.Cadence.OrDefault()
	p := &Proxy{s: s, env: env, log: env.Log.Logger().With("node", s.Name), boot: core.NewBoot(), base: run.NewGroup(context.Background()),
		gossip: gossip.NewTable(), budget: attempt.NewBudget(s.Bounds.Retry.Ratio), replicas: s.Replicas,
		caller: wire.NewCaller(env.Net), demand: map[string]uint64{}}
	p.group = p.base.Child()
	p.began = env.Clock.Since()
	if s.Protocol == nil {
		s.Protocol = attempt.Native{}
	}
	p.sender = attempt.NewSender(env.Net, s.Protocol, stall)
	if p.replicas == nil {
		p.replicas = backend.NewNative(env.Net)
	}
	if s.Lister == nil {
		s.Lister = inventory.NewLister(env.Net, s.Platform, p.log)
	}
	p.edges.Store(unknownEdges)
	p.watch = inventory.NewWatch(s.Lister, env.Clock, p.log, p.gossip)
	p.touch = touch.New(env.Clock, func() time.Duration { return p.watch.HeardFor() })
	p.agentSeen.Store(-1 << 62)
	p.agentNew.Store(-1 << 62)
	p.peers.Store(&[]string{})
	p.routes = route.NewRouter(route.Deps{Group: p.group, Gossip: p.gossip, Clock: env.Clock, Replicas: p.replicas, Zone: func() string { return s.Zone },
		SinceContact: p.touch.For, Edges: func() int { return int(p.edges.Load()) }, PollReplicas: s.Cadence.ProxiesAsk, Log: p.log, Deaf: s.Bounds.Drain - deafMargin})
	p.watch.Start(p.group, s.Cadence.List, func() bool { return p.agentFor() > agentLost })
	misses := run.NewActor(p.group, 4, 0, nil)
	p.missed = run.NewNudge(misses, p.tellMiss)
	p.admission = admission.New(p.group, p.routes, s.Cadence.Hold, p.missed.Now)
	if err := p.listen(); err != nil {
		p.group.Stop()
		p.base.Stop()
		return nil, err
	}
	p.group.Repeat(feedGap, p.exchange)
	p.group.Every(mendInterval, p.mend)
	for _, srv := range p.servers {
		p.base.Go(srv.Run)
	}
	return p, nil
}

// listen opens the APIs for callers, the design's own among them.
func (p *Proxy) listen() error {
	at := map[string]http.Handler{}
	if p.s.Callers != "" {
		mux := httpapi.NewMuxer()
		server.New(gen.NewEndpoints(p), mux, httpapi.Decoder, httpapi.Encoder, httpapi.Quiet, httpapi.Formatter).Mount(mux)
		at[p.s.Callers] = p.lettingGo(relay.WithReadLimit(mux, bodyLimit))
	}
	for addr, f := range p.s.Handlers {
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
	if p.s.Bounds.Grace > 0 {
		return p.stopWithin(ctx, p.s.Bounds.Grace)
	}
	// Why: a connection closed while a caller writes to it drops that request. So each is closed after an
	// answer that says so, and only those idle for longer than callers keep them are closed unasked.
	p.leaving.Store(true)
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
	p.leaving.Store(true)
	run.Wait(ctx, grace/4)
	p.stopping.Store(true)
	// Why: what waits for a replica now would still be at work when the grace ends.
	run.Wait(ctx, grace/8)
	p.admission.Close()
	for p.serving.Load() > 0 && run.Wait(ctx, wakeInterval) {
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
	if g := p.s.Bounds.Grace; g > 0 {
		return min(lameDuck, g/4)
	}
	return lameDuck
}

// Leaving says that a planned stop has begun.
func (p *Proxy) Leaving() bool { return p.leaving.Load() }

// headerConf is on every answer: the configuration in force here when its request came.
const headerConf = "Drumstall-Conf"

func (p *Proxy) lettingGo(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if serial, serves := p.InForce(); serves {
			w.Header().Set(headerConf, strconv.FormatUint(serial, 10))
		}
		if p.leaving.Load() {
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
	p.base.Stop()
	p.sender.Close()
	p.replicas.Close()
	p.caller.Close()
	p.watch.Close()
}

// Freeze and Thaw are for simulations.
func (p *Proxy) Freeze() { p.base.Freeze() }

// Thaw ends a freeze.
func (p *Proxy) Thaw() { p.base.Thaw() }

// InForce is the serial of the configuration requests are served by, and
// whether any are.
func (p *Proxy) InForce() (uint64, bool) {
	return p.routes.Current().Serial, p.confirmed.Load()
}

func (p *Proxy) agentFor() time.Duration {
	return p.env.Clock.Since() - time.Duration(p.agentSeen.Load())
}
