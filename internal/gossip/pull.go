package gossip

import (
	"context"
	"sync"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

const (
	pullPath = "/news/pull"
	// pullLimit is how long a pull may take.
	pullLimit = 2 * time.Second
	// pullGap is the least time between two pulls of an entry of largeBytes or more. Why: of changes in
	// quick succession every node would ask for every one.
	pullGap    = 300 * time.Millisecond
	largeBytes = 8 << 10
	// mostPulls is how many pulls are under way at once; others wait for their turn.
	mostPulls = 8
)

// pulls are those under way. Why: what is told by many at once is pulled from each but once.
type pulls struct {
	mu   sync.Mutex
	now  map[pulled]bool
	last map[string]time.Time // when a large entry was pulled last, by key
}

// pulled is a key that is pulled from a peer.
type pulled struct{ key, from string }

// rest is how long the next pull of some keys waits.
func (p *pulls) rest(keys []string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := time.Duration(0)
	for _, key := range keys {
		if last, found := p.last[key]; found {
			longest = max(longest, pullGap-time.Since(last))
		}
	}
	return longest
}

// came notes that a large entry has been pulled.
func (p *pulls) came(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = map[string]time.Time{}
	}
	p.last[key] = time.Now()
}

// begin notes pulls from a peer, and gives the entries that are not being pulled from it.
func (p *pulls) begin(from string, told []headed) []headed {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now == nil {
		p.now = map[pulled]bool{}
	}
	var fresh []headed
	for _, entry := range told {
		if one := (pulled{entry.key, from}); !p.now[one] {
			p.now[one] = true
			fresh = append(fresh, entry)
		}
	}
	return fresh
}

// end notes that pulls are over.
func (p *pulls) end(from string, told []headed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range told {
		delete(p.now, pulled{entry.key, from})
	}
}

// take learns what a datagram holds, and pulls what it only names.
func (s *Spreader) take(b bundle) {
	var want []headed
	from := s.originOf(b.From)
	for _, e := range b.Entries {
		if !e.Head {
			s.t.put(e, from)
		} else if e.Stamp.Newer(s.t.StampOf(e.Key)) {
			want = append(want, headed{e.Key, e.Stamp})
		}
	}
	s.fetch(b.From, want)
}

// Fetch pulls an entry from a peer that says that it has it under a stamp, if that is newer than what is known.
func (s *Spreader) Fetch(addr, key string, stamp state.Stamp) {
	if stamp.Newer(s.t.StampOf(key)) {
		s.fetch(addr, []headed{{key, stamp}})
	}
}

// fetch pulls some entries from a peer in the background.
func (s *Spreader) fetch(from string, told []headed) {
	told = s.pulls.begin(from, told)
	if len(told) == 0 {
		return
	}
	if !s.g.Go(func(ctx context.Context) {
		defer s.pulls.end(from, told)
		// Why: what rests takes nobody's turn.
		run.Sleep(ctx, s.pulls.rest(keysOf(told)))
		if !run.WaitOn(ctx, s.turns, pullLimit) {
			return
		}
		defer func() { s.turns <- struct{}{} }()
		s.pull(ctx, from, s.lacking(told))
	}) {
		s.pulls.end(from, told)
	}
}

// lacking is the keys of some entries that are newer than what is known.
func (s *Spreader) lacking(told []headed) []string {
	var keys []string
	for _, one := range told {
		if one.stamp.Newer(s.t.StampOf(one.key)) {
			keys = append(keys, one.key)
		}
	}
	return keys
}

// keysOf is the keys of some entries.
func keysOf(told []headed) []string {
	keys := make([]string, len(told))
	for i, one := range told {
		keys[i] = one.key
	}
	return keys
}

// pull asks a peer for the entries of some keys.
func (s *Spreader) pull(ctx context.Context, addr string, want []string) {
	if len(want) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullLimit)
	defer cancel()
	b, err := wire.Call[Gap, bundle](ctx, s.caller, addr, pullPath, Gap{Want: want})
	if err != nil {
		return
	}
	from := s.originOf(addr)
	for _, e := range b.Entries {
		if len(e.Value) >= largeBytes {
			s.pulls.came(e.Key)
		}
		s.t.put(e, from)
	}
}

// packedAnswer is the last large answer to a pull. Why: all nodes below a core ask it for the
// same document, and to pack and compress it for each costs more than to send it.
type packedAnswer struct {
	mu     sync.Mutex
	entry  headed
	answer wire.EncodedMessage
}

// headed is an entry by its key and stamp.
type headed struct {
	key   string
	stamp state.Stamp
}

// of packs an answer, once for all who ask for the same one large entry.
func (p *packedAnswer) of(b bundle) wire.EncodedMessage {
	if len(b.Entries) != 1 || len(b.Entries[0].Value) <= smallBytes {
		return wire.EncodeMessage(b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	of := headed{b.Entries[0].Key, b.Entries[0].Stamp}
	if p.entry != of {
		p.entry, p.answer = of, wire.EncodeMessage(b)
	}
	return p.answer
}
