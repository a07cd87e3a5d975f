package gossip

import (
	"context"
	"sync"
	"time"

	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

const (
	pullPath = "/news/pull"
	// pullLimit is how long a pull may take.
	pullLimit = 2 * time.Second
	// mostPulls is how many pulls are under way at once; the digests mend what is left out.
	mostPulls = 8
)

// pulls are those under way. Why: what is told by many at once is pulled from each but once.
type pulls struct {
	mu  sync.Mutex
	now map[pulled]bool
}

// pulled is a key that is pulled from a peer.
type pulled struct{ key, from string }

// begin notes pulls from a peer, and gives the keys that are not being pulled from it.
func (p *pulls) begin(from string, keys []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now == nil {
		p.now = map[pulled]bool{}
	}
	var fresh []string
	for _, key := range keys {
		if one := (pulled{key, from}); !p.now[one] {
			p.now[one] = true
			fresh = append(fresh, key)
		}
	}
	return fresh
}

// end notes that pulls are over.
func (p *pulls) end(from string, keys []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		delete(p.now, pulled{key, from})
	}
}

// take learns what a datagram holds, and pulls what it only names.
func (s *Spreader) take(b bundle) {
	var want []string
	from := s.originOf(b.From)
	for _, e := range b.Entries {
		if !e.Head {
			s.t.put(e, from)
		} else if e.Stamp.Newer(s.t.StampOf(e.Key)) {
			want = append(want, e.Key)
		}
	}
	s.fetch(b.From, want)
}

// Fetch pulls an entry from a peer that says that it has it under a stamp, if that is newer than what is known.
func (s *Spreader) Fetch(addr, key string, stamp state.Stamp) {
	if stamp.Newer(s.t.StampOf(key)) {
		s.fetch(addr, []string{key})
	}
}

// fetch pulls some entries from a peer in the background.
func (s *Spreader) fetch(from string, keys []string) {
	keys = s.pulls.begin(from, keys)
	if len(keys) == 0 {
		return
	}
	done := func() {
		s.pulling.Add(-1)
		s.pulls.end(from, keys)
	}
	if s.pulling.Add(1) > mostPulls {
		done()
		return
	}
	if !s.g.Go(func(ctx context.Context) {
		defer done()
		s.pull(ctx, from, keys)
	}) {
		done()
	}
}

// pull asks a peer for the entries of some keys.
func (s *Spreader) pull(ctx context.Context, addr string, want []string) {
	ctx, cancel := context.WithTimeout(ctx, pullLimit)
	defer cancel()
	b, err := wire.Call[Gap, bundle](ctx, s.caller, addr, pullPath, Gap{Want: want})
	if err != nil {
		return
	}
	from := s.originOf(addr)
	for _, e := range b.Entries {
		s.t.put(e, from)
	}
}

// packedAnswer is the last large answer to a pull. Why: all nodes below a core ask it for the
// same document, and to pack and compress it for each costs more than to send it.
type packedAnswer struct {
	mu     sync.Mutex
	entry  headed
	answer wire.Large
}

// headed is an entry by its key and stamp.
type headed struct {
	key   string
	stamp state.Stamp
}

// of packs an answer, once for all who ask for the same one large entry.
func (p *packedAnswer) of(b bundle) wire.Large {
	if len(b.Entries) != 1 || len(b.Entries[0].Value) <= smallBytes {
		return wire.Prepare(b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	of := headed{b.Entries[0].Key, b.Entries[0].Stamp}
	if p.entry != of {
		p.entry, p.answer = of, wire.Prepare(b)
	}
	return p.answer
}
