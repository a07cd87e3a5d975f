package member

import (
	"context"
	"hash/fnv"
	"math/rand/v2"

	"drumstall.example/internal/kernel/wire"
)

// sync exchanges whole tables with one peer, and with a seed now and then.
func (t *Table) sync(seed bool) {
	var addrs []string
	if p := t.some(1, ""); len(p) > 0 {
		addrs = append(addrs, p[0].Addr)
	}
	if len(t.seeds) > 0 && (len(addrs) == 0 || seed) {
		addrs = append(addrs, t.seeds[rand.IntN(len(t.seeds))])
	}
	for i, n := range rand.Perm(len(t.met)) {
		if i == helpers {
			break
		}
		addrs = append(addrs, t.met[n])
	}
	sum := t.sum()
	for _, addr := range addrs {
		if addr == t.self.Addr {
			continue
		}
		t.group.Go(func(ctx context.Context) { t.syncWith(ctx, addr, sum) })
	}
}

// syncWith exchanges whole tables with one peer where they differ.
func (t *Table) syncWith(ctx context.Context, addr string, sum uint64) {
	ctx, cancel := context.WithTimeout(ctx, syncLimit)
	defer cancel()
	theirs, err := wire.Call[Roll, Roll](ctx, t.caller, addr, syncPath, Roll{Sum: sum})
	if err != nil || theirs.Sum == sum {
		return
	}
	var ours Roll
	if t.actor.Ask(ctx, func() {
		ours = t.roll()
		ours.Sum = sum
		t.mergeAll(theirs.Nodes)
	}) != nil {
		return
	}
	// Why: what the peer lacks is its own loss; what we lacked is here.
	_, _ = wire.Call[Roll, Roll](ctx, t.caller, addr, syncPath, ours)
}

// onSync answers a peer's table, or the sum of it.
func (t *Table) onSync(q Roll) Roll {
	t.mergeAll(q.Nodes)
	answer := Roll{Sum: t.sum()}
	if !q.same(answer.Sum) && !q.returned() {
		answer.Nodes = t.roll().Nodes
	}
	return answer
}

// sum stands for the live nodes of this table; it is never 0. Why: nodes that are gone are
// remembered by some and were never known to others.
func (t *Table) sum() uint64 {
	total := uint64(1)
	for _, n := range t.roll().Nodes {
		if n.Thought() {
			total ^= n.hash()
		}
	}
	return max(total, 1)
}

// hash is of all that is known of a node.
func (n Node) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write(wire.Pack(n))
	return h.Sum64()
}
