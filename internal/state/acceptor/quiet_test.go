package acceptor

import (
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/state"
)

// What a holder says when it lets go of a slot holds for the lease that it had, and for no later one.
func TestASlotIsQuietOnlyByTheWordOfItsLastHolder(t *testing.T) {
	bubble(t, func(t *testing.T, as []*Acceptor) {
		ctx, a := t.Context(), as[0]
		time.Sleep(state.LeaseDuration)
		r, err := a.Prepare(ctx, ask("a", 1, 0, false))
		yes(t, r, err)
		release := ask("a", 1, 0, false)
		release.IdleMs = 4000
		r, err = a.Release(ctx, release)
		yes(t, r, err)
		time.Sleep(time.Second)
		r, err = a.Prepare(ctx, ask("b", 2, 0, false))
		yes(t, r, err)
		if r.IdleMs != 5000 {
			t.Errorf("quiet for %d ms, not 5000", r.IdleMs)
		}
		r, err = a.Release(ctx, ask("b", 2, 0, false))
		yes(t, r, err)
		r, err = a.Prepare(ctx, ask("c", 3, 0, false))
		yes(t, r, err)
		if r.IdleMs != 0 {
			t.Errorf("quiet for %d ms though the last holder has not said so", r.IdleMs)
		}
	})
}

func TestAVoterThatWasRestartedKnowsOfNoQuietSlot(t *testing.T) {
	bubble(t, func(t *testing.T, _ []*Acceptor) {
		ctx, fs := t.Context(), vfs.NewMem()
		g := run.NewGroup(ctx)
		a := open(t, g, fs)
		r, err := a.Prepare(ctx, ask("a", 1, 0, false))
		yes(t, r, err)
		release := ask("a", 1, 0, false)
		release.IdleMs = 4000
		r, err = a.Release(ctx, release)
		yes(t, r, err)
		g.Stop()
		_ = a.Close()
		g = run.NewGroup(ctx)
		a = open(t, g, fs)
		time.Sleep(state.LeaseDuration)
		r, err = a.Prepare(ctx, ask("b", 2, 0, false))
		yes(t, r, err)
		if r.IdleMs != 0 {
			t.Errorf("quiet for %d ms by the word of nobody", r.IdleMs)
		}
		g.Stop()
		_ = a.Close()
	})
}

func TestAVoterThatHasPromisedNothingKnowsOfNoQuietSlot(t *testing.T) {
	bubble(t, func(t *testing.T, as []*Acceptor) {
		time.Sleep(state.LeaseDuration)
		r, err := as[0].Prepare(t.Context(), ask("a", 1, 0, false))
		yes(t, r, err)
		if r.IdleMs != 0 {
			t.Errorf("quiet for %d ms by the word of nobody", r.IdleMs)
		}
	})
}

// A slot that is let go of for one core goes to no other for a moment, and to anybody after that.
func TestASlotThatIsLetGoOfForACoreIsKeptForIt(t *testing.T) {
	bubble(t, func(t *testing.T, as []*Acceptor) {
		ctx, a := t.Context(), as[0]
		time.Sleep(state.LeaseDuration)
		release := func(from string, epoch uint64) {
			t.Helper()
			r, err := a.Prepare(ctx, ask(from, epoch, 0, false))
			yes(t, r, err)
			q := ask(from, epoch, 0, false)
			q.NextHolder = "b"
			r, err = a.Release(ctx, q)
			yes(t, r, err)
		}
		release("a", 1)
		if r, _ := a.Peek(ctx, ask("c", 2, 0, false)); r.OK || r.Reason != state.ReasonHeld {
			t.Errorf("free for another at once: %+v", r)
		}
		r, err := a.Prepare(ctx, ask("b", 2, 0, false))
		yes(t, r, err)
		release("b", 3)
		time.Sleep(meantFor)
		r, err = a.Prepare(ctx, ask("c", 4, 0, false))
		yes(t, r, err)
	})
}
