package owner

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// renew extends all leases with one message to each voter.
func (o *Owner) renew(context.Context) {
	set := o.d.Acceptor.Membership().Set
	self := o.d.Self()
	// The lease is measured from before the renewal is sent, so it ends at the holder before it ends at the voters.
	sentAt := o.d.Clock.Since()
	epochs := o.Held()
	if len(epochs) == 0 || o.stopped.Load() {
		return
	}
	q := state.RenewRequest{SetVersion: set.Version, From: self, Epochs: epochs}
	ch := run.FanOut(o.d.Group, len(set.Cores), func(ctx context.Context, i int) state.RenewReply {
		return o.renewWith(ctx, set.Cores[i], q, sentAt)
	})
	granted := map[int]int{}
	for range set.Cores {
		r := <-ch
		for _, n := range r.Granted {
			granted[n]++
			if granted[n] == set.Quorum() {
				o.slots[n].extend(epochs[n], sentAt)
			}
		}
	}
}

// renewWith asks one voter to renew all leases; the reply is empty if the voter refuses or does not answer.
func (o *Owner) renewWith(ctx context.Context, c state.Core, q state.RenewRequest, sentAt time.Duration) state.RenewReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r state.RenewReply
	var err error
	if c.SameVoter(q.From) {
		r, err = o.d.Acceptor.Renew(ctx, q)
	} else {
		r, err = callVoter[state.RenewRequest, state.RenewReply](ctx, o, c, "/state/renew", q)
		if wire.Code(err) == state.ReasonBehindCoreSet {
			o.d.OnVoterBehind(c)
		}
	}
	if err != nil {
		return state.RenewReply{}
	}
	o.mu.Lock()
	o.lastGrant[c.Name] = sentAt
	o.mu.Unlock()
	return r
}

// extend moves the end of the lease under an epoch to what a renewal sent at the given
// time allows.
func (s *slot) extend(epoch uint64, sentAt time.Duration) {
	old := s.leaseUntil.Load()
	next := int64(sentAt + state.LeaseDuration - state.LeaseMargin)
	// A lease that was given up in the meantime must not become valid again.
	if old > 0 && s.epoch.Load() == epoch && next > old {
		s.leaseUntil.CompareAndSwap(old, next)
	}
}
