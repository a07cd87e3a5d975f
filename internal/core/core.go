// Package core assembles the dscore process: control state, membership, gossip,
// placement and the operators' API.
package core

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/flight"
	"drumstall.example/internal/kernel/load"
	"drumstall.example/internal/kernel/rest"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/version"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/operator"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/place/report/relay"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
	"drumstall.example/internal/state/coremembers"
	"drumstall.example/internal/state/owner"
)

// Settings configures a core.
type Settings struct {
	Fleet    string
	Name     string
	Zone     string
	Addr     string // peers, TCP and UDP
	Operator string // operators' HTTP
	Seeds    []string
	Folder   string
	Cores    int
	Replaces string
	Platform string
	// InitialAddrs are the addresses of the cores that form the first core set, in place
	// of a count. A core that is not listed, or without MayBootstrap, joins an existing set.
	InitialAddrs []string
	MayBootstrap bool
	Bounds       bounds.Bounds
	Cadence      bounds.Cadence
	Lister       inventory.Lister // nil queries Platform over the native API
	Replicas     backend.Client   // nil queries replicas over the native API
	// Operators holds additional operator APIs, by address.
	Operators map[string]func(operator.Control) http.Handler
}

// Env is the environment that a core runs in, real or simulated.
type Env struct {
	Net   wire.Network
	Clock tick.Clock
	FS    vfs.FS
	Log   *ring.Ring
	Build string // "" uses the build name set by the linker
}

// BuildName returns the build name that this process reports.
func (e Env) BuildName() string {
	if e.Build != "" {
		return e.Build
	}
	return version.Build
}

// Core is a running dscore.
type Core struct {
	s                   Settings
	env                 Env
	log                 *slog.Logger
	boot                string
	startedAt           time.Duration
	group               *run.Group // the core's activities; a child of base
	base                *run.Group // the layers below: servers, datagrams, disk
	acceptor            *acceptor.Acceptor
	owner               *owner.Owner
	coreSet             *coremembers.Manager
	members             *member.Table
	touch               *touch.Tracker
	gossip              *gossip.Table
	spread              *gossip.Disseminator
	planner             *plan.Planner
	reports             *report.Table
	relay               *relay.Relay
	lag                 *load.LagMonitor
	views               *plan.StatusCache
	watch               *inventory.Watcher
	replicas            backend.Client
	caller              *wire.Client
	mux                 *wire.Mux
	post                *wire.DatagramSocket
	servers             []*wire.Server
	conf                atomic.Pointer[conf.Effective]
	serial              atomic.Uint64
	checked             atomic.Pointer[checkedConf]
	confPending         atomic.Bool // a configuration has arrived and is not read yet
	confNudge           *run.Trigger
	newestStamp         *flight.Coalescer[Newest] // coalesces queries to the owner for the newest stamp
	readBackoff         rest.Throttle             // between reads of configurations; owned by the actor of confNudge
	controllers         map[string]*controlled    // owned by the actor of reconcileControllers
	controllersSnapshot atomic.Pointer[map[string]*order.Controller]
	absentSince         map[string]time.Duration
	preferred           preference
	// reconcileNudge triggers reconcileControllers at once.
	reconcileNudge *run.Trigger
	lastHolders    [state.SlotCount]atomic.Pointer[string] // name of the last known holder of each slot
}

const (
	holderProbeTimeout = 400 * time.Millisecond  // timeout for asking a core which slots it holds
	ownerCallTimeout   = 3 * time.Second         // timeout for a call to the holder of a slot
	drainTimeout       = 1500 * time.Millisecond // grace period for calls in flight when this core stops
	reconcileInterval  = 300 * time.Millisecond  // between two runs of reconcileControllers
	confReadInterval   = 100 * time.Millisecond  // between two checks for an unread configuration
)

// NewBootID returns a random identifier for one run of a process.
func NewBootID() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("cannot read random bytes: " + err.Error())
	}
	return hex.EncodeToString(b[:])
}

// Start opens the data folder, starts the servers and joins the cluster.
func Start(s Settings, env Env) (*Core, error) {
	c := &Core{s: s, env: env, log: env.Log.Logger().With("node", s.Name), boot: NewBootID(),
		base: run.NewGroup(context.Background()), gossip: gossip.NewTable(), reports: report.NewTable(),
		caller: wire.NewClient(env.Net), mux: wire.NewMux(),
		controllers: map[string]*controlled{}, absentSince: map[string]time.Duration{}}
	c.group = c.base.Child()
	c.startedAt = env.Clock.Since()
	c.s.Bounds, c.s.Cadence = s.Bounds.OrDefault(), s.Cadence.OrDefault()
	s = c.s
	if c.replicas = s.Replicas; c.replicas == nil {
		c.replicas = backend.NewNative(env.Net)
	}
	if s.Lister == nil {
		s.Lister = inventory.NewLister(env.Net, s.Platform, c.log)
	}
	c.controllersSnapshot.Store(&map[string]*order.Controller{})
	empty := conf.Empty()
	c.conf.Store(&empty)
	ln, err := env.Net.Listen(s.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "core: peers' address")
	}
	pc, err := env.Net.ListenPacket(s.Addr)
	if err != nil {
		_ = ln.Close()
		return nil, errors.Wrap(err, "core: datagram address")
	}
	servers, err := c.operatorServers()
	if err != nil {
		_, _ = ln.Close(), pc.Close()
		return nil, err
	}
	if c.acceptor, err = acceptor.Open(c.base, s.Folder, acceptor.FolderOwner{Fleet: s.Fleet, Node: s.Name}, env.FS, env.Clock, c.log); err != nil {
		_, _ = ln.Close(), pc.Close()
		for _, f := range servers {
			f.Close()
		}
		c.base.Stop()
		return nil, err
	}
	c.post = wire.NewDatagramSocket(pc)
	c.watch = inventory.NewWatcher(s.Lister, env.Clock, c.log, c.gossip)
	c.touch = touch.New(env.Clock, func() time.Duration { return c.watch.SinceContact() }, c.sinceQuorumContact)
	self := member.Node{Name: s.Name, Role: member.RoleCore, Zone: s.Zone, Addr: s.Addr, Boot: c.boot, Disk: c.acceptor.DiskID(),
		Phase: string(c.acceptor.Membership().Phase), Inc: uint64(max(env.Clock.Wall().UnixMilli(), 1)), API: s.Operator, Build: env.BuildName()}
	c.members = member.New(c.group, env.Clock, c.log, c.post, c.caller, c.mux, self, s.Seeds, c.touch)
	c.readBackoff = conf.ReadBackoff()
	c.confNudge = run.NewTrigger(run.NewActor(c.group, 4, confReadInterval, c.applyConf), c.applyConf)
	c.gossip.OnUpdate(c.onGossip)
	c.views = plan.NewStatusCache(c.gossip)
	c.spread = gossip.NewDisseminator(c.group, c.gossip, c.log, c.post, c.caller, c.mux, func() string { return s.Addr }, c.members.Peers, c.gossipTree, c.touch)
	c.acceptor.Serve(c.mux)
	ownQuarantine := s.Bounds.Lease
	if c.replicas.Traits().IdentifiesControllerByName {
		ownQuarantine = 0
	}
	c.owner = owner.New(owner.Deps{Self: c.self, Group: c.group, Clock: env.Clock, Log: c.log, Caller: c.caller, Acceptor: c.acceptor,
		Addr: c.addrOf, Rank: c.voters, OnVoterBehind: func(v state.Core) { c.coreSet.UpdateBehind(v) }, Quarantine: s.Bounds.Lease, RestartQuarantine: ownQuarantine, HandbackDelay: s.Cadence.HandbackDelay, OnAcquire: c.onSlotAcquired})
	c.lag = load.NewLagMonitor(c.group, env.Clock)
	c.planner = plan.New(plan.Deps{Group: c.group, Clock: env.Clock, Log: c.log, Self: s.Name, Cadence: s.Cadence, Store: s.Bounds.Store, Owner: c.owner, Gossip: c.gossip,
		Reports: c.reports, Conf: c.effective, Statuses: c.views.Statuses, Consider: c.consider, ConsiderAll: c.considerAll, SharePredictions: c.sharePredictions, Busy: c.lag.Busy})
	c.relay = relay.New(relay.Deps{Group: c.group, Clock: env.Clock, Cores: func() []member.Node { return c.members.Live(member.RoleCore) }, Self: s.Name, LatestReport: c.reports.Get,
		Send: func(ctx context.Context, addr string, b relay.Batch) (relay.Response, error) {
			return wire.CallEncoded[relay.Response](ctx, c.caller, addr, relay.Path, wire.EncodeMessage(b))
		}, Busy: c.lag.Busy})
	c.coreSet = coremembers.New(coremembers.Deps{Self: c.self, FormationSize: s.Cores, InitialAddrs: s.InitialAddrs, MayBootstrap: s.MayBootstrap, TargetSize: 2*s.Bounds.ToleratedCores + 1, Replaces: s.Replaces, Group: c.group, Log: c.log, Caller: c.caller,
		Acceptor: c.acceptor, Owner: c.owner, Live: c.liveCores, Addr: c.addrOf, Absence: c.absence, SinceContact: c.sinceContact}, c.mux)
	c.watch.Start(c.group, s.Cadence.List, func() bool { return true })
	c.newestStamp = flight.New(c.group, func(ctx context.Context) (Newest, error) {
		ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		defer cancel()
		return c.queryNewest(ctx, NewestQuery{StampOnly: true})
	})
	c.registerHandlers()
	tending := run.NewActor(c.group, 4, reconcileInterval, func() { c.reconcileControllers(c.group.Context()) })
	c.reconcileNudge = run.NewTrigger(tending, func() { c.reconcileControllers(c.group.Context()) })
	c.group.Every(200*time.Millisecond, func(context.Context) {
		phase := string(c.acceptor.Membership().Phase)
		if c.acceptor.DiskFailed() {
			phase = "sick"
		}
		disk := c.acceptor.DiskID()
		c.members.SetSelf(func(n *member.Node) { n.Phase, n.Disk = phase, disk })
	})
	load.StartLogging(c.group, c.log, c.mux.Stats, c.post.Stats)
	c.base.Go(c.post.Run)
	for _, srv := range append([]*wire.Server{wire.NewServer(ln, c.mux)}, servers...) {
		c.servers = append(c.servers, srv)
		c.base.Go(srv.Run)
	}
	return c, nil
}

// operatorServers opens the listeners of the operator APIs, including the native one.
func (c *Core) operatorServers() ([]*wire.Server, error) {
	at := map[string]http.Handler{}
	if c.s.Operator != "" {
		at[c.s.Operator] = operator.NewHandler(c, c.env.Log)
	}
	for addr, handler := range c.s.Operators {
		at[addr] = handler(c)
	}
	var out []*wire.Server
	for addr, h := range at {
		ln, err := c.env.Net.Listen(addr)
		if err != nil {
			for _, f := range out {
				f.Close()
			}
			return nil, errors.Wrap(err, "core: operators' address")
		}
		out = append(out, wire.NewServer(ln, h))
	}
	return out, nil
}

// Reseed replaces the seed addresses.
func (c *Core) Reseed(seeds []string) { c.members.SetSeeds(seeds) }

// Stop shuts down cleanly: it hands over the slots, leaves the cluster, drains the servers and closes everything.
func (c *Core) Stop(ctx context.Context) error {
	c.coreSet.Stop()
	c.owner.Stop(ctx)
	c.members.Leave(ctx)
	// Calls in flight are short; without this limit, draining would also wait for connections without a call in flight.
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for _, s := range c.servers {
		_ = s.Drain(drainCtx)
	}
	return c.Kill()
}

// Kill stops at once; to its peers it looks like a crash.
func (c *Core) Kill() error {
	c.post.Close()
	for _, s := range c.servers {
		s.Close()
	}
	c.group.Stop()
	c.base.Stop()
	c.caller.Close()
	c.replicas.Close()
	c.watch.Close()
	return c.acceptor.Close()
}

// Freeze pauses everything this core does until Thaw; simulations use it.
func (c *Core) Freeze() { c.base.Freeze() }

// Thaw resumes a frozen core.
func (c *Core) Thaw() { c.base.Thaw() }

// Held returns the slots that this core holds now, with their epochs.
func (c *Core) Held() map[int]uint64 { return c.owner.Held() }

// Phase returns this core's membership phase on the way to voting.
func (c *Core) Phase() acceptor.Phase { return c.acceptor.Membership().Phase }

// Sick reports whether the disk has failed, in which case the process may exit.
func (c *Core) Sick() bool { return c.acceptor.DiskFailed() }
