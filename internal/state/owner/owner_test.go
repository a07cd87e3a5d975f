package owner

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

const testKey = "replica/m-1"

// life is one run of the process of the only core of a set.
type process struct {
	group    *run.Group
	acceptor *acceptor.Acceptor
	owner    *Owner
}

func startProcess(t *testing.T, fs vfs.FS, quarantine, ownQuarantine time.Duration) process {
	t.Helper()
	group := run.NewGroup(t.Context())
	log := ring.New(io.Discard, 100).Logger()
	clk := simhost.NewClock()
	acc, err := acceptor.Open(group, "d", acceptor.FolderOwner{Fleet: "f", Node: "a"}, fs, clk, log)
	if err != nil {
		t.Fatal(err)
	}
	self := state.Core{Name: "a", DiskID: acc.DiskID()}
	set := state.CoreSet{Version: 1, Cores: []state.Core{self}}
	if _, err := acc.UpdateMembership(t.Context(), func(acceptor.Membership) (acceptor.Membership, bool) {
		return acceptor.Membership{Phase: acceptor.Voter, Set: set}, true
	}); err != nil {
		t.Fatal(err)
	}
	owner := New(Deps{
		Self: func() state.Core { return self }, Group: group, Clock: clk, Log: log, Acceptor: acc,
		Rank:   func(int) []state.Core { return set.Cores },
		Behind: func(state.Core) {}, Quarantine: quarantine, OwnQuarantine: ownQuarantine, HandbackDelay: time.Second,
	})
	return process{group: group, acceptor: acc, owner: owner}
}

func (l process) stop() {
	l.group.Stop()
	_ = l.acceptor.Close()
}

// until waits in steps of 10 ms for a condition and tells how long it took.
func waitFor(t *testing.T, limit time.Duration, condition func() bool) time.Duration {
	t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		took := time.Since(began)
		if condition() {
			return took
		}
		if took > limit {
			t.Fatalf("nothing happened in %v", limit)
		}
	}
}

func (l process) mayOrder() bool {
	_, _, ok := l.owner.MayOrder(testKey)
	return ok
}

// Where replicas tell the lives of a controller apart, a core that was restarted
// waits out what its earlier life may have ordered; where they go by its name, it
// goes on at once.
func TestRestartedCoreObservesRestartQuarantine(t *testing.T) {
	const lease = 3 * time.Second
	for _, own := range []time.Duration{0, lease} {
		synctest.Test(t, func(t *testing.T) {
			fs := vfs.NewMem()
			l := startProcess(t, fs, lease, own)
			waitFor(t, 5*time.Second, l.mayOrder)
			l.stop()
			l = startProcess(t, fs, lease, own)
			defer l.stop()
			took := waitFor(t, 10*time.Second, l.mayOrder)
			if own > 0 && took < own {
				t.Errorf("orders %v after its earlier life, %v are to be waited out", took, own)
			}
			if own == 0 && took > time.Second {
				t.Errorf("first order only %v after the start", took)
			}
		})
	}
}

// A slot that was lost and taken again in one life was free only in between, however
// long the process has run: what it granted itself just before is still on its way.
func TestReacquiredSlotCountsUnleasedSinceLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startProcess(t, vfs.NewMem(), state.LeaseDuration, 0)
		defer l.stop()
		holds := func() bool { return l.owner.Holds(testKey) }
		waitFor(t, 5*time.Second, holds)
		time.Sleep(10 * time.Second)
		lost := time.Now()
		s := l.owner.slots[state.SlotOf(testKey)]
		if err := s.actor.Ask(context.Background(), func() { s.giveUp("test", true) }); err != nil {
			t.Fatal(err)
		}
		waitFor(t, 10*time.Second, holds)
		if free, gap := l.owner.UnleasedFor(testKey), time.Since(lost); free > gap {
			t.Errorf("counted free for %v, given up only %v before", free, gap)
		}
	})
}
