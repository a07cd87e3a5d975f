package member

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"drumstall.example/internal/kernel/wire"
)

const (
	// maxUncachedNodes is the size up to which a table is encoded anew for each request.
	maxUncachedNodes = 24
	// syncCacheTTL is how long the encoding of a larger table is reused. When a large fleet starts, every node
	// repeatedly requests the whole table from the seeds, while it changes all the time.
	syncCacheTTL = 100 * time.Millisecond
)

// cachedSync is the last encoded response with the whole table.
type cachedSync struct {
	answer wire.EncodedMessage
	at     time.Duration // 0 if there is none
}

// sync starts a synchronization with a random peer, with a seed if seed is set or no peer is known, and with some of
// the previous peers.
func (t *Table) sync(seed bool) {
	var addrs []string
	if p := t.randomLive(1, ""); len(p) > 0 {
		addrs = append(addrs, p[0].Addr)
	}
	if len(t.seeds) > 0 && (len(addrs) == 0 || seed) {
		addrs = append(addrs, t.seeds[rand.IntN(len(t.seeds))])
	}
	for i, n := range rand.Perm(len(t.previousPeers)) {
		if i == indirectProbers {
			break
		}
		addrs = append(addrs, t.previousPeers[n])
	}
	checksum := t.checksum()
	for _, addr := range addrs {
		// A peer that has not responded yet is busy; another request would add to its load.
		if addr == t.self.Addr || t.syncing[addr] {
			continue
		}
		t.syncing[addr] = true
		t.group.Go(func(ctx context.Context) {
			t.syncWith(ctx, addr, checksum)
			_ = t.actor.Do(ctx, func() { delete(t.syncing, addr) })
		})
	}
}

// syncWith exchanges tables with one peer if the checksums differ.
func (t *Table) syncWith(ctx context.Context, addr string, checksum uint64) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	theirs, err := wire.Call[SyncMessage, SyncMessage](ctx, t.caller, addr, syncPath, SyncMessage{Checksum: checksum})
	if err != nil || theirs.Checksum == checksum {
		return
	}
	var missing SyncMessage
	if t.actor.Do(ctx, func() {
		missing = SyncMessage{Nodes: t.missingFrom(theirs.Nodes), Checksum: checksum}
		t.mergeAll(theirs.Nodes)
	}) != nil || len(missing.Nodes) == 0 {
		return
	}
	// An error is ignored: this node already has the peer's nodes, and a later synchronization brings the peer up to date.
	_, _ = wire.Call[SyncMessage, SyncMessage](ctx, t.caller, addr, syncPath, missing)
}

// missingFrom returns the nodes of this table that are missing from another table or newer than there.
func (t *Table) missingFrom(theirs []Node) []Node {
	known := make(map[string]Node, len(theirs))
	for _, n := range theirs {
		known[n.Name] = n
	}
	var out []Node
	for _, n := range t.wholeTable().Nodes {
		if other, found := known[n.Name]; !found || n.overrides(other) {
			out = append(out, n)
		}
	}
	return out
}

// answerSync returns the encoded response to a synchronization request.
func (t *Table) answerSync(q SyncMessage) wire.EncodedMessage {
	now := t.clock.Since()
	if t.canUseCachedSync(q, now) {
		t.mergeAll(q.Nodes)
		return t.cachedSync.answer
	}
	answer := t.onSync(q)
	packed := wire.EncodeMessage(answer)
	if len(answer.Nodes) > maxUncachedNodes {
		t.cachedSync = cachedSync{answer: packed, at: now}
	}
	return packed
}

// canUseCachedSync reports whether the request needs the whole table and a recent encoding of it exists.
func (t *Table) canUseCachedSync(q SyncMessage, now time.Duration) bool {
	return t.cachedSync.at != 0 && now-t.cachedSync.at < syncCacheTTL && !q.isReturn() && !q.matches(t.checksum())
}

// onSync merges the nodes of a synchronization request and returns the response: the whole table, or only the
// checksum if the tables match or the request is a return.
func (t *Table) onSync(q SyncMessage) SyncMessage {
	t.mergeAll(q.Nodes)
	answer := SyncMessage{Checksum: t.checksum()}
	if !q.matches(answer.Checksum) && !q.isReturn() {
		answer.Nodes = t.wholeTable().Nodes
	}
	return answer
}

// checksum covers the nodes of this table that are presumed alive; it is never 0. Dead and departed nodes are
// excluded, since some tables still hold them and others never did.
func (t *Table) checksum() uint64 {
	total := uint64(1)
	if !t.nameTaken && t.self.PresumedAlive() {
		total ^= t.selfHash.of(t.self)
	}
	for _, e := range t.nodes {
		if e.node.PresumedAlive() {
			total ^= e.hash.of(e.node)
		}
	}
	return max(total, 1)
}

// hashCache caches the hash of a node until the node's record changes.
type hashCache struct {
	node Node
	hash uint64
}

// of returns the hash of a node.
func (s *hashCache) of(n Node) uint64 {
	if s.hash == 0 || s.node != n {
		s.node, s.hash = n, n.hash()
	}
	return s.hash
}

// hash returns a hash of all fields of a node.
func (n Node) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write(wire.Marshal(n))
	return h.Sum64()
}
