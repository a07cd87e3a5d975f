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
	pullTimeout = 2 * time.Second
	// pullGap is the least time between two pulls of an entry of largeBytes or more. Why: of changes in
	// quick succession every node would ask for every one.
	minPullInterval = 300 * time.Millisecond
	largeBytes      = 8 << 10
	// mostPulls is how many pulls are under way at once; others wait for their turn.
	maxConcurrentPulls = 8
)

// pulls are those under way. Why: what is told by many at once is pulled from each but once.
type pullTracker struct {
	mu        sync.Mutex
	inFlight  map[pullKey]bool
	lastLarge map[string]time.Time // when a large entry was pulled last, by key
}

// pulled is a key that is pulled from a peer.
type pullKey struct{ key, from string }

// rest is how long the next pull of some keys waits.
func (p *pullTracker) delay(keys []string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := time.Duration(0)
	for _, key := range keys {
		if last, found := p.lastLarge[key]; found {
			longest = max(longest, minPullInterval-time.Since(last))
		}
	}
	return longest
}

// came notes that a large entry has been pulled.
func (p *pullTracker) recordLarge(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastLarge == nil {
		p.lastLarge = map[string]time.Time{}
	}
	p.lastLarge[key] = time.Now()
}

// begin notes pulls from a peer, and gives the entries that are not being pulled from it.
func (p *pullTracker) begin(from string, told []entryRef) []entryRef {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight == nil {
		p.inFlight = map[pullKey]bool{}
	}
	var fresh []entryRef
	for _, entry := range told {
		if one := (pullKey{entry.key, from}); !p.inFlight[one] {
			p.inFlight[one] = true
			fresh = append(fresh, entry)
		}
	}
	return fresh
}

// end notes that pulls are over.
func (p *pullTracker) end(from string, told []entryRef) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range told {
		delete(p.inFlight, pullKey{entry.key, from})
	}
}

// take learns what a datagram holds, and pulls what it only names.
func (s *Disseminator) receive(b bundle) {
	var want []entryRef
	from := s.originOf(b.From)
	for _, e := range b.Entries {
		if !e.ValueOmitted {
			s.table.put(e, from)
		} else if e.Stamp.Newer(s.table.StampOf(e.Key)) {
			want = append(want, entryRef{e.Key, e.Stamp})
		}
	}
	s.fetch(b.From, want)
}

// Fetch pulls an entry from a peer that says that it has it under a stamp, if that is newer than what is known.
func (s *Disseminator) Fetch(addr, key string, stamp state.Stamp) {
	if stamp.Newer(s.table.StampOf(key)) {
		s.fetch(addr, []entryRef{{key, stamp}})
	}
}

// fetch pulls some entries from a peer in the background.
func (s *Disseminator) fetch(from string, told []entryRef) {
	told = s.pulls.begin(from, told)
	if len(told) == 0 {
		return
	}
	if !s.group.Go(func(ctx context.Context) {
		defer s.pulls.end(from, told)
		// Why: what rests takes nobody's turn.
		run.Sleep(ctx, s.pulls.delay(keysOf(told)))
		if !run.WaitOn(ctx, s.pullTokens, pullTimeout) {
			return
		}
		defer func() { s.pullTokens <- struct{}{} }()
		s.pull(ctx, from, s.newerKeys(told))
	}) {
		s.pulls.end(from, told)
	}
}

// lacking is the keys of some entries that are newer than what is known.
func (s *Disseminator) newerKeys(told []entryRef) []string {
	var keys []string
	for _, one := range told {
		if one.stamp.Newer(s.table.StampOf(one.key)) {
			keys = append(keys, one.key)
		}
	}
	return keys
}

// keysOf is the keys of some entries.
func keysOf(told []entryRef) []string {
	keys := make([]string, len(told))
	for i, one := range told {
		keys[i] = one.key
	}
	return keys
}

// pull asks a peer for the entries of some keys.
func (s *Disseminator) pull(ctx context.Context, addr string, want []string) {
	if len(want) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	b, err := wire.Call[Delta, bundle](ctx, s.caller, addr, pullPath, Delta{Wanted: want})
	if err != nil {
		return
	}
	from := s.originOf(addr)
	for _, e := range b.Entries {
		if len(e.Value) >= largeBytes {
			s.pulls.recordLarge(e.Key)
		}
		s.table.put(e, from)
	}
}

// packedAnswer is the last large answer to a pull. Why: all nodes below a core ask it for the
// same document, and to pack and compress it for each costs more than to send it.
type replyCache struct {
	mu    sync.Mutex
	ref   entryRef
	reply wire.EncodedMessage
}

// headed is an entry by its key and stamp.
type entryRef struct {
	key   string
	stamp state.Stamp
}

// of packs an answer, once for all who ask for the same one large entry.
func (p *replyCache) prepare(b bundle) wire.EncodedMessage {
	if len(b.Entries) != 1 || len(b.Entries[0].Value) <= maxInlineBytes {
		return wire.EncodeMessage(b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	of := entryRef{b.Entries[0].Key, b.Entries[0].Stamp}
	if p.ref != of {
		p.ref, p.reply = of, wire.EncodeMessage(b)
	}
	return p.reply
}
