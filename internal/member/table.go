package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
)

// entry is one other node.
type entry struct {
	node          Node
	since         time.Duration // since when it has its state
	transmitsLeft int           // times it is still to be told
	hash          hashCache
}

// Table is the one owner of what is known of nodes. Its methods may be called from
// anywhere; its plain fields belong to its actor.
type Table struct {
	actor          *run.Actor
	group          *run.Group
	clock          tick.Clock
	log            *slog.Logger
	post           *wire.DatagramSocket
	caller         *wire.Client
	seeds          []string
	previousPeers  []string // whom an earlier process of this node knew
	self           Node
	selfHash       hashCache
	nodes          map[string]*entry
	syncing        map[string]bool // addresses with which tables are being exchanged
	cachedSync     cachedSync
	probes         map[uint64]probe
	seq            uint64
	probeOrder     []string
	ticks          int
	nameTaken      bool // another process has taken this node's name
	snapshot       atomic.Pointer[snapshot]
	contact        *touch.Tracker
	coreProbeOrder []string                                 // whom a core has still to probe this round
	lastAcked      atomic.Pointer[map[string]time.Duration] // cores: when the probe was sent that each answered last
}

// New starts to look for the others, and answers them on post and mux, until g
// stops. in tells the others how long this node has been out of touch.
func New(g *run.Group, clock tick.Clock, log *slog.Logger, post *wire.DatagramSocket, caller *wire.Client, mux *wire.Mux, self Node, seeds []string, in *touch.Tracker) *Table {
	t := &Table{group: g, clock: clock, log: log, post: post, caller: caller, seeds: seeds, self: self,
		nodes: map[string]*entry{}, syncing: map[string]bool{}, probes: map[uint64]probe{}, seq: rand.Uint64N(1 << 40), contact: in}
	t.lastAcked.Store(&map[string]time.Duration{})
	t.publish()
	for kind, f := range map[string]func(message){"ping": t.onPing, "ack": t.onAck, "ask": t.onIndirectProbe} {
		post.Handle(kind, func(body []byte) {
			var n message
			if wire.Unmarshal(body, &n) != nil {
				post.CountMalformed()
				return
			}
			_ = t.actor.TryEnqueue(func() {
				t.mergeAll(n.Nodes)
				f(n)
			})
		})
	}
	wire.HandleEncoded(mux, syncPath, func(ctx context.Context, q SyncMessage) (wire.EncodedMessage, error) {
		var answer wire.EncodedMessage
		err := t.actor.Do(ctx, func() { answer = t.answerSync(q) })
		return answer, err
	})
	wire.Handle(mux, "/member/who", func(context.Context, empty) (Identity, error) {
		return Identity{Name: self.Name, Boot: self.Boot}, nil
	})
	t.actor = run.NewActor(g, 1024, probeInterval, t.onTick)
	// Why: a node that starts knows nobody, and need not wait for that.
	_ = t.actor.TryEnqueue(t.onTick)
	return t
}

// SetSelf changes what this node tells of itself.
func (t *Table) SetSelf(f func(*Node)) {
	_ = t.actor.TryEnqueue(func() {
		before := t.self
		f(&t.self)
		if t.self != before {
			t.self.Inc++
			t.publish()
		}
	})
}

// Reseed names other seeds.
func (t *Table) SetSeeds(seeds []string) { _ = t.actor.TryEnqueue(func() { t.seeds = seeds }) }

// Meet names those whom an earlier process of this node knew. Why: all seeds
// may be down just now, and a node that starts then must not stay alone.
func (t *Table) SetPreviousPeers(addrs []string) {
	_ = t.actor.TryEnqueue(func() { t.previousPeers = addrs })
}

// Leave tells peers that this node goes on purpose.
func (t *Table) Leave(ctx context.Context) {
	_ = t.actor.Do(ctx, func() {
		t.self.State = Left
		t.self.Inc++
		for _, e := range t.nodes {
			if e.node.PresumedAlive() {
				t.send(e.node.Addr, "ack", message{})
			}
		}
	})
}

// HeardFor is how long ago a core was asked a probe that it has answered;
// touch.Never if it never has.
func (t *Table) SinceLastAck(core string) time.Duration {
	at, found := (*t.lastAcked.Load())[core]
	if !found {
		return touch.Never
	}
	return t.clock.Since() - at
}

// onTick ages probes and opinions, sends the next probes, and exchanges whole
// tables now and then.
func (t *Table) onTick() {
	t.ticks++
	now := t.clock.Since()
	changed := t.ageProbes(now)
	changed = t.ageNodes(now) || changed
	if changed {
		t.publish()
	}
	t.probeNext(now)
	if t.self.Role == RoleCore {
		// Why: the cores hand over slots by these opinions, so they look at each other more often.
		t.probeCore(now)
	}
	// Why: a node that knows one other knows nobody yet; until it knows a core it asks for whole tables.
	if t.ticks%syncIntervalTicks == 1 || t.ticks < syncIntervalTicks || t.randomLiveOfRole(RoleCore).Name == "" {
		t.sync(t.ticks < syncIntervalTicks || rand.IntN(4) == 0)
	}
	if t.ticks >= syncIntervalTicks && t.randomLiveOfRole(RoleCore).Name != "" {
		t.previousPeers = nil
	}
}
