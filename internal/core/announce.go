package core

import (
	"context"
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/run"
)

// announceWait is how long an acknowledgement waits for the nodes that are told of a configuration.
const announceWait = 700 * time.Millisecond

// announce tells a configuration to those who pass it on, and waits until they have it or
// ctx ends. Why: who has it before the acknowledgement needs no luck to have it in time;
// the rest get it by gossip.
func (c *Core) announce(ctx context.Context, e gossip.Entry) {
	told := make(chan struct{})
	// Why: it is kept, whether or not whoever sent it still waits, so it must come into force everywhere.
	started := c.group.Go(func(ctx context.Context) {
		defer close(told)
		began := c.env.Clock.Since()
		nodes, reached := c.spread.Announce(ctx, e)
		c.log.Info("configuration pushed", "epoch", e.Stamp.Epoch, "version", e.Stamp.Version, "bytes", len(e.Value), "nodes", nodes, "reached", reached,
			"tookMs", (c.env.Clock.Since() - began).Milliseconds())
	})
	if started {
		run.WaitOn(ctx, told, announceWait)
	}
}
