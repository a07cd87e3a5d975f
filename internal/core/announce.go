package core

import (
	"context"
	"time"

	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/run"
)

// announceWait bounds how long an acknowledgement waits for a configuration to be pushed.
const announceWait = 700 * time.Millisecond

// announce pushes a configuration to the nodes that distribute it and waits until they
// have it, announceWait has passed or ctx ends. Nodes reached before the acknowledgement do not
// depend on the timing of gossip; the others receive it by gossip.
func (c *Core) announce(ctx context.Context, e gossip.Entry) {
	pushed := make(chan struct{})
	// The configuration is stored whether or not the submitter still waits, so the push outlives the call.
	started := c.group.Go(func(ctx context.Context) {
		defer close(pushed)
		began := c.env.Clock.Since()
		nodes, reached := c.spread.Announce(ctx, e)
		c.log.Info("configuration pushed", "epoch", e.Stamp.Epoch, "version", e.Stamp.Version, "bytes", len(e.Value), "nodes", nodes, "reached", reached,
			"tookMs", (c.env.Clock.Since() - began).Milliseconds())
	})
	if started {
		run.WaitOn(ctx, pushed, announceWait)
	}
}
