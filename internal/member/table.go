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

// entry is the record of one other node.
type entry struct {
	node          Node
	since         time.Duration // time of the last state change
	transmitsLeft int           // datagrams that are still to include the entry
	hash          hashCache
}

// Table holds the known nodes. Its methods are safe for concurrent use; fields without
// synchronization of their own belong to its actor.
type Table struct {
	actor          *run.Actor
	group          *run.Group
	clock          tick.Clock
	log            *slog.Logger
	post           *wire.DatagramSocket
	caller         *wire.Client
	seeds          []string
	previousPeers  []string // addresses known to an earlier process of this node
	self           Node
	selfHash       hashCache
	nodes          map[string]*entry
	syncing        map[string]bool // addresses with a table synchronization in progress
	cachedSync     cachedSync
	probes         map[uint64]probe
	seq            uint64
	probeOrder     []string
	ticks          int
	nameTaken      bool // another process uses this node's name
	snapshot       atomic.Pointer[snapshot]
	contact        *touch.Tracker
	coreProbeOrder []string                                 // on a core: the cores still to probe in this round
	lastAcked      atomic.Pointer[map[string]time.Duration] // by core: send time of the last direct probe that it acknowledged
}

// New starts a table, which discovers other nodes and responds to them on post and mux until g stops.
// contact supplies the contact age that acknowledgements contain.
func New(g *run.Group, clock tick.Clock, log *slog.Logger, post *wire.DatagramSocket, caller *wire.Client, mux *wire.Mux, self Node, seeds []string, contact *touch.Tracker) *Table {
	t := &Table{group: g, clock: clock, log: log, post: post, caller: caller, seeds: seeds, self: self,
		nodes: map[string]*entry{}, syncing: map[string]bool{}, probes: map[uint64]probe{}, seq: rand.Uint64N(1 << 40), contact: contact}
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
	// A starting node knows no others and starts discovery without waiting for the first interval.
	_ = t.actor.TryEnqueue(t.onTick)
	return t
}

// SetSelf changes this node's own entry and raises its incarnation if the entry differs.
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

// SetSeeds replaces the addresses of the seeds.
func (t *Table) SetSeeds(seeds []string) { _ = t.actor.TryEnqueue(func() { t.seeds = seeds }) }

// SetPreviousPeers sets the addresses that an earlier process of this node knew. A node that starts while
// all seeds are down finds the other nodes through these.
func (t *Table) SetPreviousPeers(addrs []string) {
	_ = t.actor.TryEnqueue(func() { t.previousPeers = addrs })
}

// Leave announces to the peers that this node is shutting down deliberately.
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

// SinceLastAck returns the time since this node sent the last direct probe that a core acknowledged, or
// touch.Never if there is none.
func (t *Table) SinceLastAck(core string) time.Duration {
	at, found := (*t.lastAcked.Load())[core]
	if !found {
		return touch.Never
	}
	return t.clock.Since() - at
}

// onTick checks pending probes and node states for expiry, sends the next probes and starts periodic
// table synchronizations.
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
		// Cores take over slots based on these states, so they probe each other more often.
		t.probeCore(now)
	}
	// Knowing one other node is not enough: until the node knows a core, it synchronizes tables at each tick.
	if t.ticks%syncIntervalTicks == 1 || t.ticks < syncIntervalTicks || t.randomLiveOfRole(RoleCore).Name == "" {
		t.sync(t.ticks < syncIntervalTicks || rand.IntN(4) == 0)
	}
	if t.ticks >= syncIntervalTicks && t.randomLiveOfRole(RoleCore).Name != "" {
		t.previousPeers = nil
	}
}
