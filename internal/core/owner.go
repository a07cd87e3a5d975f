package core

import (
	"context"

	"github.com/pkg/errors"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// onSlotAcquired is called with the records of a slot when this core has acquired it.
func (c *Core) onSlotAcquired(slot int, recs []state.Record) {
	if c.reconcileNudge != nil {
		c.reconcileNudge.Fire()
	}
	epoch := c.owner.Held()[slot]
	c.planner.OnSlotAcquired(slot, epoch, recs)
	for _, r := range recs {
		if r.Key == conf.Key {
			// The previous owner may have crashed after storing the configuration and before announcing it.
			c.gossip.Put(gossip.Entry{Key: r.Key, Stamp: r.Stamp, Value: r.Value})
		}
	}
}

const (
	// newestPath is served by the owner of the configuration and returns the newest.
	newestPath = "/conf/newest"
	// ConfirmPath is served by any core, which queries the owner.
	ConfirmPath = "/conf/confirm"
)

// NewestQuery asks for the newest configuration.
type NewestQuery struct {
	// StampOnly requests the stamp without the document, which arrives by gossip.
	StampOnly bool `cbor:"1,keyasint,omitempty"`
}

// Newest is the newest configuration read under the owner's lease, or only its stamp.
type Newest struct {
	Found bool         `cbor:"1,keyasint"`
	Entry gossip.Entry `cbor:"2,keyasint"`
}

var errNotOwner = wire.Refuse("not-owner", "the key is not held here")

// holder returns the address of the core that holds a slot: the last known holder, or else the
// core that claims the slot with the highest epoch when asked.
func (c *Core) holder(ctx context.Context, slot int) (addr string, known bool) {
	voters := c.voters(slot)
	if last := c.lastHolders[slot].Load(); last != nil {
		for _, v := range voters {
			if v.Name == *last && v.Name != c.s.Name {
				return v.Addr, true
			}
		}
	}
	type claim struct {
		v     state.Core
		epoch uint64
	}
	// All voters are asked concurrently: a preferred core may be reachable by the edges but not from here, and must not delay the answer.
	ch := run.FanOut(c.group, len(voters), func(_ context.Context, i int) claim {
		one, cancel := context.WithTimeout(ctx, holderProbeTimeout)
		defer cancel()
		if voters[i].Name == c.s.Name {
			return claim{}
		}
		held, err := wire.Call[empty, map[int]uint64](one, c.caller, voters[i].Addr, "/state/held", empty{})
		if err != nil {
			return claim{}
		}
		return claim{voters[i], held[slot]}
	})
	var best claim
	for range voters {
		if x := <-ch; x.epoch > best.epoch {
			best = x
		}
	}
	if best.epoch == 0 {
		return "", false
	}
	c.lastHolders[slot].Store(&best.v.Name)
	return best.v.Addr, true
}

// callOwner runs an operation at the holder of a key: local on this core, or path on the core
// that holds the key's slot.
func callOwner[Q, A any](ctx context.Context, c *Core, key, path string, q Q, local func(context.Context, Q) (A, error)) (A, error) {
	var a A
	slot := state.SlotOf(key)
	for range 3 {
		if c.owner.Holds(key) {
			return local(ctx, q)
		}
		addr, known := c.holder(ctx, slot)
		if !known {
			break
		}
		one, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		a, err := wire.Call[Q, A](one, c.caller, addr, path, q)
		cancel()
		if err == nil {
			return a, nil
		}
		c.lastHolders[slot].Store(nil)
		switch wire.Code(err) {
		case "not-owner":
			continue
		case "no-quorum":
			return a, state.ErrNoQuorum
		}
		// The operation may have taken effect there, so it is not retried on another core.
		return a, errors.Wrap(state.ErrOutcomeUnknown, err.Error())
	}
	return a, errors.Wrap(state.ErrNoQuorum, "no core is known to hold "+key)
}

// toRefusal maps errors of the control state to the refusals that a peer understands.
func toRefusal(err error) error {
	switch {
	case errors.Is(err, state.ErrNotOwner):
		return errNotOwner
	case errors.Is(err, state.ErrNoQuorum):
		return wire.Refuse("no-quorum", err.Error())
	case errors.Is(err, state.ErrOutcomeUnknown):
		return wire.Refuse("unknown", err.Error())
	}
	return err
}
