package core

import (
	"context"
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/run"
)

// pushLimit is how long live nodes are given to take a configuration that is pushed to them.
const pushLimit = 700 * time.Millisecond

// announce tells a configuration to all live nodes, and waits until they have it or
// ctx ends. Why: who has it before the acknowledgement needs no luck to have it in time;
// the rest get it by gossip.
func (c *Core) announce(ctx context.Context, e gossip.Entry) {
	c.gossip.Put(e)
	told := make(chan struct{})
	// Why: it is kept, whether or not whoever sent it still waits, so it must come into force everywhere.
	started := c.group.Go(func(ctx context.Context) {
		defer close(told)
		push, cancel := context.WithTimeout(ctx, pushLimit)
		defer cancel()
		began, peers := c.env.Clock.Since(), c.members.Peers()
		reached := c.spread.Push(push, peers, e)
		c.log.Info("configuration pushed", "epoch", e.Stamp.Epoch, "version", e.Stamp.Version, "bytes", len(e.Value), "nodes", len(peers), "reached", reached,
			"tookMs", (c.env.Clock.Since() - began).Milliseconds())
	})
	if started {
		run.WaitOn(ctx, told, pushLimit)
	}
}
