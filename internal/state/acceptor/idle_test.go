package acceptor

import (
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/state"
)

// The idle time that a holder reports in its release applies to its own lease and to no later one.
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
			t.Errorf("idle for %d ms, want 5000", r.IdleMs)
		}
		r, err = a.Release(ctx, request("b", 2, 0, false))
		mustAccept(t, r, err)
		r, err = a.Prepare(ctx, request("c", 3, 0, false))
		mustAccept(t, r, err)
		if r.IdleMs != 0 {
			t.Errorf("idle for %d ms, but the last holder did not report it", r.IdleMs)
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
			t.Errorf("idle for %d ms, but no holder reported it", r.IdleMs)
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
			t.Errorf("idle for %d ms, but no holder reported it", r.IdleMs)
		}
	})
}

// A slot released in favour of one core is refused to others for the reservation time, and available to all after it.
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
			t.Errorf("available to another core at once: %+v", r)
		}
		r, err := a.Prepare(ctx, request("b", 2, 0, false))
		mustAccept(t, r, err)
		release("b", 3)
		time.Sleep(reservationTime)
		r, err = a.Prepare(ctx, request("c", 4, 0, false))
		mustAccept(t, r, err)
	})
}
