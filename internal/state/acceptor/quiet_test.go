package acceptor

import (
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/state"
)

// What a holder says when it lets go of a slot holds for the lease that it had, and for no later one.
func TestIdleTimeAppliesOnlyToTheLastLease(t *testing.T) {
	withAcceptors(t, func(t *testing.T, as []*Acceptor) {
		ctx, a := t.Context(), as[0]
		time.Sleep(state.LeaseDuration)
		r, err := a.Prepare(ctx, request("a", 1, 0, false))
		mustAccept(t, r, err)
		release := request("a", 1, 0, false)
		release.IdleMs = 4000
		r, err = a.Release(ctx, release)
		mustAccept(t, r, err)
		time.Sleep(time.Second)
		r, err = a.Prepare(ctx, request("b", 2, 0, false))
		mustAccept(t, r, err)
		if r.IdleMs != 5000 {
			t.Errorf("quiet for %d ms, not 5000", r.IdleMs)
		}
		r, err = a.Release(ctx, request("b", 2, 0, false))
		mustAccept(t, r, err)
		r, err = a.Prepare(ctx, request("c", 3, 0, false))
		mustAccept(t, r, err)
		if r.IdleMs != 0 {
			t.Errorf("quiet for %d ms though the last holder has not said so", r.IdleMs)
		}
	})
}

func TestRestartedVoterReportsNoIdleTime(t *testing.T) {
	withAcceptors(t, func(t *testing.T, _ []*Acceptor) {
		ctx, fs := t.Context(), vfs.NewMem()
		g := run.NewGroup(ctx)
		a := open(t, g, fs)
		r, err := a.Prepare(ctx, request("a", 1, 0, false))
		mustAccept(t, r, err)
		release := request("a", 1, 0, false)
		release.IdleMs = 4000
		r, err = a.Release(ctx, release)
		mustAccept(t, r, err)
		g.Stop()
		_ = a.Close()
		g = run.NewGroup(ctx)
		a = open(t, g, fs)
		time.Sleep(state.LeaseDuration)
		r, err = a.Prepare(ctx, request("b", 2, 0, false))
		mustAccept(t, r, err)
		if r.IdleMs != 0 {
			t.Errorf("quiet for %d ms by the word of nobody", r.IdleMs)
		}
		g.Stop()
		_ = a.Close()
	})
}

func TestVoterWithoutPromiseReportsNoIdleTime(t *testing.T) {
	withAcceptors(t, func(t *testing.T, as []*Acceptor) {
		time.Sleep(state.LeaseDuration)
		r, err := as[0].Prepare(t.Context(), request("a", 1, 0, false))
		mustAccept(t, r, err)
		if r.IdleMs != 0 {
			t.Errorf("quiet for %d ms by the word of nobody", r.IdleMs)
		}
	})
}

// A slot that is let go of for one core goes to no other for a moment, and to anybody after that.
func TestReleasedSlotIsReservedForNextHolder(t *testing.T) {
	withAcceptors(t, func(t *testing.T, as []*Acceptor) {
		ctx, a := t.Context(), as[0]
		time.Sleep(state.LeaseDuration)
		release := func(from string, epoch uint64) {
			t.Helper()
			r, err := a.Prepare(ctx, request(from, epoch, 0, false))
			mustAccept(t, r, err)
			q := request(from, epoch, 0, false)
			q.NextHolder = "b"
			r, err = a.Release(ctx, q)
			mustAccept(t, r, err)
		}
		release("a", 1)
		if r, _ := a.Peek(ctx, request("c", 2, 0, false)); r.OK || r.Reason != state.ReasonHeld {
			t.Errorf("free for another at once: %+v", r)
		}
		r, err := a.Prepare(ctx, request("b", 2, 0, false))
		mustAccept(t, r, err)
		release("b", 3)
		time.Sleep(reservationTime)
		r, err = a.Prepare(ctx, request("c", 4, 0, false))
		mustAccept(t, r, err)
	})
}
