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

// bundle is some entries on their way.
type bundle struct {
	From    string  `cbor:"1,keyasint"` // address to pull from
	Entries []Entry `cbor:"2,keyasint"`
}

// Pushed is the answer to a push.
type Pushed struct {
	Taken int `cbor:"1,keyasint"`
}

// Spreader passes a table's news on.
type Spreader struct {
	t      *Table
	g      *run.Group
	log    *slog.Logger
	post   *wire.DatagramSocket
	caller *wire.Client
	self   func() string
	peers  func() []string
	tree   func() Tree          // nil is a fleet without one
	known  atomic.Pointer[Tree] // the tree of the last round
	turns  chan struct{}        // one for each pull that may begin
	pulls  pulls
	packed packedAnswer
}

// NewSpreader starts to pass news on and to take it, until g stops. self and peers
// give addresses as they are now, and tree whom this node tells in a large fleet; in is
// this node's word on how long it has been out of touch.
func NewSpreader(g *run.Group, t *Table, log *slog.Logger, post *wire.DatagramSocket, caller *wire.Client, mux *wire.Mux, self func() string, peers func() []string, tree func() Tree, in *touch.Keeper) *Spreader {
	s := &Spreader{t: t, g: g, log: log, post: post, caller: caller, self: self, peers: peers, tree: tree, turns: make(chan struct{}, mostPulls)}
	for range mostPulls {
		s.turns <- struct{}{}
	}
	post.Handle("news", func(body []byte) {
		var b bundle
		if wire.Unmarshal(body, &b) != nil {
			post.CountMalformed()
			return
		}
		s.take(b)
	})
	s.answer(mux, in)
	actor := run.NewActor(g, 16, interval, func() { s.passOn(false) })
	now := run.NewTrigger(actor, func() { s.passOn(true) })
	own := now.Fire
	t.onOwn.Store(&own)
	g.Every(digestInterval, s.compare)
	g.Every(time.Minute, func(context.Context) { t.Purge(purgeAfter) })
	return s
}

// answer serves the other nodes' spreaders on mux.
func (s *Spreader) answer(mux *wire.Mux, in *touch.Keeper) {
	t := s.t
	wire.Handle(mux, "/news/push", func(_ context.Context, b bundle) (Pushed, error) {
		p := Pushed{}
		for _, e := range b.Entries {
			if t.put(e, s.originOf(b.From)) {
				p.Taken++
			}
		}
		return p, nil
	})
	wire.HandleEncoded(mux, pullPath, func(_ context.Context, g Gap) (wire.EncodedMessage, error) { return s.packed.of(t.pick(g.Want)), nil })
	wire.Handle(mux, digestPath, func(_ context.Context, d Digest) (Diff, error) {
		out := t.compare(d)
		out.Touch = in.Word()
		return out, nil
	})
	wire.HandleCompressed(mux, "/news/gap", func(_ context.Context, h Heads) (Gap, error) { return t.gap(h), nil })
}

// passOn sends what is new to whom it is for: in a small fleet to all, in a large
// one down the tree. At once means that only what was never told goes out.
func (s *Spreader) passOn(atOnce bool) {
	all := s.peers()
	if len(all) > AllTold {
		s.passOnInLargeFleet(atOnce)
		return
	}
	s.t.rounds.Store(&directRounds)
	if len(all) == 0 {
		return
	}
	s.send(all, s.due(func(h *held) bool { return h.from == own && (!atOnce || h.tell == retellDirect) }))
	if !atOnce {
		s.send(sample.Of(s.peers(), fanout), s.due(func(h *held) bool { return h.from != own }))
	}
}

// passOnInLargeFleet sends what is new down the tree, or to a few peers where there is
// none. Why: in a large fleet nothing goes out between two rounds, or each entry would be a datagram for
// every node.
func (s *Spreader) passOnInLargeFleet(atOnce bool) {
	if atOnce {
		return
	}
	tree := s.treeNow()
	if !tree.stands() {
		s.t.rounds.Store(&gossipRounds)
		s.send(sample.Of(s.peers(), fanout), s.due(func(*held) bool { return true }))
		return
	}
	s.passDown(tree)
}

// due takes the entries that are to be passed on now.
func (s *Spreader) due(which func(*held) bool) []Entry {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	var out []Entry
	for k, h := range s.t.hot {
		if !which(h) {
			continue
		}
		out = append(out, headline(h.e))
		if h.tell--; h.tell <= 0 {
			delete(s.t.hot, k)
		}
	}
	return out
}

// headline is an entry as it goes into a datagram: a large value is left out.
func headline(e Entry) Entry {
	if len(e.Value) > smallBytes {
		e.Value, e.Head = nil, true
	}
	return e
}

// send sends entries in datagrams of bounded size.
func (s *Spreader) send(to []string, out []Entry) {
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

// compare mends gaps with one peer.
func (s *Spreader) compare(ctx context.Context) {
	to := sample.Of(s.peers(), 1)
	if len(to) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
	defer cancel()
	s.Mend(ctx, to[0])
}

// Mend makes both sides know what either knows.
func (s *Spreader) Mend(ctx context.Context, addr string) { Mend(ctx, s.caller, s.t, addr, s.self()) }
