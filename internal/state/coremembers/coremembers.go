// Package coremembers forms the first set of voters, and changes it one member at
// a time: agreed by a majority of the old set, then filled, then voting.
//
// Each core makes one Keeper, which acts by itself, answers the other cores'
// keepers and, for the operators' interface, rescues a core that has lost the
// others. The set that this core goes by is its acceptor's standing, which is
// changed here alone. It never takes part in reading or writing slots beyond
// filling a new member, and never decides a change without a majority of the
// old set, but for a rescue.
package coremembers

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
	"drumstall.example/internal/state/owner"
)

// Key is where a change of the core membership is decided; it lies so on disk.
const Key = "coreset"

const (
	// limit bounds one round of the keeper, and what it sends in it.
	roundTimeout = 2 * time.Second
	// callLimit bounds one message to another core.
	callTimeout = 900 * time.Millisecond
)

// Deps is what a keeper needs from the rest of the core.
type Deps struct {
	Self         func() state.Core
	Want         int      // how many cores the first formation waits for; 0 goes by Founders, and the set changes unattended
	InitialAddrs []string // addresses of the cores that form the first set
	MayBootstrap bool     // this start may be the first of all
	TargetSize   int      // size that an unattended set is brought back to
	Replaces     string   // name of the member whose place this core takes
	Group        *run.Group
	Log          *slog.Logger
	Caller       *wire.Caller
	Acceptor     *acceptor.Acceptor
	Owner        *owner.Owner
	// Live are the cores thought alive, with the phase each reports.
	Live func() map[state.Core]acceptor.Phase
	Addr func(state.Core) (string, bool)
	// Gone says whether a voter has left on purpose, and how long it has been away.
	Gone func(state.Core) (left bool, away time.Duration)
	// Heard is how long ago a voter answered this core; an hour or more is never.
	SinceContact func(state.Core) time.Duration
}

// Keeper keeps the core membership.
type Manager struct {
	d     Deps
	actor *run.Actor
	ticks int
	// readyTicks is for how many intervals all founders have been there without a set.
	readyTicks int

	stopped atomic.Bool
}

const (
	// goneAfter is how long a voter must have been away before an unattended set goes on without it.
	lostAfter = 2500 * time.Millisecond
	// doubtAfter is how long a voter must not have been heard for nobody to be taken in beside it.
	suspectAfter = 700 * time.Millisecond
	// interval is the time between two rounds of the keeper.
	tickInterval = 500 * time.Millisecond
	// settleTicks is for how many intervals a core looks around before it thinks of anybody as gone.
	settleTicks = 12
	// lookTicks is every how many intervals a voter asks another whether it knows a newer set.
	setPollTicks = 4
)

// New starts to keep the core membership, and answers the other cores on mux, until the
// group of d stops.
func New(d Deps, mux *wire.Mux) *Manager {
	k := &Manager{d: d}
	wire.Handle(mux, "/state/form", k.form)
	wire.Handle(mux, "/state/adopt", k.adopt)
	wire.Handle(mux, "/state/join", k.join)
	wire.Handle(mux, "/state/set", func(context.Context, None) (SetUpdate, error) {
		st := d.Acceptor.Membership()
		return SetUpdate{Set: st.Set, Previous: st.Previous, Phase: st.Phase}, nil
	})
	k.actor = run.NewActor(d.Group, 32, tickInterval, k.onTick)
	// Why: a core that is started anew before its first round must still know that it may found.
	_ = k.actor.Tell(func() {
		ctx, cancel := context.WithTimeout(d.Group.Context(), roundTimeout)
		defer cancel()
		k.persistFirstStart(ctx)
	})
	return k
}

// Stop leaves the set as it is from now on. Why: a core that is going away must not
// come back as a new member when the others go on without it.
func (k *Manager) Stop() { k.stopped.Store(true) }

// unattended says that the set changes without an operator.
func (k *Manager) unattended() bool { return k.d.Want == 0 }

// onTick does what this core's phase asks for.
func (k *Manager) onTick() {
	if k.stopped.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(k.d.Group.Context(), roundTimeout)
	defer cancel()
	k.persistFirstStart(ctx)
	st := k.d.Acceptor.Membership()
	k.ticks++
	switch st.Phase {
	case acceptor.Empty, acceptor.Pending:
		k.seekMembership(ctx, st)
	case acceptor.Filling:
		k.fill(ctx, st)
		if k.unattended() {
			k.pollForNewerSet(ctx, st)
		}
	case acceptor.Voter:
		k.maintain(ctx, st)
	}
}

// enter seeks a place for a core that has no vote yet: in a formed set, or else
// among the founders of the first.
func (k *Manager) seekMembership(ctx context.Context, st acceptor.Membership) {
	live := k.d.Live()
	for c, phase := range live {
		// Why: where a fleet is formed already, an empty disk is a new member, never a founder.
		if phase == acceptor.Voter || phase == acceptor.Filling {
			if k.adoptIfMember(ctx, c) {
				return
			}
			if st.Phase == acceptor.Empty {
				k.requestJoin(ctx, c)
			}
			return
		}
	}
	k.bootstrap(ctx, st, live)
}

// keep is a voter's round: it finishes what was decided, and where no operator
// does, looks for newer sets and for voters that are gone.
func (k *Manager) maintain(ctx context.Context, st acceptor.Membership) {
	k.finishDecided(ctx, st)
	member := st.Set.Has(k.d.Self())
	switch {
	case !member && k.unattended():
		k.d.Log.Warn("this core was replaced in the core set; it comes back as a new member", "set", st.Set.Version)
		if err := k.d.Acceptor.Reset(ctx); err != nil {
			k.d.Log.Warn("reset", "error", err)
		}
	case !member:
		k.d.Log.Warn("this core was replaced in the core set", "set", st.Set.Version)
	case k.unattended():
		k.pollForNewerSet(ctx, st)
		k.trim(ctx, st)
	}
}

// call sends one message to another core; wire.ErrUnreachable is given for one
// that is thought gone.
func call[Q, A any](ctx context.Context, k *Manager, c state.Core, path string, q Q) (A, error) {
	addr, ok := k.d.Addr(c)
	if !ok {
		var none A
		return none, wire.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return wire.Call[Q, A](ctx, k.d.Caller, addr, path, q)
}

// askSet asks another core for its set and phase.
func (k *Manager) askSet(ctx context.Context, c state.Core) (SetUpdate, error) {
	return call[None, SetUpdate](ctx, k, c, "/state/set", None{})
}
