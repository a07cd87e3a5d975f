// Package simstate is the control state of a set of one core on a simulated machine, for tests of what stands on it.
package simstate

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/sim/simnet"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
	"drumstall.example/internal/state/owner"
)

const (
	logLines  = 100
	lookEvery = 100 * time.Millisecond
	takenBy   = 10 * time.Second
)

// Play plays, in simulated time, with the owner of all slots, as the only core of its set, with a disk. What the play
// starts in the group ends with it.
func Play(t *testing.T, disk vfs.FS, play func(t *testing.T, g *run.Group, own *owner.Owner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := run.NewGroup(t.Context())
		own, acc, err := sole(t.Context(), g, disk)
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			g.Stop()
			if err := acc.Close(); err != nil {
				t.Error(err)
			}
		}()
		play(t, g, own)
	})
}

// sole starts the owner, and waits until it has all slots.
func sole(ctx context.Context, g *run.Group, disk vfs.FS) (*owner.Owner, *acceptor.Acceptor, error) {
	clock, log := simhost.NewClock(), ring.New(io.Discard, logLines).Logger()
	fabric := simnet.New(1, func(string, string) time.Duration { return time.Millisecond })
	acc, err := acceptor.Open(g, "d", acceptor.FolderOwner{Node: "a"}, disk, clock, log)
	if err != nil {
		return nil, nil, err
	}
	self := state.Core{Name: "a", DiskID: acc.DiskID(), Addr: "10.0.0.1:7000"}
	if _, err := acc.UpdateMembership(ctx, func(acceptor.Membership) (acceptor.Membership, bool) {
		return acceptor.Membership{Phase: acceptor.Voter, Set: state.CoreSet{Version: 1, Cores: []state.Core{self}}}, true
	}); err != nil {
		return nil, acc, err
	}
	own := owner.New(owner.Deps{Self: func() state.Core { return self }, Group: g, Clock: clock, Log: log, Caller: wire.NewClient(fabric.Host("10.0.0.1")), Acceptor: acc,
		Addr: func(state.Core) (string, bool) { return "", false }, Rank: func(int) []state.Core { return []state.Core{self} }, OnVoterBehind: func(state.Core) {}})
	for range int(takenBy / lookEvery) {
		if len(own.Held()) == state.SlotCount {
			return own, acc, nil
		}
		run.Sleep(ctx, lookEvery)
	}
	return nil, acc, errors.New("simstate: the slots were not taken")
}
