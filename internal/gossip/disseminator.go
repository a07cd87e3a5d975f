package gossip

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/sample"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/member/touch"
)

// bundle is a set of entries sent in one message.
type bundle struct {
	From    string  `cbor:"1,keyasint"` // address of the sender, to pull from
	Entries []Entry `cbor:"2,keyasint"`
}

// PushReply is the reply to a push.
type PushReply struct {
	Accepted int `cbor:"1,keyasint"`
}

// Disseminator sends the entries of a table to peers and receives theirs.
type Disseminator struct {
	table      *Table
	group      *run.Group
	log        *slog.Logger
	post       *wire.DatagramSocket
	caller     *wire.Client
	self       func() string
	peers      func() []string
	tree       func() Tree          // nil for a fleet without a tree
	lastTree   atomic.Pointer[Tree] // tree of the last round
	pullTokens chan struct{}        // one token for each pull that may start
	pulls      pullTracker
	replyCache replyCache
}

// NewDisseminator starts to send and receive entries until g stops. self and peers
// return current addresses, and tree returns the nodes to send to in a large fleet; in states
// how long this node has been out of touch.
func NewDisseminator(g *run.Group, t *Table, log *slog.Logger, post *wire.DatagramSocket, caller *wire.Client, mux *wire.Mux, self func() string, peers func() []string, tree func() Tree, in *touch.Tracker) *Disseminator {
	s := &Disseminator{table: t, group: g, log: log, post: post, caller: caller, self: self, peers: peers, tree: tree, pullTokens: make(chan struct{}, maxConcurrentPulls)}
	for range maxConcurrentPulls {
		s.pullTokens <- struct{}{}
	}
	post.Handle("news", func(body []byte) {
		var b bundle
		if wire.Unmarshal(body, &b) != nil {
			post.CountMalformed()
			return
		}
		s.receive(b)
	})
	s.registerHandlers(mux, in)
	actor := run.NewActor(g, 16, interval, func() { s.propagate(false) })
	nudge := run.NewTrigger(actor, func() { s.propagate(true) })
	notify := nudge.Fire
	t.localPutFunc.Store(&notify)
	g.Every(digestInterval, s.reconcileWithPeer)
	g.Every(time.Minute, func(context.Context) { t.Purge(purgeAfter) })
	return s
}

// registerHandlers registers the handlers of calls from other disseminators on mux.
func (s *Disseminator) registerHandlers(mux *wire.Mux, in *touch.Tracker) {
	t := s.table
	wire.Handle(mux, "/news/push", func(_ context.Context, b bundle) (PushReply, error) {
		p := PushReply{}
		for _, e := range b.Entries {
			if t.put(e, s.originOf(b.From)) {
				p.Accepted++
			}
		}
		return p, nil
	})
	wire.HandleEncoded(mux, pullPath, func(_ context.Context, g Delta) (wire.EncodedMessage, error) {
		return s.replyCache.prepare(t.entriesOf(g.Wanted)), nil
	})
	wire.Handle(mux, digestPath, func(_ context.Context, d Digest) (DigestReply, error) {
		out := t.compareDigest(d)
		out.Touch = in.Age()
		return out, nil
	})
	wire.HandleCompressed(mux, "/news/gap", func(_ context.Context, h BucketStamps) (Delta, error) { return t.delta(h), nil })
}

// propagate sends pending entries: to all peers in a small fleet, along the tree in a large
// one. With atOnce, only local entries that were never sent go out, and only in a small fleet.
func (s *Disseminator) propagate(atOnce bool) {
	all := s.peers()
	if len(all) > MaxDirectPeers {
		s.propagateInLargeFleet(atOnce)
		return
	}
	s.table.rounds.Store(&directRounds)
	if len(all) == 0 {
		return
	}
	s.send(all, s.takeDue(func(h *record) bool { return h.origin == originLocal && (!atOnce || h.roundsLeft == directRepeats) }))
	if !atOnce {
		s.send(sample.Of(s.peers(), fanout), s.takeDue(func(h *record) bool { return h.origin != originLocal }))
	}
}

// propagateInLargeFleet sends pending entries along the tree, or to fanout peers if there is
// none. In a large fleet nothing is sent between two rounds; otherwise each entry would cost a datagram of its own
// to every node.
func (s *Disseminator) propagateInLargeFleet(atOnce bool) {
	if atOnce {
		return
	}
	tree := s.refreshTree()
	if !tree.usable() {
		s.table.rounds.Store(&gossipRounds)
		s.send(sample.Of(s.peers(), fanout), s.takeDue(func(*record) bool { return true }))
		return
	}
	s.propagateAlongTree(tree)
}

// takeDue returns the pending entries to send now and counts the round.
func (s *Disseminator) takeDue(which func(*record) bool) []Entry {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	var out []Entry
	for k, h := range s.table.pending {
		if !which(h) {
			continue
		}
		out = append(out, withoutLargeValue(h.entry))
		if h.roundsLeft--; h.roundsLeft <= 0 {
			delete(s.table.pending, k)
		}
	}
	return out
}

// withoutLargeValue returns an entry as it is sent in a datagram: a large value is omitted.
func withoutLargeValue(e Entry) Entry {
	if len(e.Value) > maxInlineBytes {
		e.Value, e.ValueOmitted = nil, true
	}
	return e
}

// send sends entries in datagrams of bounded size.
func (s *Disseminator) send(to []string, out []Entry) {
	for len(out) > 0 {
		n, size := 0, 64
		for n < len(out) && (n == 0 || size+len(out[n].Key)+len(out[n].Value)+40 < wire.MaxDatagram) {
			size += len(out[n].Key) + len(out[n].Value) + 40
			n++
		}
		body := wire.Marshal(bundle{From: s.self(), Entries: out[:n]})
		for _, p := range to {
			s.post.Send(p, "news", body)
		}
		out = out[n:]
	}
}

// reconcileWithPeer reconciles the table with that of one sampled peer.
func (s *Disseminator) reconcileWithPeer(ctx context.Context) {
	to := sample.Of(s.peers(), 1)
	if len(to) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
	defer cancel()
	s.Reconcile(ctx, to[0])
}

// Reconcile exchanges missing entries with a peer in both directions.
func (s *Disseminator) Reconcile(ctx context.Context, addr string) {
	Reconcile(ctx, s.caller, s.table, addr, s.self())
}
