package owner

import (
	"context"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// renew prolongs all leases with one message to each voter.
func (o *Owner) renew(context.Context) {
	set := o.d.Acceptor.Membership().Set
	self := o.d.Self()
	// Why: the lease is measured from before the renewal was sent, so it ends here before it ends there.
	before := o.d.Clock.Since()
	epochs := o.Held()
	if len(epochs) == 0 || o.stopped.Load() {
		return
	}
	q := state.RenewRequest{SetVersion: set.Version, From: self, Epochs: epochs}
	ch := run.Fan(o.d.Group, len(set.Cores), func(ctx context.Context, i int) state.RenewReply {
		return o.renewWith(ctx, set.Cores[i], q, before)
	})
	granted := map[int]int{}
	for range set.Cores {
		r := <-ch
		for _, n := range r.Granted {
			granted[n]++
			if granted[n] == set.Quorum() {
				o.slots[n].extend(epochs[n], before)
			}
		}
	}
}

// renewAt asks one voter for all leases; the answer is empty without its word.
func (o *Owner) renewWith(ctx context.Context, c state.Core, q state.RenewRequest, before time.Duration) state.RenewReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r state.RenewReply
	var err error
	if c.SameVoter(q.From) {
		r, err = o.d.Acceptor.Renew(ctx, q)
	} else {
		r, err = callVoter[state.RenewRequest, state.RenewReply](ctx, o, c, "/state/renew", q)
		if wire.Code(err) == state.ReasonBehindCoreSet {
			o.d.Behind(c)
		}
	}
	if err != nil {
		return state.RenewReply{}
	}
	o.mu.Lock()
	o.lastGrant[c.Name] = before
	o.mu.Unlock()
	return r
}

// prolong makes the lease under an epoch last as long as a renewal sent at this
// time allows.
func (s *slot) extend(epoch uint64, sent time.Duration) {
	old := s.leaseUntil.Load()
	next := int64(sent + state.LeaseDuration - state.LeaseMargin)
	// Why: a lease given up meanwhile must not come back to life.
	if old > 0 && s.epoch.Load() == epoch && next > old {
		s.leaseUntil.CompareAndSwap(old, next)
	}
}
