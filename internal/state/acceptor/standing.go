package acceptor

import (
	"context"

	"github.com/cockroachdb/pebble/v2"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// Phase is how far a core has come towards voting.
type Phase string

// Phases: nothing known; agreed to a first formation; being filled; a voter.
const (
	Empty   Phase = "empty"
	Pending Phase = "pending"
	Filling Phase = "filling"
	Voter   Phase = "voter"
)

// Standing is the part of an acceptor that is not about slots.
type Membership struct {
	Phase    Phase         `cbor:"1,keyasint"`
	Set      state.CoreSet `cbor:"2,keyasint"`
	Previous state.CoreSet `cbor:"3,keyasint"` // while filling: whom to be filled from
	// MayFound says, while nothing is known, that this disk was there at the very first start.
	MayBootstrap bool `cbor:"4,keyasint,omitempty"`
}

// Standing is a copy of the phase and the core membership.
func (a *Acceptor) Membership() Membership { return *a.membership.Load() }

// SetStanding changes phase and core membership through f, one change at a time and
// synced before it returns. state.ErrSick says that it may not have been kept, and
// an ended ctx that it may yet be.
func (a *Acceptor) UpdateMembership(ctx context.Context, f func(Membership) (Membership, bool)) (Membership, error) {
	type answer struct {
		st  Membership
		err error
	}
	out, err := run.AskFor(ctx, a.membershipActor, func() answer {
		now, change := f(*a.membership.Load())
		if change {
			if err := a.commit(func(b *pebble.Batch) error { return b.Set(keyMembership, wire.Pack(now), nil) }); err != nil {
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

// Reset forgets everything and goes on as an empty core with an identity of its
// own. Why: a voter that the core membership has gone on without may only come back as a
// new member, filled by the others.
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
			if err := b.Set(keyDiskID, wire.Pack(disk), nil); err != nil {
				return err
			}
			return b.Set(keyMembership, wire.Pack(st), nil)
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

// inActor runs f in an actor and gives its error. An ended ctx is given at once; f may
// run all the same then.
func inActor(ctx context.Context, d *run.Actor, f func() error) error {
	failure, err := run.AskFor(ctx, d, f)
	if err != nil {
		return err
	}
	return failure
}
