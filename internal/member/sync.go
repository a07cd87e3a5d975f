package member

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"drumstall.example/internal/kernel/wire"
)

const (
	// smallTable is up to how many nodes a table is packed anew for each who asks for it.
	maxUncachedNodes = 24
	// packedFor is how long a larger one is told as it was packed. Why: when a large fleet starts, every
	// node asks the seeds for the whole table again and again, while it changes all the time.
	syncCacheTTL = 100 * time.Millisecond
)

// packedRoll is the whole table as it was told last.
type cachedSync struct {
	answer wire.EncodedMessage
	at     time.Duration // 0 is never
}

// sync exchanges whole tables with one peer, and with a seed now and then.
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
	sum := t.checksum()
	for _, addr := range addrs {
		// Why: a peer that has not answered yet is busy; asking it again makes it busier.
		if addr == t.self.Addr || t.syncing[addr] {
			continue
		}
		t.syncing[addr] = true
		t.group.Go(func(ctx context.Context) {
			t.syncWith(ctx, addr, sum)
			_ = t.actor.Do(ctx, func() { delete(t.syncing, addr) })
		})
	}
}

// syncWith exchanges tables with one peer where they differ.
func (t *Table) syncWith(ctx context.Context, addr string, sum uint64) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	theirs, err := wire.Call[SyncMessage, SyncMessage](ctx, t.caller, addr, syncPath, SyncMessage{Checksum: sum})
	if err != nil || theirs.Checksum == sum {
		return
	}
	var lacking SyncMessage
	if t.actor.Do(ctx, func() {
		lacking = SyncMessage{Nodes: t.missingFrom(theirs.Nodes), Checksum: sum}
		t.mergeAll(theirs.Nodes)
	}) != nil || len(lacking.Nodes) == 0 {
		return
	}
	// Why: what the peer lacks is its own loss; what we lacked is here.
	_, _ = wire.Call[SyncMessage, SyncMessage](ctx, t.caller, addr, syncPath, lacking)
}

// lackedBy is the nodes of this table that another does not know, or knows as they were before.
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

// answerSync is the packed answer to a peer's table, or to the sum of it.
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

// toldAsPacked says that who asks lacks the whole table and is told it as it was packed last.
func (t *Table) canUseCachedSync(q SyncMessage, now time.Duration) bool {
	return t.cachedSync.at != 0 && now-t.cachedSync.at < syncCacheTTL && !q.isReturn() && !q.matches(t.checksum())
}

// onSync answers a peer's table, or the sum of it.
func (t *Table) onSync(q SyncMessage) SyncMessage {
	t.mergeAll(q.Nodes)
	answer := SyncMessage{Checksum: t.checksum()}
	if !q.matches(answer.Checksum) && !q.isReturn() {
		answer.Nodes = t.wholeTable().Nodes
	}
	return answer
}

// sum stands for the live nodes of this table; it is never 0. Why: nodes that are gone are
// remembered by some and were never known to others.
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

// nodeSum keeps the hash of what is known of a node until that changes.
type hashCache struct {
	node Node
	hash uint64
}

// of is the hash of a node.
func (s *hashCache) of(n Node) uint64 {
	if s.hash == 0 || s.node != n {
		s.node, s.hash = n, n.hash()
	}
	return s.hash
}

// hash is of all that is known of a node.
func (n Node) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write(wire.Marshal(n))
	return h.Sum64()
}
