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

// process is one run of the only core of a set.
type process struct {
	group    *run.Group
	acceptor *acceptor.Acceptor
	owner    *Owner
}

func startProcess(t *testing.T, fs vfs.FS, quarantine, restartQuarantine time.Duration) process {
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
		Rank:          func(int) []state.Core { return set.Cores },
		OnVoterBehind: func(state.Core) {}, Quarantine: quarantine, RestartQuarantine: restartQuarantine, HandbackDelay: time.Second,
	})
	return process{group: group, acceptor: acc, owner: owner}
}

func (p process) stop() {
	p.group.Stop()
	_ = p.acceptor.Close()
}

// waitFor polls a condition every 10 ms and returns how long it took to become true.
func waitFor(t *testing.T, limit time.Duration, condition func() bool) time.Duration {
	t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		took := time.Since(began)
		if condition() {
			return took
		}
		if took > limit {
			t.Fatalf("the condition was not met within %v", limit)
		}
	}
}

func (p process) mayOrder() bool {
	_, _, ok := p.owner.MayOrder(testKey)
	return ok
}

// Where replicas distinguish restarts of a controller, a restarted core waits until the orders it
// may have sent before the restart have expired; where they identify it by name, it
// continues at once.
func TestRestartedCoreObservesRestartQuarantine(t *testing.T) {
	const lease = 3 * time.Second
	for _, restartQuarantine := range []time.Duration{0, lease} {
		synctest.Test(t, func(t *testing.T) {
			fs := vfs.NewMem()
			p := startProcess(t, fs, lease, restartQuarantine)
			waitFor(t, 5*time.Second, p.mayOrder)
			p.stop()
			p = startProcess(t, fs, lease, restartQuarantine)
			defer p.stop()
			took := waitFor(t, 10*time.Second, p.mayOrder)
			if restartQuarantine > 0 && took < restartQuarantine {
				t.Errorf("may order %v after the restart, want at least %v", took, restartQuarantine)
			}
			if restartQuarantine == 0 && took > time.Second {
				t.Errorf("may order only %v after the start, want at once", took)
			}
		})
	}
}

// A slot that was lost and reacquired by the same process was unleased only in between, however
// long the process has run: orders sent before the loss may still be in flight.
func TestReacquiredSlotCountsUnleasedSinceLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startProcess(t, vfs.NewMem(), state.LeaseDuration, 0)
		defer p.stop()
		holds := func() bool { return p.owner.Holds(testKey) }
		waitFor(t, 5*time.Second, holds)
		time.Sleep(10 * time.Second)
		lost := time.Now()
		s := p.owner.slots[state.SlotOf(testKey)]
		if err := s.actor.Do(context.Background(), func() { s.giveUp("test", true) }); err != nil {
			t.Fatal(err)
		}
		waitFor(t, 10*time.Second, holds)
		if free, gap := p.owner.UnleasedFor(testKey), time.Since(lost); free > gap {
			t.Errorf("counted as unleased for %v, but given up only %v before", free, gap)
		}
	})
}
