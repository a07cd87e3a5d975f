package gossip

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
)

// announceTimeout bounds the push of an announced entry to its targets.
const announceTimeout = 700 * time.Millisecond

// Announce stores a local entry and pushes it at once: to the other cores if this node is a core of a large
// fleet (each core forwards it to its agents), and to all peers otherwise. It returns the number of
// nodes pushed to and how many of them answered.
func (s *Disseminator) Announce(ctx context.Context, e Entry) (nodes, reached int) {
	s.table.Put(e)
	to := s.announceTargets()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return len(to), s.Push(ctx, to, e)
}

// announceTargets returns the addresses that the author of an announced entry pushes it to. The cost of one
// change to its author must not grow with the fleet: a core has to renew its leases meanwhile.
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

// Push sends entries to the nodes at these addresses and returns when each has
// answered, one second has passed or ctx is done. Unreachable nodes get the entries later by gossip.
// It returns the number of nodes that answered.
func (s *Disseminator) Push(ctx context.Context, to []string, entries ...Entry) int {
	message := wire.EncodeMessage(bundle{From: s.self(), Entries: entries})
	ch := run.FanOut(s.group, len(to), func(_ context.Context, i int) bool {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := wire.CallEncoded[PushReply](callCtx, s.caller, to[i], "/news/push", message)
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
