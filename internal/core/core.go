// Package core puts a dscore together: control state, membership, news,
// placement and the operators' face.
package core

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"maps"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/share"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/version"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member"
	"drumstall.example/internal/member/touch"
	"drumstall.example/internal/news"
	"drumstall.example/internal/operator"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/plan"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/platform"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
	"drumstall.example/internal/state/coreset"
	"drumstall.example/internal/state/owner"
)

// Settings of a core.
type Settings struct {
	Fleet    string
	Name     string
	Zone     string
	Addr     string // partners, TCP and UDP
	Operator string // operators' HTTP
	Seeds    []string
	Folder   string
	Cores    int
	Replaces string
	Platform string
}

// Env is the machine a core runs on, real or simulated.
type Env struct {
	Net   wire.Net
	Clock tick.Clock
	FS    vfs.FS
	Log   *ring.Ring
	Build string // "" is the linker's
}

// BuildName is what this process calls its build.
func (e Env) BuildName() string {
	if e.Build != "" {
		return e.Build
	}
	return version.Build
}

// Core is a running dscore.
type Core struct {
	s       Settings
	env     Env
	log     *slog.Logger
	boot    string
	group   *run.Group // what this core does
	base    *run.Group // what it stands on: servers, datagrams, disk
	acc     *acceptor.Acceptor
	own     *owner.Owner
	set     *coreset.Keeper
	members *member.Table
	touch   *touch.Keeper
	news    *news.Table
	spread  *news.Spreader
	planner *plan.Planner
	reports *report.Table
	watch   *platform.Watch
	conn    *backend.Conn
	caller  *wire.Caller
	mux     *wire.Mux
	post    *wire.Post
	servers []*wire.Server
	conf    atomic.Pointer[conf.Effective]
	serial  atomic.Uint64
	wards   map[string]*warded // owned by the ward desk
	wardNow atomic.Pointer[map[string]*order.Ward]
	absent  map[string]time.Duration
	holders [state.Slots]atomic.Pointer[string] // who held each slot when last asked
}

const (
	probeFor = 400 * time.Millisecond // for asking who holds a slot
	ownerFor = 3 * time.Second        // for what is done at the holder
)

type warded struct {
	ward  *order.Ward
	group *run.Group
}

// NewBoot is a fresh identity for a process.
func NewBoot() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("no randomness: " + err.Error())
	}
	return hex.EncodeToString(b[:])
}

// Start opens the data folder and begins to take part.
func Start(s Settings, env Env) (*Core, error) {
	c := &Core{s: s, env: env, log: env.Log.Logger().With("node", s.Name), boot: NewBoot(),
		base: run.NewGroup(context.Background()), news: news.NewTable(), reports: report.NewTable(),
		conn: backend.NewConn(env.Net), caller: wire.NewCaller(env.Net), mux: wire.NewMux(),
		wards: map[string]*warded{}, absent: map[string]time.Duration{}}
	c.group = c.base.Child()
	c.wardNow.Store(&map[string]*order.Ward{})
	empty := conf.Empty()
	c.conf.Store(&empty)
	ln, err := env.Net.Listen(s.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "core: partners' address")
	}
	pc, err := env.Net.ListenPacket(s.Addr)
	if err != nil {
		_ = ln.Close()
		return nil, errors.Wrap(err, "core: datagram address")
	}
	opln, err := env.Net.Listen(s.Operator)
	if err != nil {
		_, _ = ln.Close(), pc.Close()
		return nil, errors.Wrap(err, "core: operators' address")
	}
	if c.acc, err = acceptor.Open(c.base, s.Folder, acceptor.Whose{Fleet: s.Fleet, Node: s.Name}, env.FS, env.Clock, c.log); err != nil {
		_, _, _ = ln.Close(), pc.Close(), opln.Close()
		c.base.Stop()
		return nil, err
	}
	c.post = wire.NewPost(pc)
	c.touch = touch.New(env.Clock, func() time.Duration { return c.watch.HeardFor() }, c.heardMost)
	self := member.Node{Name: s.Name, Role: member.RoleCore, Zone: s.Zone, Addr: s.Addr, Boot: c.boot, Disk: c.acc.Disk(),
		Phase: string(c.acc.Standing().Phase), Inc: uint64(max(env.Clock.Wall().UnixMilli(), 1)), Face: s.Operator, Build: env.BuildName()}
	c.members = member.New(c.group, env.Clock, c.log, c.post, c.caller, c.mux, self, s.Seeds, c.touch)
	c.news.OnNew(c.onNews)
	c.spread = news.NewSpreader(c.group, c.news, c.log, c.post, c.caller, c.mux, func() string { return s.Addr }, c.members.Partners, c.touch)
	c.acc.Serve(c.mux)
	c.own = owner.New(owner.Deps{Self: c.self, Group: c.group, Clock: env.Clock, Log: c.log, Caller: c.caller, Acceptor: c.acc,
		Addr: c.addrOf, Rank: c.voters, Behind: func(v state.Core) { c.set.Behind(v) }, OnTake: c.onTake})
	c.planner = plan.New(plan.Deps{Group: c.group, Clock: env.Clock, Log: c.log, Self: s.Name, Owner: c.own, News: c.news,
		Reports: c.reports, Conf: c.effective, Ask: c.consider, Tell: c.tellShared})
	c.set = coreset.New(coreset.Deps{Self: c.self, Want: s.Cores, Replaces: s.Replaces, Group: c.group, Log: c.log, Caller: c.caller,
		Acceptor: c.acc, Owner: c.own, Live: c.liveCores, Addr: c.addrOf}, c.mux)
	c.watch = platform.NewWatch(c.group, env.Net, s.Platform, env.Clock, c.log, c.news, func() bool { return true })
	c.serve()
	c.group.Every(300*time.Millisecond, c.tend)
	c.group.Every(200*time.Millisecond, func(context.Context) {
		phase := string(c.acc.Standing().Phase)
		if c.acc.Sick() {
			phase = "sick"
		}
		c.members.SetSelf(func(n *member.Node) { n.Phase = phase })
	})
	c.base.Go(c.post.Run)
	for _, srv := range []*wire.Server{wire.NewServer(ln, c.mux), wire.NewServer(opln, operator.NewHandler(c, env.Log))} {
		c.servers = append(c.servers, srv)
		c.base.Go(srv.Run)
	}
	return c, nil
}

// Stop ends cleanly: slots are handed over, then all is let go.
func (c *Core) Stop(ctx context.Context) error {
	c.own.Stop(ctx)
	c.members.Leave(ctx)
	for _, s := range c.servers {
		_ = s.Drain(ctx)
	}
	return c.Kill()
}

// Kill ends at once, as a crash does for everyone else.
func (c *Core) Kill() error {
	c.post.Close()
	for _, s := range c.servers {
		s.Close()
	}
	c.group.Stop()
	c.base.Stop()
	c.caller.Close()
	c.conn.Close()
	c.watch.Close()
	return c.acc.Close()
}

// Freeze and Thaw stop and go on with everything this core does; simulations use them.
func (c *Core) Freeze() { c.base.Freeze() }

// Thaw ends a freeze.
func (c *Core) Thaw() { c.base.Thaw() }

// Held lists the slots this core holds now, with their epochs.
func (c *Core) Held() map[int]uint64 { return c.own.Held() }

// Phase is how far this core has come towards voting.
func (c *Core) Phase() acceptor.Phase { return c.acc.Standing().Phase }

// Sick says whether the disk has failed, so that the process may end.
func (c *Core) Sick() bool { return c.acc.Sick() }

func (c *Core) self() state.Core {
	return state.Core{Name: c.s.Name, Disk: c.acc.Disk(), Addr: c.s.Addr}
}

func (c *Core) effective() conf.Effective { return *c.conf.Load() }

// addrOf is where a voter is reached; the roll knows better than the set.
func (c *Core) addrOf(v state.Core) (string, bool) {
	for _, n := range c.members.Nodes() {
		if n.Role == member.RoleCore && n.Name == v.Name {
			if n.Disk != v.Disk {
				return "", false
			}
			return n.Addr, n.Thought()
		}
	}
	return v.Addr, v.Addr != ""
}

func (c *Core) liveCores() map[state.Core]acceptor.Phase {
	out := map[state.Core]acceptor.Phase{}
	for _, n := range c.members.Live(member.RoleCore) {
		out[state.Core{Name: n.Name, Disk: n.Disk, Addr: n.Addr}] = acceptor.Phase(n.Phase)
	}
	return out
}

// others are the live cores but this one.
func (c *Core) others() []member.Node {
	var out []member.Node
	for _, n := range c.members.Live(member.RoleCore) {
		if n.Name != c.s.Name {
			out = append(out, n)
		}
	}
	return out
}

// heardMost is how long ago most of the core set was heard, this core among them.
func (c *Core) heardMost() time.Duration {
	st := c.acc.Standing()
	if st.Phase != acceptor.Voter {
		return touch.Never
	}
	var ago []time.Duration
	for _, v := range st.Set.Cores {
		if !v.Is(c.self()) {
			ago = append(ago, min(c.members.HeardFor(v.Name), c.own.HeardFor(v)))
		}
	}
	return touch.Most(st.Set.Quorum(), ago)
}

// voters are the live members of the core set, most preferred for the slot first.
func (c *Core) voters(slot int) []state.Core {
	set := c.acc.Standing().Set
	type scored struct {
		c state.Core
		s uint64
	}
	var all []scored
	for v, phase := range c.liveCores() {
		if phase != acceptor.Voter || !set.Has(v) {
			continue
		}
		all = append(all, scored{v, share.Draw([]byte{byte(slot)}, v.Name)})
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].s > all[j].s || all[i].s == all[j].s && all[i].c.Name < all[j].c.Name
	})
	out := make([]state.Core, len(all))
	for i, a := range all {
		out[i] = a.c
	}
	return out
}

func (c *Core) onTake(slot int, recs []state.Record) {
	epoch := c.own.Held()[slot]
	c.planner.OnTake(slot, epoch, recs)
	for _, r := range recs {
		if r.Key == conf.Key {
			// Why: the owner before us may have died between keeping it and telling it.
			c.news.Put(news.Entry{Key: r.Key, Stamp: r.Stamp, Value: r.Value})
		}
	}
}

func (c *Core) onNews(e news.Entry) {
	if e.Key != conf.Key {
		return
	}
	k, err := conf.Unpack(e.Value)
	if err != nil {
		c.log.Error("news of a configuration that cannot be read", "problem", err)
		return
	}
	eff, err := conf.Effect(k)
	if err != nil {
		c.log.Error("news of a configuration that is wrong", "problem", err)
		return
	}
	c.conf.Store(&eff)
	c.serial.Store(k.Serial)
}

// none is an empty message.
type none struct{}

// Newest is the newest configuration under the owner's hold.
type Newest struct {
	Found bool       `cbor:"1,keyasint"`
	Entry news.Entry `cbor:"2,keyasint"`
}

var errNotOwner = wire.Drop("not-owner", "the key is not held here")

// holder is the core that holds a slot: the one that did last, or else the one
// that says so now, under the highest epoch.
func (c *Core) holder(ctx context.Context, slot int) (addr string, known bool) {
	voters := c.voters(slot)
	if last := c.holders[slot].Load(); last != nil {
		for _, v := range voters {
			if v.Name == *last && v.Name != c.s.Name {
				return v.Addr, true
			}
		}
	}
	type claim struct {
		v     state.Core
		epoch uint64
	}
	// Why: a preferred core may be alive for the edges and cut off from us; asking all at once does not wait for it.
	ch := run.Fan(c.group, len(voters), func(_ context.Context, i int) claim {
		one, cancel := context.WithTimeout(ctx, probeFor)
		defer cancel()
		if voters[i].Name == c.s.Name {
			return claim{}
		}
		held, err := wire.Call[none, map[int]uint64](one, c.caller, voters[i].Addr, "/state/held", none{})
		if err != nil {
			return claim{}
		}
		return claim{voters[i], held[slot]}
	})
	var best claim
	for range voters {
		if x := <-ch; x.epoch > best.epoch {
			best = x
		}
	}
	if best.epoch == 0 {
		return "", false
	}
	c.holders[slot].Store(&best.v.Name)
	return best.v.Addr, true
}

// atOwner does something where a key is held: here, or on the core that says so.
func atOwner[Q, A any](ctx context.Context, c *Core, key, path string, q Q, local func(context.Context, Q) (A, error)) (A, error) {
	var a A
	slot := state.SlotOf(key)
	for range 3 {
		if c.own.Holds(key) {
			return local(ctx, q)
		}
		addr, known := c.holder(ctx, slot)
		if !known {
			break
		}
		one, cancel := context.WithTimeout(ctx, ownerFor)
		a, err := wire.Call[Q, A](one, c.caller, addr, path, q)
		cancel()
		if err == nil {
			return a, nil
		}
		c.holders[slot].Store(nil)
		switch wire.Code(err) {
		case "not-owner":
			continue
		case "no-quorum":
			return a, state.ErrNoQuorum
		}
		// Why: it may have been done there, so it is not tried elsewhere.
		return a, errors.Wrap(state.ErrUnknown, err.Error())
	}
	return a, errors.Wrap(state.ErrNoQuorum, "no core is known to hold "+key)
}

func coded(err error) error {
	switch {
	case errors.Is(err, state.ErrNotOwner):
		return errNotOwner
	case errors.Is(err, state.ErrNoQuorum):
		return wire.Drop("no-quorum", err.Error())
	case errors.Is(err, state.ErrUnknown):
		return wire.Drop("unknown", err.Error())
	}
	return err
}

func (c *Core) serve() {
	wire.Handle(c.mux, "/state/held", func(context.Context, none) (map[int]uint64, error) { return c.own.Held(), nil })
	wire.Handle(c.mux, "/conf/submit", func(ctx context.Context, s operator.Submission) (operator.Submitted, error) {
		a, err := c.submit(ctx, s)
		return a, coded(err)
	})
	wire.Handle(c.mux, "/conf/newest", func(ctx context.Context, q none) (Newest, error) {
		a, err := c.newest(ctx, q)
		return a, coded(err)
	})
	// An edge asks any core, which asks the owner.
	wire.Handle(c.mux, "/conf/confirm", func(ctx context.Context, q none) (Newest, error) {
		a, err := atOwner(ctx, c, conf.Key, "/conf/newest", q, c.newest)
		return a, coded(err)
	})
	wire.Handle(c.mux, "/place/consider", c.considerHere)
	wire.Handle(c.mux, "/place/grant", func(ctx context.Context, q plan.Granting) (plan.Granted, error) {
		if !c.own.Holds(plan.PaceKey) {
			return plan.Granted{}, errNotOwner
		}
		return c.planner.Grant(ctx, q)
	})
	wire.Handle(c.mux, "/place/explain", c.explainHere)
	wire.Handle(c.mux, "/place/unmet", func(ctx context.Context, _ none) (map[string]string, error) { return c.planner.Unmet(ctx), nil })
	wire.Handle(c.mux, "/place/afloat", func(ctx context.Context, _ none) (map[string]int, error) { return c.planner.Afloat(ctx), nil })
	wire.Handle(c.mux, "/place/share", func(ctx context.Context, s plan.Shared) (none, error) {
		return none{}, c.planner.Shared(ctx, s)
	})
	wire.Handle(c.mux, "/place/report", func(ctx context.Context, r report.Report) (report.Taken, error) {
		// Why: the word is of the moment before; what was learned since is told with the next.
		return report.Taken{Touch: c.touch.Word()}, c.planner.Report(ctx, r)
	})
}

// submit keeps a configuration as the owner of its key, and tells everyone
// before it is acknowledged.
func (c *Core) submit(ctx context.Context, s operator.Submission) (operator.Submitted, error) {
	var out operator.Submitted
	errStop := errors.New("refused")
	rec, err := c.own.Update(ctx, conf.Key, func(old state.Record, found bool) ([]byte, error) {
		var was conf.Kept
		if found {
			var err error
			if was, err = conf.Unpack(old.Value); err != nil {
				return nil, err
			}
		}
		if s.IfMatch != nil && *s.IfMatch != was.Serial {
			out = operator.Submitted{Stale: true, Serial: was.Serial}
			return nil, errStop
		}
		var k conf.Kept
		var err error
		if s.Manner == conf.Whole {
			k, err = conf.ReadWhole(s.ContentType, s.Body)
		} else {
			k, err = conf.ReadPartial(was, s.ContentType, s.Body)
		}
		var faults conf.Faults
		if errors.As(err, &faults) {
			out = operator.Submitted{Faults: faults}
			return nil, errStop
		}
		if err != nil {
			return nil, err
		}
		k.Serial = was.Serial + 1
		sum := sha256.Sum256(s.Body)
		out = operator.Submitted{Serial: k.Serial, Sum: hex.EncodeToString(sum[:])}
		return k.Pack(), nil
	})
	if errors.Is(err, errStop) {
		return out, nil
	}
	if err != nil {
		return operator.Submitted{}, err
	}
	e := news.Entry{Key: conf.Key, Stamp: rec.Stamp, Value: rec.Value}
	c.news.Put(e)
	// Why: who has it before the answer needs no luck to have it in time; the rest get it by gossip.
	push, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
	defer cancel()
	c.spread.Push(push, c.members.Partners(), e)
	return out, nil
}

func (c *Core) newest(ctx context.Context, _ none) (Newest, error) {
	rec, found, err := c.own.Get(ctx, conf.Key)
	if err != nil || !found {
		return Newest{}, err
	}
	return Newest{Found: true, Entry: news.Entry{Key: rec.Key, Stamp: rec.Stamp, Value: rec.Value}}, nil
}

// Submit takes a configuration from an operator at whichever core.
func (c *Core) Submit(ctx context.Context, s operator.Submission) (operator.Submitted, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	a, err := atOwner(ctx, c, conf.Key, "/conf/submit", s, c.submit)
	switch {
	case errors.Is(err, state.ErrNoQuorum), errors.Is(err, state.ErrNotOwner):
		return a, operator.ErrNoQuorum
	case err != nil:
		return a, operator.ErrUnknown
	}
	return a, nil
}

// Newest reads the newest acknowledged configuration.
func (c *Core) Newest(ctx context.Context) (conf.Kept, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	n, err := atOwner(ctx, c, conf.Key, "/conf/newest", none{}, c.newest)
	if err != nil || !n.Found {
		return conf.Kept{}, false, err
	}
	k, err := conf.Unpack(n.Entry.Value)
	return k, err == nil, err
}

// Rescue makes this core the only voter.
func (c *Core) Rescue(ctx context.Context, lost []string, serial uint64) (any, error) {
	return c.set.Rescue(ctx, lost, serial)
}

// about asks for decisions about a model.
type about struct {
	Model string `cbor:"1,keyasint"`
}

// told is decisions as JSON: they are for people, not for acting on.
type told struct {
	JSON []byte `cbor:"1,keyasint"`
}

func (c *Core) explainHere(ctx context.Context, q about) (told, error) {
	b, err := json.Marshal(c.planner.Explain(ctx, q.Model))
	return told{b}, err
}

// Explain gives decisions of all cores about a model, newest first.
func (c *Core) Explain(ctx context.Context, model string) any {
	out := c.planner.Explain(ctx, model)
	for _, n := range c.others() {
		one, cancel := context.WithTimeout(ctx, time.Second)
		t, err := wire.Call[about, told](one, c.caller, n.Addr, "/place/explain", about{model})
		cancel()
		var theirs []plan.Decision
		if err == nil && json.Unmarshal(t.JSON, &theirs) == nil {
			out = append(out, theirs...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.After(out[j].At) })
	return out
}

// gather joins what this core and all others say to a question.
func gather[V any](ctx context.Context, c *Core, path string, mine func(context.Context) map[string]V) map[string]V {
	out := mine(ctx)
	for _, n := range c.others() {
		one, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		if u, err := wire.Call[none, map[string]V](one, c.caller, n.Addr, path, none{}); err == nil {
			maps.Copy(out, u)
		}
		cancel()
	}
	return out
}

func (c *Core) considerHere(ctx context.Context, q order.Consider) (order.Considered, error) {
	w := (*c.wardNow.Load())[q.Replica]
	if w == nil {
		return order.Considered{}, wire.Drop("not-owner", q.Replica+" is not controlled here")
	}
	return w.Consider(ctx, q)
}

func (c *Core) consider(ctx context.Context, controller string, q order.Consider) (order.Considered, error) {
	if controller == c.s.Name {
		return c.considerHere(ctx, q)
	}
	for _, n := range c.members.Live(member.RoleCore) {
		if n.Name == controller {
			return wire.Call[order.Consider, order.Considered](ctx, c.caller, n.Addr, "/place/consider", q)
		}
	}
	return order.Considered{}, wire.ErrUnreachable
}

// afloat tells the store's keeper of a load that may still start.
func (c *Core) afloat(ctx context.Context, who string) {
	_, _ = atOwner(ctx, c, plan.PaceKey, "/place/grant", plan.Granting{Who: who, Afloat: true}, c.planner.Grant)
}

func (c *Core) grant(ctx context.Context, who string, worth float64) (time.Duration, bool) {
	g, err := atOwner(ctx, c, plan.PaceKey, "/place/grant", plan.Granting{Who: who, Worth: worth}, c.planner.Grant)
	return time.Duration(g.WaitMs) * time.Millisecond, err == nil && g.OK
}

func (c *Core) tellShared(ctx context.Context, s plan.Shared) {
	to := c.others()
	ch := run.Fan(c.group, len(to), func(ctx context.Context, i int) bool {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := wire.Call[plan.Shared, none](ctx, c.caller, to[i].Addr, "/place/share", s)
		return err == nil
	})
	for range to {
		<-ch
	}
}

// tend opens and closes wards, as slots come and go and the platform lists.
func (c *Core) tend(context.Context) {
	now := c.env.Clock.Since()
	listed := map[string]platform.Listed{}
	if c.watch.Rounds() > 0 {
		for _, l := range c.watch.List() {
			listed[l.ID] = l
		}
	}
	// Why: with the platform dark the replicas go on, so those known from the news stay controlled.
	heard := c.watch.HeardFor() < 5*time.Second
	for _, v := range plan.Views(c.news) {
		id := v.Listed.ID
		if _, there := listed[id]; there {
			delete(c.absent, id)
			continue
		}
		if since, found := c.absent[id]; !found || !heard {
			c.absent[id] = now
			listed[id] = v.Listed
		} else if now-since < 5*time.Second {
			listed[id] = v.Listed
		}
	}
	for id, w := range c.wards {
		_, there := listed[id]
		if there && c.own.Holds(order.Key(id)) {
			w.ward.Listed(listed[id])
			continue
		}
		gone := !there && c.own.Holds(order.Key(id))
		delete(c.wards, id)
		c.group.Go(func(ctx context.Context) {
			// Why: its last word must be out before its desk ends.
			w.ward.Close(ctx, gone)
			w.group.Stop()
		})
	}
	for id, l := range listed {
		if c.wards[id] != nil || !c.own.Holds(order.Key(id)) {
			continue
		}
		g := c.group.Child()
		c.wards[id] = &warded{group: g, ward: order.NewWard(g, order.Deps{Clock: c.env.Clock, Log: c.log, Self: c.s.Name, Boot: c.boot,
			Conn: c.conn, Owner: c.own, News: c.news, Reports: c.reports, Conf: c.effective, Requests: c.planner.Requests,
			Others: func() []order.News { return plan.Views(c.news) }, Agents: c.agents, Platform: c.watch.HeardFor, Grant: c.grant, Afloat: c.afloat}, l)}
	}
	snap := map[string]*order.Ward{}
	for id, w := range c.wards {
		snap[id] = w.ward
	}
	c.wardNow.Store(&snap)
}

func (c *Core) agents() map[string]bool {
	out := map[string]bool{}
	for _, n := range c.members.Live(member.RoleAgent) {
		out[n.Name] = true
	}
	return out
}

// Status is what this core sees.
func (c *Core) Status(ctx context.Context) any {
	st := c.acc.Standing()
	now := c.env.Clock.Since()
	type edge struct {
		Conf    uint64 `json:"conf"`
		Lags    bool   `json:"lags"`
		HeardMs int64  `json:"heardMs"`
		Serving bool   `json:"serving"`
	}
	edges, laggards := map[string]edge{}, []string{}
	serial, agents := c.serial.Load(), c.agents()
	for name, r := range c.reports.All() {
		e := edge{Conf: r.Conf, Lags: r.Conf < serial, HeardMs: (now - r.At).Milliseconds(), Serving: r.Serving}
		if e.Lags && agents[name] {
			laggards = append(laggards, name)
		}
		edges[name] = e
	}
	sort.Strings(laggards)
	var members []map[string]any
	for _, n := range c.members.Nodes() {
		members = append(members, map[string]any{"name": n.Name, "role": n.Role, "zone": n.Zone, "addr": n.Addr, "state": n.State.String(), "phase": n.Phase, "operator": n.Face, "build": n.Build})
	}
	held := map[string]map[int]uint64{c.s.Name: c.own.Held()}
	for _, n := range c.others() {
		one, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		if h, err := wire.Call[none, map[int]uint64](one, c.caller, n.Addr, "/state/held", none{}); err == nil {
			held[n.Name] = h
		}
		cancel()
	}
	known, dropped := c.news.Len()
	calls, bytes := c.caller.Sent()
	inflight := map[string]int{}
	views := plan.Views(c.news)
	for _, v := range views {
		if n := c.reports.InflightOn(v.Listed.ID, now); n > 0 {
			inflight[v.Listed.ID] = n
		}
	}
	return map[string]any{
		"core": c.s.Name, "phase": string(st.Phase), "coreSet": st.Set, "slots": held, "members": members,
		"conf": serial, "laggards": laggards, "edges": edges, "replicas": views,
		"claimsUnmet": gather(ctx, c, "/place/unmet", c.planner.Unmet), "afloatS": gather(ctx, c, "/place/afloat", c.planner.Afloat), "inflight": inflight, "platformHeardMs": c.watch.HeardFor().Milliseconds(),
		"counts": map[string]int64{"garbledCalls": c.mux.Garbled(), "garbledAnswers": c.caller.Garbled(), "garbledGrams": c.post.Garbled(),
			"news": int64(known), "newsDropped": dropped, "handedOver": c.own.Owed(),
			"callsMade": calls, "bytesCalled": bytes, "gramsSent": c.post.Sent()},
	}
}
