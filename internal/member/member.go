// Package member knows the nodes of the system: probes to a few partners in
// turn, second opinions through third parties, suspicion before removal.
package member

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
)

const (
	beat        = 200 * time.Millisecond
	directFor   = 300 * time.Millisecond
	indirectFor = 900 * time.Millisecond
	suspectFor  = 1500 * time.Millisecond
	forgetAfter = 10 * time.Minute
	helpers     = 3
	retell      = 8
	syncBeats   = 10
	maxNodes    = 4096
	updatesAt   = 5 // updates riding on one datagram
)

// State of a node as others see it; a later one wins under one incarnation.
type State uint8

// The states.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[min(s, 3)] }

// Roles of nodes.
const (
	RoleCore  = "core"
	RoleAgent = "agent"
)

// Node is what is known of one node.
type Node struct {
	Name  string `cbor:"1,keyasint"`
	Role  string `cbor:"2,keyasint"`
	Zone  string `cbor:"3,keyasint"`
	Addr  string `cbor:"4,keyasint"`
	Inc   uint64 `cbor:"5,keyasint"`
	State State  `cbor:"6,keyasint"`
	Boot  string `cbor:"7,keyasint"`
	Disk  string `cbor:"8,keyasint,omitempty"`
	Phase string `cbor:"9,keyasint,omitempty"`
	Face  string `cbor:"10,keyasint,omitempty"` // where operators or callers reach it
	Build string `cbor:"11,keyasint,omitempty"`
}

// Thought says whether the node is thought to be there.
func (n Node) Thought() bool { return n.State == Alive || n.State == Suspect }

type note struct {
	Seq    uint64 `cbor:"1,keyasint"`
	From   string `cbor:"2,keyasint"` // address to answer to
	Target string `cbor:"3,keyasint,omitempty"`
	Name   string `cbor:"4,keyasint,omitempty"` // whom the probe is for
	Boot   string `cbor:"5,keyasint,omitempty"`
	Nodes  []Node `cbor:"6,keyasint,omitempty"`
	// In an answer: how long its sender has been out of touch.
	Touch touch.Word `cbor:"7,keyasint,omitempty"`
}

// Roll is a whole table, given and taken.
type Roll struct {
	Nodes []Node `cbor:"1,keyasint"`
}

type none struct{}

// Who answers whose process listens at an address.
type Who struct {
	Name string `cbor:"1,keyasint"`
	Boot string `cbor:"2,keyasint"`
}

type entry struct {
	node  Node
	since time.Duration // since when it has its state
	tell  int
}

type probe struct {
	name     string
	addr     string
	at       time.Duration
	indirect bool
	relayTo  string // the probe is a second opinion for this partner
	relaySeq uint64
}

// Table is the one owner of what is known of nodes.
type Table struct {
	desk    *run.Desk
	group   *run.Group
	clock   tick.Clock
	log     *slog.Logger
	post    *wire.Post
	caller  *wire.Caller
	seeds   []string
	met     []string // whom an earlier process of this node knew
	self    Node
	nodes   map[string]*entry
	probes  map[uint64]probe
	seq     uint64
	turn    []string
	beats   int
	yielded bool
	snap    atomic.Pointer[[]Node]
	touch   *touch.Keeper
	cores   []string                                 // whom a core has still to probe this round
	acked   atomic.Pointer[map[string]time.Duration] // cores: when the probe was sent that each answered last
}

// New starts to look for the others.
func New(g *run.Group, clock tick.Clock, log *slog.Logger, post *wire.Post, caller *wire.Caller, mux *wire.Mux, self Node, seeds []string, in *touch.Keeper) *Table {
	t := &Table{group: g, clock: clock, log: log, post: post, caller: caller, seeds: seeds, self: self,
		nodes: map[string]*entry{}, probes: map[uint64]probe{}, seq: rand.Uint64N(1 << 40), touch: in}
	t.acked.Store(&map[string]time.Duration{})
	t.publish()
	for kind, f := range map[string]func(note){"ping": t.onPing, "ack": t.onAck, "ask": t.onAsk} {
		post.On(kind, func(body []byte) {
			var n note
			if wire.Unpack(body, &n) != nil {
				post.Bad()
				return
			}
			_ = t.desk.Tell(func() { t.mergeAll(n.Nodes); f(n) })
		})
	}
	wire.Handle(mux, "/member/sync", func(ctx context.Context, q Roll) (Roll, error) {
		var a Roll
		err := t.desk.Ask(ctx, func() { t.mergeAll(q.Nodes); a = t.roll() })
		return a, err
	})
	wire.Handle(mux, "/member/who", func(context.Context, none) (Who, error) {
		return Who{Name: self.Name, Boot: self.Boot}, nil
	})
	t.desk = run.NewDesk(g, 1024, beat, t.onBeat)
	// Why: a node that starts knows nobody, and need not wait for that.
	_ = t.desk.Tell(t.onBeat)
	return t
}

// SetSelf changes what this node tells of itself.
func (t *Table) SetSelf(f func(*Node)) {
	_ = t.desk.Tell(func() {
		before := t.self
		f(&t.self)
		if t.self != before {
			t.self.Inc++
			t.publish()
		}
	})
}

// Reseed names other seeds.
func (t *Table) Reseed(seeds []string) { _ = t.desk.Tell(func() { t.seeds = seeds }) }

// Meet names those whom an earlier process of this node knew. Why: all seeds
// may be down just now, and a node that starts then must not stay alone.
func (t *Table) Meet(addrs []string) { _ = t.desk.Tell(func() { t.met = addrs }) }

// Leave tells partners that this node goes on purpose.
func (t *Table) Leave(ctx context.Context) {
	_ = t.desk.Ask(ctx, func() {
		t.self.State = Left
		t.self.Inc++
		for _, e := range t.nodes {
			if e.node.Thought() {
				t.send(e.node.Addr, "ack", note{})
			}
		}
	})
}

// Nodes are all known nodes, this one among them, by name.
func (t *Table) Nodes() []Node { return *t.snap.Load() }

// Live are the nodes of a role thought to be there; "" is any role.
func (t *Table) Live(role string) []Node {
	var out []Node
	for _, n := range t.Nodes() {
		if n.Thought() && (role == "" || n.Role == role) {
			out = append(out, n)
		}
	}
	return out
}

// Partners are the addresses of the live nodes other than this one.
func (t *Table) Partners() []string {
	var out []string
	for _, n := range t.Live("") {
		if n.Name != t.self.Name {
			out = append(out, n.Addr)
		}
	}
	return out
}

// HeardFor is how long ago a core was asked a probe that it has answered.
func (t *Table) HeardFor(core string) time.Duration {
	at, found := (*t.acked.Load())[core]
	if !found {
		return touch.Never
	}
	return t.clock.Since() - at
}

func (t *Table) publish() {
	out := make([]Node, 0, len(t.nodes)+1)
	if !t.yielded {
		out = append(out, t.self)
	}
	for _, e := range t.nodes {
		out = append(out, e.node)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	t.snap.Store(&out)
}

func (t *Table) roll() Roll {
	r := Roll{}
	if !t.yielded {
		r.Nodes = append(r.Nodes, t.self)
	}
	for _, e := range t.nodes {
		r.Nodes = append(r.Nodes, e.node)
	}
	return r
}

func (t *Table) mergeAll(nodes []Node) {
	changed := false
	for _, n := range nodes {
		changed = t.merge(n) || changed
	}
	if changed {
		t.publish()
	}
}

func (t *Table) merge(n Node) bool {
	if n.Name == "" || n.Addr == "" || n.State > Left {
		t.post.Bad()
		return false
	}
	if n.Name == t.self.Name {
		t.aboutSelf(n)
		return false
	}
	old := t.nodes[n.Name]
	if old == nil {
		if len(t.nodes) >= maxNodes || !n.Thought() {
			return false
		}
		t.nodes[n.Name] = &entry{node: n, since: t.clock.Since(), tell: retell}
		return true
	}
	if n.Inc < old.node.Inc || n.Inc == old.node.Inc && n.State <= old.node.State {
		return false
	}
	if old.node.State != n.State {
		old.since = t.clock.Since()
		t.log.Info("member", "name", n.Name, "state", n.State.String(), "inc", n.Inc)
	}
	old.node, old.tell = n, retell
	return true
}

// aboutSelf answers what others say of this node.
func (t *Table) aboutSelf(n Node) {
	if n.Inc < t.self.Inc || t.self.State == Left || n.Boot == t.self.Boot && n.State == Alive {
		return
	}
	if n.Boot == t.self.Boot || n.Addr == t.self.Addr {
		t.self.Inc = n.Inc + 1
		t.publish()
		return
	}
	// Why: another process goes by our name. If it answers, it has replaced us; if not, it is our past.
	t.self.Inc = max(t.self.Inc, n.Inc)
	t.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		w, err := wire.Call[none, Who](ctx, t.caller, n.Addr, "/member/who", none{})
		_ = t.desk.Tell(func() {
			if err == nil && w.Name == t.self.Name && w.Boot != t.self.Boot {
				if !t.yielded {
					t.log.Error("another process has taken this node's name", "addr", n.Addr)
				}
				t.yielded = true
			} else {
				t.self.Inc++
			}
			t.publish()
		})
	})
}

func (t *Table) send(addr, kind string, n note) {
	n.From = t.self.Addr
	if !t.yielded {
		n.Nodes = append(n.Nodes, t.self)
	}
	// Why: the least told go first, so that a change reaches all in a few beats.
	hot := make([]*entry, 0, 8)
	for _, e := range t.nodes {
		if e.tell > 0 {
			hot = append(hot, e)
		}
	}
	sort.Slice(hot, func(i, j int) bool { return hot[i].tell > hot[j].tell })
	for _, e := range hot[:min(len(hot), updatesAt)] {
		e.tell--
		n.Nodes = append(n.Nodes, e.node)
	}
	t.post.Send(addr, kind, wire.Pack(n))
}

func (t *Table) onPing(n note) {
	if n.Name != "" && n.Name != t.self.Name {
		return
	}
	t.send(n.From, "ack", note{Seq: n.Seq, Boot: t.self.Boot, Name: t.self.Name, Touch: t.touch.Word()})
}

func (t *Table) onAck(n note) {
	p, found := t.probes[n.Seq]
	if !found {
		return
	}
	delete(t.probes, n.Seq)
	if p.relayTo != "" {
		t.send(p.relayTo, "ack", note{Seq: p.relaySeq, Name: n.Name, Boot: n.Boot})
		return
	}
	t.touch.Told(p.at, n.Touch)
	e := t.nodes[p.name]
	// Why: a second opinion is no word between the two of us.
	if e != nil && e.node.Role == RoleCore && n.Name == p.name && !p.indirect {
		next := maps.Clone(*t.acked.Load())
		next[p.name] = max(next[p.name], p.at)
		t.acked.Store(&next)
	}
	if e != nil && e.node.State == Suspect {
		// Why: it answered, so it lives; only it may raise its incarnation, which our ping makes it do.
		t.send(e.node.Addr, "ping", note{Name: e.node.Name, Nodes: []Node{e.node}})
	}
}

// onAsk probes a third party for a partner.
func (t *Table) onAsk(n note) {
	t.seq++
	t.probes[t.seq] = probe{name: n.Name, addr: n.Target, at: t.clock.Since(), relayTo: n.From, relaySeq: n.Seq}
	t.send(n.Target, "ping", note{Seq: t.seq, Name: n.Name})
}

func (t *Table) onBeat() {
	t.beats++
	now := t.clock.Since()
	changed := false
	for seq, p := range t.probes {
		age := now - p.at
		switch {
		case p.relayTo != "" && age > indirectFor:
			delete(t.probes, seq)
		case p.relayTo == "" && age > indirectFor:
			delete(t.probes, seq)
			// Why: a long gap means that we slept, not that the other did.
			if e := t.nodes[p.name]; e != nil && e.node.State == Alive && age < 2*indirectFor {
				e.node.State, e.since, e.tell = Suspect, now, retell
				changed = true
				t.send(e.node.Addr, "ping", note{Name: e.node.Name, Nodes: []Node{e.node}})
			}
		case p.relayTo == "" && age > directFor && !p.indirect:
			p.indirect = true
			t.probes[seq] = p
			for _, h := range t.some(helpers, p.name) {
				t.send(h.Addr, "ask", note{Seq: seq, Target: p.addr, Name: p.name})
			}
		}
	}
	for name, e := range t.nodes {
		switch {
		case e.node.State == Suspect && now-e.since > suspectFor:
			e.node.State, e.since, e.tell = Dead, now, retell
			changed = true
			t.log.Info("member", "name", name, "state", "dead", "inc", e.node.Inc)
		case !e.node.Thought() && now-e.since > forgetAfter:
			delete(t.nodes, name)
			if _, found := (*t.acked.Load())[name]; found {
				next := maps.Clone(*t.acked.Load())
				delete(next, name)
				t.acked.Store(&next)
			}
			changed = true
		}
	}
	if changed {
		t.publish()
	}
	t.probeNext(now)
	if t.self.Role == RoleCore {
		// Why: the cores hand over slots by these opinions, so they look at each other more often.
		t.probeCore(now)
	}
	// Why: a node that knows one other knows nobody yet; until it knows a core it asks for whole tables.
	if t.beats%syncBeats == 1 || t.beats < syncBeats || t.someOf(RoleCore).Name == "" {
		t.sync(t.beats < syncBeats || rand.IntN(4) == 0)
	}
	if t.beats >= syncBeats && t.someOf(RoleCore).Name != "" {
		t.met = nil
	}
}

func (t *Table) ping(n Node, now time.Duration) {
	t.seq++
	t.probes[t.seq] = probe{name: n.Name, addr: n.Addr, at: now}
	t.send(n.Addr, "ping", note{Seq: t.seq, Name: n.Name})
}

func (t *Table) probeNext(now time.Duration) {
	for range 2 {
		if len(t.turn) == 0 {
			for name := range t.nodes {
				t.turn = append(t.turn, name)
			}
			sort.Strings(t.turn)
			rand.Shuffle(len(t.turn), func(i, j int) { t.turn[i], t.turn[j] = t.turn[j], t.turn[i] })
		}
		if len(t.turn) == 0 {
			return
		}
		name := t.turn[0]
		t.turn = t.turn[1:]
		if e := t.nodes[name]; e != nil && e.node.State != Left {
			if e.node.State == Dead && rand.IntN(5) > 0 {
				continue
			}
			t.ping(e.node, now)
			return
		}
	}
}

// probeCore probes the other cores in turn.
func (t *Table) probeCore(now time.Duration) {
	if len(t.cores) == 0 {
		for name, e := range t.nodes {
			if e.node.Role == RoleCore && e.node.State == Alive {
				t.cores = append(t.cores, name)
			}
		}
		rand.Shuffle(len(t.cores), func(i, j int) { t.cores[i], t.cores[j] = t.cores[j], t.cores[i] })
	}
	if len(t.cores) == 0 {
		return
	}
	name := t.cores[0]
	t.cores = t.cores[1:]
	if e := t.nodes[name]; e != nil && e.node.State == Alive {
		t.ping(e.node, now)
	}
}

func (t *Table) some(n int, not string) []Node {
	var out []Node
	for _, e := range t.nodes {
		if e.node.State == Alive && e.node.Name != not {
			out = append(out, e.node)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (t *Table) someOf(role string) Node {
	for _, n := range t.some(len(t.nodes), "") {
		if n.Role == role {
			return n
		}
	}
	return Node{}
}

// sync exchanges whole tables with one partner, and with a seed now and then.
func (t *Table) sync(seed bool) {
	var addrs []string
	if p := t.some(1, ""); len(p) > 0 {
		addrs = append(addrs, p[0].Addr)
	}
	if len(t.seeds) > 0 && (len(addrs) == 0 || seed) {
		addrs = append(addrs, t.seeds[rand.IntN(len(t.seeds))])
	}
	for i, n := range rand.Perm(len(t.met)) {
		if i == helpers {
			break
		}
		addrs = append(addrs, t.met[n])
	}
	q := t.roll()
	for _, addr := range addrs {
		if addr == t.self.Addr {
			continue
		}
		t.group.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if a, err := wire.Call[Roll, Roll](ctx, t.caller, addr, "/member/sync", q); err == nil {
				_ = t.desk.Tell(func() { t.mergeAll(a.Nodes) })
			}
		})
	}
}
