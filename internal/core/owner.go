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

func (c *Core) onSlotAcquired(slot int, recs []state.Record) {
	if c.reconcileNudge != nil {
		c.reconcileNudge.Fire()
	}
	epoch := c.owner.Held()[slot]
	c.planner.OnSlotAcquired(slot, epoch, recs)
	for _, r := range recs {
		if r.Key == conf.Key {
			// Why: the owner before us may have died between keeping it and telling it.
			c.gossip.Put(gossip.Entry{Key: r.Key, Stamp: r.Stamp, Value: r.Value})
		}
	}
}

const (
	// newestPath asks the owner of the configuration for the newest.
	newestPath = "/conf/newest"
	// ConfirmPath asks any core, which asks the owner.
	ConfirmPath = "/conf/confirm"
)

// NewestQuery asks for the newest configuration.
type NewestQuery struct {
	// StampOnly asks for its stamp alone; the document comes by gossip.
	StampOnly bool `cbor:"1,keyasint,omitempty"`
}

// Newest is the newest configuration under the owner's lease, or only its headline.
type Newest struct {
	Found bool         `cbor:"1,keyasint"`
	Entry gossip.Entry `cbor:"2,keyasint"`
}

var errNotOwner = wire.Refuse("not-owner", "the key is not held here")

// holder is the core that holds a slot: the one that did last, or else the one
// that says so now, under the highest epoch.
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
	// Why: a preferred core may be alive for the edges and cut off from us; asking all at once does not wait for it.
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

// atOwner does something where a key is held: here, or on the core that says so.
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
		// Why: it may have been done there, so it is not tried elsewhere.
		return a, errors.Wrap(state.ErrOutcomeUnknown, err.Error())
	}
	return a, errors.Wrap(state.ErrNoQuorum, "no core is known to hold "+key)
}

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
