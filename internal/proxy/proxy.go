// Package proxy puts a dsproxy together: the visitors' face, gate, shots,
// relay, and the feed from the agent beside it.
package proxy

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/gen/http/visitor/server"
	gen "drumstall.example/gen/visitor"
	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/core"
	"drumstall.example/internal/feed"
	"drumstall.example/internal/gate"
	"drumstall.example/internal/holding"
	"drumstall.example/internal/kernel/face"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/news"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/platform"
	"drumstall.example/internal/relay"
	"drumstall.example/internal/route"
	"drumstall.example/internal/shot"
)

const (
	feedBeat  = 100 * time.Millisecond
	feedLimit = time.Second
	mendBeat  = 400 * time.Millisecond
	bodyLimit = 15 * time.Second
	stall     = 30 * time.Second
	maxShots  = 3
	// unknownEdges is how many edges a proxy supposes before it has been told for a while.
	unknownEdges = 16
	// settled is how long an agent must have been there for its count of edges to be believed.
	settled = 10 * time.Second
	// edgesLast is how long the largest count of edges holds.
	edgesLast = 30 * time.Minute
	// lameDuck is how long a stopping proxy still serves while it lets go of its conns.
	lameDuck = 3 * time.Second
	// wakeFor is how long requests wait for a proxy that has just found itself out of touch.
	wakeFor   = time.Second
	wakeBeat  = 20 * time.Millisecond
	maxWaking = 1000
	// agentYoung is how long a new agent may know less than those its predecessor knew.
	agentYoung = 5 * time.Second
	mendWith   = 3
	// agentLost is after how long without the agent the proxy asks the platform itself.
	agentLost = 700 * time.Millisecond
)

// Settings of a proxy.
type Settings struct {
	Name     string
	Zone     string
	Visitors string // visitors' HTTP
	Agent    string // the agent's loopback address
	Platform string
}

// Proxy is a running dsproxy.
type Proxy struct {
	s         Settings
	env       core.Env
	log       *slog.Logger
	boot      string
	group     *run.Group
	base      *run.Group
	news      *news.Table
	routes    *route.Keeper
	gate      *gate.Gate
	shooter   *shot.Shooter
	budget    *shot.Budget
	conn      *backend.Conn
	caller    *wire.Caller
	watch     *platform.Watch
	server    *wire.Server
	confirmed atomic.Bool
	touch     *touch.Keeper
	agentSeen atomic.Int64
	agentNew  atomic.Int64 // when the agent was first heard under its boot
	edges     atomic.Int64
	partners  atomic.Pointer[[]string]
	deafAt    atomic.Int64 // since when a request has found this proxy out of touch; 0 is not
	waking    atomic.Int64 // requests that wait for it to be in touch again
	leaving   atomic.Bool  // a planned stop has begun: serve, but let go of conns
	stopping  atomic.Bool
	cut       atomic.Int64
	mu        sync.Mutex
	demand    map[string]uint64
	feed      struct { // owned by the feed's beat
		agentBoot string
		cursor    uint64
		mine      uint64
		all       bool
		serial    uint64
		first     time.Duration // when an agent was first heard
		since     time.Duration // when the count of edges was last settled
		most      int           // the largest count since then
	}
}

// Start begins to serve.
func Start(s Settings, env core.Env) (*Proxy, error) {
	p := &Proxy{s: s, env: env, log: env.Log.Logger().With("node", s.Name), boot: core.NewBoot(), base: run.NewGroup(context.Background()),
		news: news.NewTable(), shooter: shot.NewShooter(env.Net, stall), budget: shot.NewBudget(), conn: backend.NewConn(env.Net),
		caller: wire.NewCaller(env.Net), demand: map[string]uint64{}}
	p.group = p.base.Child()
	p.edges.Store(unknownEdges)
	p.touch = touch.New(env.Clock, func() time.Duration { return p.watch.HeardFor() })
	p.agentSeen.Store(-1 << 62)
	p.agentNew.Store(-1 << 62)
	p.partners.Store(&[]string{})
	ln, err := env.Net.Listen(s.Visitors)
	if err != nil {
		return nil, errors.Wrap(err, "proxy: visitors' address")
	}
	p.routes = route.NewKeeper(p.group, p.news, env.Clock, p.conn, func() string { return s.Zone }, p.touch.For, func() int { return int(p.edges.Load()) })
	p.watch = platform.NewWatch(p.group, env.Net, s.Platform, env.Clock, p.log, p.news, func() bool { return p.agentFor() > agentLost })
	p.gate = gate.New(p.group, p.routes)
	p.group.Every(feedBeat, p.exchange)
	p.group.Every(mendBeat, p.mend)
	mux := face.NewMuxer()
	server.New(gen.NewEndpoints(p), mux, face.Decoder, face.Encoder, face.Quiet, face.Formatter).Mount(mux)
	p.server = wire.NewServer(ln, p.lettingGo(relay.WithReadLimit(mux, bodyLimit)))
	p.base.Go(p.server.Run)
	return p, nil
}

// Stop takes no new requests, finishes the accepted ones, and ends.
func (p *Proxy) Stop(ctx context.Context) error {
	// Why: a conn closed while a caller writes to it drops that request. So each conn is closed after an
	// answer that says so, and only conns idle for longer than callers keep them are closed unasked.
	p.leaving.Store(true)
	run.Wait(ctx, lameDuck)
	p.server.Quiesce(ctx, lameDuck)
	p.stopping.Store(true)
	err := p.server.Drain(ctx)
	p.Kill()
	return err
}

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
	p.server.Close()
	p.group.Stop()
	p.base.Stop()
	p.shooter.Close()
	p.conn.Close()
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
	return p.routes.Now().Serial, p.confirmed.Load()
}

func (p *Proxy) agentFor() time.Duration {
	return p.env.Clock.Since() - time.Duration(p.agentSeen.Load())
}

// mend gets news from the agent's partners while the agent is away, or so new
// that it may know nobody yet: a configuration must come into force here all the same.
func (p *Proxy) mend(ctx context.Context) {
	to := slices.Clone(*p.partners.Load())
	if p.agentFor() <= agentLost && p.env.Clock.Since()-time.Duration(p.agentNew.Load()) > agentYoung || len(to) == 0 {
		return
	}
	// Why: some of them may be down as well; one that answers is enough.
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	to = to[:min(len(to), mendWith)]
	asked := p.env.Clock.Since()
	ch := run.Fan(p.group, len(to), func(ctx context.Context, i int) touch.Word {
		ctx, cancel := context.WithTimeout(ctx, mendBeat)
		defer cancel()
		return news.Mend(ctx, p.caller, p.news, to[i], "")
	})
	for range to {
		p.touch.Told(asked, <-ch)
	}
}

// exchange trades news and reports with the agent.
func (p *Proxy) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, feedLimit)
	defer cancel()
	f := &p.feed
	f.serial++
	snap := p.routes.Now()
	up := feed.Up{Boot: p.boot, AgentBoot: f.agentBoot, Cursor: f.cursor, Confirmed: p.confirmed.Load(), Conf: snap.Stamp}
	fresh, mine, _ := p.news.After(f.mine)
	for _, e := range fresh {
		if f.all || strings.HasPrefix(e.Key, platform.MarkKey("")) {
			up.Entries = append(up.Entries, e)
		}
	}
	// Why: an agent that was started anew while all seeds are down would stay alone.
	if time.Duration(p.agentSeen.Load()) < time.Duration(p.agentNew.Load())+time.Second {
		up.Partners = *p.partners.Load()
	}
	up.Report = report.Report{Boot: p.boot, Serial: f.serial, Conf: snap.Serial, Demand: p.demands(), Inflight: p.routes.Inflight(),
		Waiting: p.gate.Waiting(), Acked: snap.Acked, Zone: p.s.Zone, Serving: p.confirmed.Load()}
	asked := p.env.Clock.Since()
	down, err := wire.Call[feed.Up, feed.Down](ctx, p.caller, p.s.Agent, feed.Path, up)
	if err != nil {
		return
	}
	f.mine, f.all = mine, false
	if down.WantAll {
		// Why: the agent lost its table; ours may be newer than any it can get elsewhere.
		f.mine, f.all = 0, true
	}
	if f.agentBoot != "" && f.agentBoot != down.AgentBoot {
		p.agentNew.Store(int64(asked))
	}
	f.agentBoot, f.cursor = down.AgentBoot, down.Cursor
	for _, e := range down.Entries {
		p.news.Put(e)
	}
	if !p.routes.Deaf() {
		p.deafAt.Store(0)
	}
	p.countEdges(down.Edges, asked)
	// Why: a new agent that knows few must not make us forget whom the one before it knew.
	if young := asked-time.Duration(p.agentNew.Load()) < agentYoung; len(down.Partners) > 0 && (!young || len(down.Partners) >= len(*p.partners.Load())) {
		p.partners.Store(&down.Partners)
	}
	p.agentSeen.Store(int64(asked))
	p.touch.Told(asked, touch.Word(down.HeardMs+1))
	// Why: a proxy just started serves on nothing until it has what was in force before.
	if down.Confirmed && !p.confirmed.Load() && !down.Conf.Newer(p.news.StampOf(conf.Key)) {
		p.confirmed.Store(true)
	}
}

// countEdges keeps the largest count of edges seen lately. Why: edges cut apart
// each see only themselves, and together must keep to one allowance all the same.
func (p *Proxy) countEdges(n int, now time.Duration) {
	f := &p.feed
	if f.first == 0 {
		f.first = now
	}
	f.most = max(f.most, n)
	switch {
	case now-f.first < settled:
		return
	case int64(f.most) > p.edges.Load() || f.since == 0 || now-f.since > edgesLast:
		p.edges.Store(int64(max(1, f.most)))
		f.since, f.most = now, n
	}
}

func (p *Proxy) demands() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.demand)
}

func (p *Proxy) count(item conf.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand[item.Model]++
	if item.Adapter != "" {
		p.demand[item.String()]++
	}
}

func drop(name, detail string, outcome shot.Outcome, retryS int) error {
	d := &gen.Drop{Name: name, Detail: detail, Outcome: string(outcome)}
	if retryS > 0 {
		s := strconv.Itoa(retryS)
		d.RetryAfter = &s
	}
	return d
}

// Vitals tells whether this proxy serves.
func (p *Proxy) Vitals(context.Context) (map[string]string, error) {
	serial, serving := p.InForce()
	if !serving || p.leaving.Load() {
		return nil, drop("full", "not serving yet, or no more", shot.NotRun, 1)
	}
	return map[string]string{"node": p.s.Name, "conf": strconv.FormatUint(serial, 10), "shots": strconv.FormatInt(p.gate.Shots(), 10),
		"cut": strconv.FormatInt(p.cut.Load(), 10)}, nil
}

// Shoot takes a visitor's request through all stages.
func (p *Proxy) Shoot(ctx context.Context, q *gen.ShootPayload, body io.ReadCloser) (*gen.ShootResult, io.ReadCloser, error) {
	defer body.Close()
	began := time.Now()
	if !p.confirmed.Load() || p.stopping.Load() {
		return nil, nil, drop("full", "not serving yet, or no more", shot.NotRun, 1)
	}
	// Why: it could not learn that a replica is leaving, so it may send to none; waiting would change nothing.
	if !p.inTouch(ctx) {
		return nil, nil, drop("full", "this proxy hears nobody who would tell it of leaving replicas", shot.NotRun, 2)
	}
	target, class, err := p.target(q)
	if err != nil {
		return nil, nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(body, target.Route.MaxBody+1))
	if err != nil {
		return nil, nil, drop("bad", "the body broke off or stalled", shot.NotRun, 0)
	}
	relay.BodyRead(ctx)
	if int64(len(raw)) > target.Route.MaxBody {
		return nil, nil, drop("too_large", fmt.Sprintf("a body on this route has at most %d bytes", target.Route.MaxBody), shot.NotRun, 0)
	}
	if target.Route.Kind == "model" {
		target.Prompt = route.ReadPrompt(target.Item.String(), raw)
	}
	deadline := began.Add(target.Route.Deadline)
	if q.DeadlineMs != nil {
		if own := time.Duration(*q.DeadlineMs) * time.Millisecond; own > 0 && own < target.Route.Deadline {
			deadline = began.Add(own)
		}
	}
	if target.Route.Kind == "model" {
		p.count(target.Item)
	}
	return p.shoot(ctx, q, target, class, raw, deadline)
}

// inTouch says whether this proxy may send to replicas. Why: a machine that has
// just woken is out of touch for a moment only, and what waited at its door need not be
// turned away for that; after a second nobody waits any more.
func (p *Proxy) inTouch(ctx context.Context) bool {
	if !p.routes.Deaf() {
		return true
	}
	defer p.waking.Add(-1)
	if p.waking.Add(1) > maxWaking {
		return false
	}
	for p.routes.Deaf() {
		now := p.env.Clock.Since()
		p.deafAt.CompareAndSwap(0, int64(now))
		if now-time.Duration(p.deafAt.Load()) > wakeFor || !run.Wait(ctx, wakeBeat) {
			return false
		}
	}
	return true
}

// target finds what the request names.
func (p *Proxy) target(q *gen.ShootPayload) (route.Target, string, error) {
	cfg := p.routes.Now().Conf
	r, found := cfg.Routes[q.Route]
	if !found {
		return route.Target{}, "", drop("unknown_target", "no route "+q.Route, shot.NotRun, 0)
	}
	t := route.Target{Route: r}
	if r.Kind != "model" {
		return t, r.Class, nil
	}
	if q.Model == nil || *q.Model == "" {
		return t, "", drop("bad", "the route leads to models and the request names none", shot.NotRun, 0)
	}
	t.Item.Model = *q.Model
	m, found := cfg.Models[t.Item.Model]
	if !found {
		return t, "", drop("unknown_target", "no model "+t.Item.Model, shot.NotRun, 0)
	}
	if q.Adapter != nil && *q.Adapter != "" {
		t.Item.Adapter = *q.Adapter
		if !m.Adapters[t.Item.Adapter] {
			return t, "", drop("unknown_target", "model "+t.Item.Model+" has no adapter "+t.Item.Adapter, shot.NotRun, 0)
		}
	}
	return t, r.Class, nil
}

// service is what retries are counted against.
func service(t route.Target) string {
	if t.Route.Kind == "model" {
		return "models"
	}
	return t.Lane()
}

func (p *Proxy) shoot(ctx context.Context, q *gen.ShootPayload, t route.Target, class string, raw []byte, deadline time.Time) (*gen.ShootResult, io.ReadCloser, error) {
	svc := service(t)
	sofar := shot.NotRun
	ticket := ""
	if q.Ticket != nil {
		ticket = *q.Ticket
	}
	kept := false // a retry is set aside for this request
	defer func() {
		if kept {
			p.budget.Return(svc)
		}
	}()
	for n := 1; ; n++ {
		a := p.gate.Enter(ctx, t, class, deadline)
		if a.Replica == nil {
			return nil, nil, p.turnedAway(a, sofar)
		}
		// Why: a retry is only one once an earlier shot may have reached the service; still every
		// one counts, since the service cannot tell.
		switch {
		case n == 1:
		case kept:
			p.budget.Spend(svc)
			kept = false
		case !p.budget.Retry(svc):
			a.Done()
			return nil, nil, gaveUp("the budget for retries is used up", sofar)
		}
		id := a.Replica.Listed.ID
		shotAt := time.Now()
		firstBy, early := p.firstBy(t, class, a.Replica, n, shotAt, deadline)
		kept = early
		reply, problem := p.shooter.Shoot(ctx, shot.Request{Addr: a.Replica.Listed.Addr, Model: t.Item.Model, Adapter: t.Item.Adapter, Ticket: ticket,
			ContentType: "application/json", Body: raw, Shot: n, FirstBy: firstBy, Sendable: func() bool { return p.routes.Sendable(id) }})
		if n == 1 {
			p.budget.First(svc, p.share())
		}
		if problem == nil {
			a.Replica.Live.First(time.Since(shotAt))
			return &gen.ShootResult{Outcome: string(shot.Ran), ContentType: reply.ContentType, Replica: id}, relay.New(reply, &p.cut, a.Done), nil
		}
		a.Done()
		switch silent := problem.Outcome == shot.Unknown && !time.Now().Before(firstBy); {
		case silent && early:
			// Why: a replica that has become slower must not be taken for silent for ever.
			a.Replica.Live.First(time.Since(shotAt))
			p.routes.Silent(a.Replica)
		case problem.Said:
			p.routes.Full(a.Replica)
		case silent, problem.Refused:
			p.routes.Refused(a.Replica)
		}
		if problem.Outcome == shot.Unknown {
			sofar = shot.Unknown
		}
		again := problem.Outcome == shot.NotRun || problem.Outcome == shot.Unknown && t.Route.Repeatable
		late := !time.Now().Before(deadline) || ctx.Err() != nil
		switch {
		case problem.Outcome == shot.Ran:
			return nil, nil, drop("lost", problem.Why, shot.Ran, 0)
		case late:
			return nil, nil, drop("too_late", problem.Why, sofar, 1)
		case !again || n >= maxShots:
			return nil, nil, gaveUp(problem.Why, sofar)
		}
	}
}

// firstBy is by when a shot's first piece must have come. early says that this is
// sooner than anything but the replica's own habit asks for.
func (p *Proxy) firstBy(t route.Target, class string, r *route.Replica, n int, now, deadline time.Time) (by time.Time, early bool) {
	if !t.Route.Repeatable || n >= maxShots || !p.routes.Now().Conf.Classes[class].Urgent {
		return deadline, false
	}
	// Why: a replica that went dark would eat an urgent request's whole deadline; half of it leaves time for another.
	by = now.Add(deadline.Sub(now) / 2)
	// Why: the first honest sign that a replica stands still is that it is silent for longer than it has been of
	// late. It is given up for that only where another could answer, and with a retry set aside: one that somebody
	// else took meanwhile would leave this request without any answer.
	if own := r.Live.Patience(); own > 0 && now.Add(own).Before(by) && p.routes.Others(t, r.Listed.ID) && p.budget.Keep(service(t)) {
		return now.Add(own), true
	}
	return by, false
}

// gaveUp is the final answer of a request that is not shot again.
func gaveUp(why string, sofar shot.Outcome) error {
	// Why: one that has surely not run is as good as one turned away at the gate, and its caller is told the same way.
	if sofar == shot.NotRun {
		return drop("full", why, sofar, 2)
	}
	return drop("lost", why, sofar, 2)
}

func (p *Proxy) share() float64 {
	return float64(p.routes.Now().Conf.Limits.RetryAllowance) / float64(p.edges.Load())
}

// turnedAway is the final answer of a request that got no replica.
func (p *Proxy) turnedAway(a holding.Answer, sofar shot.Outcome) error {
	name := "full"
	if a.Late {
		name = "too_late"
	}
	// Why: an earlier shot of the same request may have run, and that is what counts.
	return drop(name, a.Why, sofar, a.RetryS)
}
