package acceptor

import (
	"context"

	"github.com/cockroachdb/pebble/v2"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// Phase is the progress of a core towards voting.
type Phase string

// Phases of a core: without membership; agreed to an initial formation that is not committed; copying the slots from
// the previous set; voting.
const (
	Empty   Phase = "empty"
	Pending Phase = "pending"
	Filling Phase = "filling"
	Voter   Phase = "voter"
)

// Membership is a core's phase and the core set that it belongs to.
type Membership struct {
	Phase    Phase         `cbor:"1,keyasint"`
	Set      state.CoreSet `cbor:"2,keyasint"`
	Previous state.CoreSet `cbor:"3,keyasint"` // while filling: the set whose voters the slots are read from
	// MayBootstrap is set, while the phase is Empty, if this core was allowed to form the first set when it was started.
	MayBootstrap bool `cbor:"4,keyasint,omitempty"`
}

// Membership returns a copy of the phase and the core set.
func (a *Acceptor) Membership() Membership { return *a.membership.Load() }

// UpdateMembership changes the phase and the core set through f. Changes are serialized
// and synced to disk before it returns. After state.ErrDiskFailed it is unknown whether
// the change is stored; after an error of ctx it may still be stored later.
func (a *Acceptor) UpdateMembership(ctx context.Context, f func(Membership) (Membership, bool)) (Membership, error) {
	type answer struct {
		st  Membership
		err error
	}
	out, err := run.Call(ctx, a.membershipActor, func() answer {
		now, change := f(*a.membership.Load())
		if change {
			if err := a.commit(func(b *pebble.Batch) error { return b.Set(keyMembership, wire.Marshal(now), nil) }); err != nil {
				return answer{err: err}
			}
			a.membership.Store(&now)
		}
		return answer{st: now}
	})
	if err == nil {
		err = out.err
	}
	return out.st, err
}

// Reset erases all slots and the membership and continues as an empty core with a new
// disk ID. A voter that was removed from the core set may return only as a new
// member that is filled by the others.
func (a *Acceptor) Reset(ctx context.Context) error {
	disk, err := newDiskID()
	if err != nil {
		return err
	}
	err = inActor(ctx, a.membershipActor, func() error {
		st := Membership{Phase: Empty}
		a.membership.Store(&st)
		return a.commit(func(b *pebble.Batch) error {
			for _, family := range []string{"p", "r"} {
				if err := b.DeleteRange([]byte(family+"/"), []byte(family+"0"), nil); err != nil {
					return err
				}
			}
			if err := b.Set(keyDiskID, wire.Marshal(disk), nil); err != nil {
				return err
			}
			return b.Set(keyMembership, wire.Marshal(st), nil)
		})
	})
	if err != nil {
		return err
	}
	for _, t := range a.slots {
		err := inActor(ctx, t.actor, func() error {
			t.reset()
			return nil
		})
		if err != nil {
			return err
		}
	}
	a.diskID.Store(&disk)
	return nil
}

// inActor runs f in an actor and returns its error. When ctx ends it returns at once, and
// f may still run.
func inActor(ctx context.Context, actor *run.Actor, f func() error) error {
	result, err := run.Call(ctx, actor, f)
	if err != nil {
		return err
	}
	return result
}
