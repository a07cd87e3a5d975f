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
	// pullTimeout bounds one pull.
	pullTimeout = 2 * time.Second
	// minPullInterval is the minimum time between two pulls of an entry of largeBytes or more. Without it every node
	// would request every one of several changes in quick succession.
	minPullInterval = 300 * time.Millisecond
	largeBytes      = 8 << 10
	// maxConcurrentPulls is the number of concurrent pulls; further ones wait for a token.
	maxConcurrentPulls = 8
)

// pullTracker holds the pulls in flight, so that an entry offered by several peers is pulled from each only once.
type pullTracker struct {
	mu        sync.Mutex
	inFlight  map[pullKey]bool
	lastLarge map[string]time.Time // time of the last pull of a large entry, by key
}

// pullKey identifies a pull of one key from one peer.
type pullKey struct{ key, from string }

// delay returns how long the next pull of some keys has to wait.
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

// recordLarge records the pull of a large entry.
func (p *pullTracker) recordLarge(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastLarge == nil {
		p.lastLarge = map[string]time.Time{}
	}
	p.lastLarge[key] = time.Now()
}

// begin registers pulls from a peer and returns the entries that are not already being pulled from it.
func (p *pullTracker) begin(from string, refs []entryRef) []entryRef {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight == nil {
		p.inFlight = map[pullKey]bool{}
	}
	var fresh []entryRef
	for _, entry := range refs {
		if key := (pullKey{entry.key, from}); !p.inFlight[key] {
			p.inFlight[key] = true
			fresh = append(fresh, entry)
		}
	}
	return fresh
}

// end unregisters pulls from a peer.
func (p *pullTracker) end(from string, refs []entryRef) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range refs {
		delete(p.inFlight, pullKey{entry.key, from})
	}
}

// receive stores the entries of a datagram and pulls those that came without their value.
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

// Fetch pulls an entry from a peer that offers it under a stamp, if the stamp is newer than the local one.
func (s *Disseminator) Fetch(addr, key string, stamp state.Stamp) {
	if stamp.Newer(s.table.StampOf(key)) {
		s.fetch(addr, []entryRef{{key, stamp}})
	}
}

// fetch pulls some entries from a peer in the background.
func (s *Disseminator) fetch(from string, refs []entryRef) {
	refs = s.pulls.begin(from, refs)
	if len(refs) == 0 {
		return
	}
	if !s.group.Go(func(ctx context.Context) {
		defer s.pulls.end(from, refs)
		// A delayed pull must not hold a token.
		run.Sleep(ctx, s.pulls.delay(keysOf(refs)))
		if !run.WaitOn(ctx, s.pullTokens, pullTimeout) {
			return
		}
		defer func() { s.pullTokens <- struct{}{} }()
		s.pull(ctx, from, s.newerKeys(refs))
	}) {
		s.pulls.end(from, refs)
	}
}

// newerKeys returns the keys of those entries that are newer than the local ones.
func (s *Disseminator) newerKeys(refs []entryRef) []string {
	var keys []string
	for _, ref := range refs {
		if ref.stamp.Newer(s.table.StampOf(ref.key)) {
			keys = append(keys, ref.key)
		}
	}
	return keys
}

// keysOf returns the keys of some entries.
func keysOf(refs []entryRef) []string {
	keys := make([]string, len(refs))
	for i, ref := range refs {
		keys[i] = ref.key
	}
	return keys
}

// pull requests the entries of some keys from a peer.
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

// replyCache holds the last large reply to a pull. All nodes below a core pull the same document from it,
// and packing and compressing it for each costs more than sending it.
type replyCache struct {
	mu    sync.Mutex
	ref   entryRef
	reply wire.EncodedMessage
}

// entryRef identifies a version of an entry by key and stamp.
type entryRef struct {
	key   string
	stamp state.Stamp
}

// prepare encodes a reply; replies with the same single large entry are encoded once.
func (p *replyCache) prepare(b bundle) wire.EncodedMessage {
	if len(b.Entries) != 1 || len(b.Entries[0].Value) <= maxInlineBytes {
		return wire.EncodeMessage(b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ref := entryRef{b.Entries[0].Key, b.Entries[0].Stamp}
	if p.ref != ref {
		p.ref, p.reply = ref, wire.EncodeMessage(b)
	}
	return p.reply
}
