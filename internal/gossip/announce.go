package gossip

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
)

// announceLimit is how long those who are told of an announced entry are given to take it.
const announceTimeout = 700 * time.Millisecond

// Announce takes an entry of this node's own making and hands it at once to whom it is for: in a
// small fleet to every node, in a large one to the cores, who tell the agents below them. It gives to how many
// nodes that is, and how many have it.
func (s *Disseminator) Announce(ctx context.Context, e Entry) (nodes, reached int) {
	s.table.Put(e)
	to := s.announceTargets()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return len(to), s.Push(ctx, to, e)
}

// announcedTo is who is handed an announced entry by its author. Why: what its author does for one
// change must not grow with the fleet; a core has its leases to keep meanwhile.
func (s *Disseminator) announceTargets() []string {
	all := s.peers()
	if len(all) <= MaxDirectPeers {
		return all
	}
	if tree := s.refreshTree(); tree.IsCore && tree.usable() {
		return tree.Cores
	}
	return all
}

// Push hands entries to nodes at these addresses at once, and returns when each
// has answered, a second is over or ctx ends; who could not be reached learns them later. It
// gives how many have answered.
func (s *Disseminator) Push(ctx context.Context, to []string, entries ...Entry) int {
	message := wire.EncodeMessage(bundle{From: s.self(), Entries: entries})
	ch := run.FanOut(s.group, len(to), func(_ context.Context, i int) bool {
		one, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := wire.CallEncoded[PushReply](one, s.caller, to[i], "/news/push", message)
		return err == nil
	})
	reached := 0
	for range to {
		if <-ch {
			reached++
		}
	}
	return reached
}
