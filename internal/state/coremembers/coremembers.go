// Package coremembers forms the first core set, and changes it one member at a
// time. A change is agreed by a majority of the old set; a new member then copies
// all slots and only then votes.
//
// Each core creates one Manager, which runs periodically, answers the managers of
// other cores and, for the operator interface, rescues a core after the loss of all
// others. A core's current set is stored in its acceptor's membership, which is
// changed only by this package. The package reads and writes slots only to fill a
// new member, and decides no change without a majority of the old set, except in a
// rescue.
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

// Key is the control state key that holds the decided core set. It is stored on disk.
const Key = "coreset"

const (
	// roundTimeout bounds one round of the manager and the messages sent in it.
	roundTimeout = 2 * time.Second
	// callTimeout bounds one message to another core.
	callTimeout = 900 * time.Millisecond
)

// Deps holds the dependencies and settings of a Manager.
type Deps struct {
	Self          func() state.Core
	FormationSize int      // how many cores form the first set; 0 means the cores at InitialAddrs, and changes of the set without an operator
	InitialAddrs  []string // addresses of the cores that form the first set
	MayBootstrap  bool     // this may be the first start of the fleet
	TargetSize    int      // size that a set without an operator is reduced to
	Replaces      string   // name of the member that this core replaces
	Group         *run.Group
	Log           *slog.Logger
	Caller        *wire.Client
	Acceptor      *acceptor.Acceptor
	Owner         *owner.Owner
	// Live returns the cores that are believed to be alive, with the phase that each reports.
	Live func() map[state.Core]acceptor.Phase
	Addr func(state.Core) (string, bool)
	// Absence reports whether a voter has left deliberately, and how long it has been absent.
	Absence func(state.Core) (left bool, away time.Duration)
	// SinceContact returns the time since a voter last answered this core; an hour or more means never.
	SinceContact func(state.Core) time.Duration
}

// Manager forms and changes the core set.
type Manager struct {
	d     Deps
	actor *run.Actor
	ticks int
	// readyTicks counts the rounds in which all initial cores were present but no set was formed.
	readyTicks int

	stopped atomic.Bool
}

const (
	// lostAfter is how long a voter must have been absent before it may be removed or replaced without an operator.
	lostAfter = 2500 * time.Millisecond
	// suspectAfter is how long a voter must not have answered for additional cores to be refused.
	suspectAfter = 700 * time.Millisecond
	// tickInterval is the time between two rounds of the manager.
	tickInterval = 500 * time.Millisecond
	// settleTicks is the number of rounds after the start before a core removes lost voters.
	settleTicks = 12
	// setPollTicks is the number of rounds between two requests to another core for a newer set.
	setPollTicks = 4
)

// New creates a Manager, registers its handlers for other cores on mux, and runs it until the
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
	// A core that is restarted before its first round must still know that it may form the first set.
	_ = k.actor.TryEnqueue(func() {
		ctx, cancel := context.WithTimeout(d.Group.Context(), roundTimeout)
		defer cancel()
		k.persistFirstStart(ctx)
	})
	return k
}

// Stop ends the periodic rounds. A core that is shutting down must not
// rejoin as a new member when the others remove it.
func (k *Manager) Stop() { k.stopped.Store(true) }

// unattended reports whether the set changes without an operator.
func (k *Manager) unattended() bool { return k.d.FormationSize == 0 }

// onTick runs one round, depending on the phase of this core.
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

// seekMembership tries to make a core without a vote a member: of an existing set, or else
// of the first set.
func (k *Manager) seekMembership(ctx context.Context, st acceptor.Membership) {
	live := k.d.Live()
	for c, phase := range live {
		// Once a set exists, a core with an empty disk joins as a new member and never forms a set.
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

// maintain is a voter's round: it completes decided changes and, without an operator,
// polls for newer sets and removes lost voters.
func (k *Manager) maintain(ctx context.Context, st acceptor.Membership) {
	k.finishDecided(ctx, st)
	member := st.Set.Has(k.d.Self())
	switch {
	case !member && k.unattended():
		k.d.Log.Warn("this core was replaced in the core set; rejoining as a new member", "set", st.Set.Version)
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

// call sends one message to another core. It returns wire.ErrUnreachable for a core
// that is believed to be down.
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

// askSet requests another core's set and phase.
func (k *Manager) askSet(ctx context.Context, c state.Core) (SetUpdate, error) {
	return call[None, SetUpdate](ctx, k, c, "/state/set", None{})
}
