package acceptor

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/sim/simhost"
	"drumstall.example/internal/state"
)

var voters = state.CoreSet{Version: 1, Cores: []state.Core{{Name: "a"}, {Name: "b"}, {Name: "c"}}}

func open(t *testing.T, g *run.Group, fs vfs.FS) *Acceptor {
	t.Helper()
	a, err := Open(g, "d", FolderOwner{Fleet: "f", Node: "n"}, fs, simhost.NewClock(), ring.New(io.Discard, 100).Logger())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.UpdateMembership(t.Context(), func(Membership) (Membership, bool) { return Membership{Phase: Voter, Set: voters}, true }); err != nil {
		t.Fatal(err)
	}
	return a
}

func request(from string, epoch, at uint64, full bool, recs ...state.Record) state.Request {
	return state.Request{SetVersion: 1, From: state.Core{Name: from}, Epoch: epoch, Version: at, Full: full, Records: recs}
}

func record(key, value string, epoch, version uint64) state.Record {
	return state.Record{Key: key, Value: []byte(value), Stamp: state.Stamp{Epoch: epoch, Version: version}}
}

func mustAccept(t *testing.T, r state.Reply, err error) state.Reply {
	t.Helper()
	if err != nil || !r.OK {
		t.Fatalf("refused: %v %v", r.Reason, err)
	}
	return r
}

func withAcceptors(t *testing.T, f func(t *testing.T, as []*Acceptor)) {
	synctest.Test(t, func(t *testing.T) {
		g := run.NewGroup(t.Context())
		var as []*Acceptor
		for range 3 {
			as = append(as, open(t, g, vfs.NewMem()))
		}
		f(t, as)
		g.Stop()
		for _, a := range as {
			_ = a.Close()
		}
	})
}

// A write that reached only a minority is either adopted by the next owner or never
// returned again, also for a key that no other voter has stored.
func TestMinorityWriteDoesNotReappear(t *testing.T) {
	withAcceptors(t, func(t *testing.T, as []*Acceptor) {
		ctx := t.Context()
		all := func(f func(a *Acceptor) (state.Reply, error), members ...int) (out []state.Reply) {
			for _, i := range members {
				r, err := f(as[i])
				out = append(out, mustAccept(t, r, err))
			}
			return out
		}
		acquire := func(from string, epoch uint64, members ...int) []state.Record {
			time.Sleep(state.LeaseDuration)
			recs, pr := Merge(all(func(a *Acceptor) (state.Reply, error) { return a.Prepare(ctx, request(from, epoch, 0, false)) }, members...))
			for i := range recs {
				recs[i].Stamp.Epoch = epoch
			}
			all(func(a *Acceptor) (state.Reply, error) {
				return a.Accept(ctx, request(from, epoch, pr.Version+1, true, recs...))
			}, members...)
			return recs
		}
		acquire("a", 1, 0, 1, 2)
		all(func(a *Acceptor) (state.Reply, error) {
			return a.Accept(ctx, request("a", 1, 2, false, record("x", "old", 1, 2)))
		}, 0, 1, 2)
		all(func(a *Acceptor) (state.Reply, error) {
			return a.Accept(ctx, request("a", 1, 4, false, record("x", "new", 1, 3), record("y", "new", 1, 4)))
		}, 0)
		acquire("b", 2, 1, 2) // this owner serves x=old from here on
		for _, r := range acquire("c", 3, 0, 1) {
			if r.Key == "y" || string(r.Value) != "old" {
				t.Errorf("a later owner found the minority write %s=%s", r.Key, r.Value)
			}
		}
	})
}

// A single write arrives before the full table that its holder sent earlier. The table must not remove the write.
func TestDelayedFullTableKeepsLaterWrites(t *testing.T) {
	withAcceptors(t, func(t *testing.T, as []*Acceptor) {
		ctx, a := t.Context(), as[0]
		time.Sleep(state.LeaseDuration)
		r, err := a.Prepare(ctx, request("a", 1, 0, false))
		mustAccept(t, r, err)
		r, err = a.Accept(ctx, request("a", 1, 4, false, record("x", "later", 1, 3), record("y", "later", 1, 4)))
		mustAccept(t, r, err)
		r, err = a.Accept(ctx, request("a", 1, 2, true, record("x", "before", 1, 1), record("z", "before", 1, 2)))
		mustAccept(t, r, err)
		got, err := a.records(0)
		values := map[string]string{}
		for _, rec := range got {
			values[rec.Key] = string(rec.Value)
		}
		if want := map[string]string{"x": "later", "y": "later", "z": "before"}; err != nil || !maps.Equal(values, want) {
			t.Errorf("stored values: %v, error: %v", values, err)
		}
		if r := mustAccept(t, ignoreError(a.Digest(ctx, request("a", 1, 0, false))), nil); r.FullEpoch != 1 {
			t.Errorf("the full table has epoch %d, want 1", r.FullEpoch)
		}
	})
}

func ignoreError(r state.Reply, _ error) state.Reply { return r }

func TestOutdatedFullTableRemovesNothing(t *testing.T) {
	withAcceptors(t, func(t *testing.T, as []*Acceptor) {
		ctx, a := t.Context(), as[0]
		time.Sleep(state.LeaseDuration)
		r, err := a.Prepare(ctx, request("a", 1, 0, false))
		mustAccept(t, r, err)
		r, err = a.Accept(ctx, request("a", 1, 1, true))
		mustAccept(t, r, err)
		r, err = a.Accept(ctx, request("a", 1, 2, false, record("x", "v", 1, 2)))
		mustAccept(t, r, err)
		r, err = a.Accept(ctx, request("a", 1, 1, true))
		mustAccept(t, r, err)
		if d, _ := a.Dump(ctx, request("a", 1, 0, false)); len(d.Records) != 1 {
			t.Error("a delayed repair removed a newer record")
		}
	})
}

func TestLeaseIsHonouredAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		fs := vfs.NewMem()
		g := run.NewGroup(ctx)
		a := open(t, g, fs)
		r, err := a.Prepare(ctx, request("a", 1, 0, false))
		mustAccept(t, r, err)
		if r, _ := a.Prepare(ctx, request("b", 2, 0, false)); r.OK || r.Reason != state.ReasonHeld {
			t.Errorf("promised while another core held a lease: %+v", r)
		}
		g.Stop()
		_ = a.Close()
		time.Sleep(state.LeaseDuration - time.Second)
		g = run.NewGroup(ctx)
		a = open(t, g, fs)
		time.Sleep(2 * time.Second)
		if r, _ := a.Prepare(ctx, request("b", 2, 0, false)); r.OK {
			t.Error("a restarted voter did not wait for a full lease duration")
		}
		time.Sleep(time.Second)
		r, err = a.Prepare(ctx, request("b", 2, 0, false))
		mustAccept(t, r, err)
		if r, _ := a.Accept(ctx, request("a", 1, 9, false, record("x", "late", 1, 9))); r.OK {
			t.Error("a write of the previous owner was accepted")
		}
		if r, _ := a.Prepare(ctx, state.Request{SetVersion: 0, From: state.Core{Name: "c"}, Epoch: 9}); r.OK || r.Reason != state.ReasonOlderCoreSet {
			t.Errorf("a request with an older core set version was not refused: %+v", r)
		}
		g.Stop()
		_ = a.Close()
	})
}

// Messages may be reordered: a message of a released claim, whenever it is processed, must not
// block other cores.
func TestReleasedLeaseStaysReleased(t *testing.T) {
	withAcceptors(t, func(t *testing.T, as []*Acceptor) {
		ctx, a := t.Context(), as[0]
		time.Sleep(state.LeaseDuration)
		r, err := a.Prepare(ctx, request("a", 1, 0, false))
		mustAccept(t, r, err)
		r, err = a.Release(ctx, request("a", 1, 0, false))
		mustAccept(t, r, err)
		if got, err := a.Renew(ctx, state.RenewRequest{SetVersion: 1, From: state.Core{Name: "a"}, Epochs: map[int]uint64{0: 1}}); err != nil || len(got.Granted) > 0 {
			t.Errorf("a renewal processed after its release was granted: %+v %v", got, err)
		}
		r, err = a.Prepare(ctx, request("b", 2, 0, false))
		mustAccept(t, r, err)
		// The release of a claim is processed before its prepare.
		time.Sleep(state.LeaseDuration)
		r, err = a.Release(ctx, request("c", 3, 0, false))
		mustAccept(t, r, err)
		if r, _ := a.Prepare(ctx, request("c", 3, 0, false)); r.OK {
			t.Error("a prepare processed after its own release was granted")
		}
		r, err = a.Prepare(ctx, request("b", 3, 0, false))
		mustAccept(t, r, err)
		// A core that released the slot may claim it again under a higher epoch.
		r, err = a.Release(ctx, request("b", 3, 0, false))
		mustAccept(t, r, err)
		r, err = a.Prepare(ctx, request("b", 4, 0, false))
		mustAccept(t, r, err)
	})
}

// Random owners replace each other over three acceptors and messages are lost. Every later owner
// must find the value that a majority acknowledged.
func TestAcknowledgedWritesSurviveOwnerChanges(t *testing.T) {
	for seed := range uint64(20) {
		withAcceptors(t, func(t *testing.T, as []*Acceptor) {
			ctx := t.Context()
			rnd := rand.New(rand.NewPCG(seed, 5))
			acknowledged, uncertain := "", map[string]bool{}
			epoch, n, acquired := uint64(0), 0, 0
			for range 60 {
				time.Sleep(state.LeaseDuration)
				epoch++
				holder := fmt.Sprintf("o%d", rnd.IntN(3))
				var got []state.Reply
				for _, a := range as {
					if rnd.IntN(3) > 0 {
						if r, _ := a.Prepare(ctx, request(holder, epoch, 0, false)); r.OK {
							got = append(got, r)
						}
					}
				}
				if len(got) < 2 {
					continue
				}
				recs, pr := Merge(got)
				for i := range recs {
					recs[i].Stamp.Epoch = epoch
				}
				send := func(q state.Request) bool {
					ok := 0
					for _, a := range as {
						if rnd.IntN(4) > 0 {
							if r, _ := a.Accept(ctx, q); r.OK {
								ok++
							}
						}
					}
					return ok >= 2
				}
				if !send(request(holder, epoch, pr.Version+1, true, recs...)) {
					continue
				}
				acquired++
				found := ""
				for _, r := range recs {
					found = string(r.Value)
				}
				if found != acknowledged && !uncertain[found] {
					t.Fatalf("seed %d: owner of epoch %d found %q, acknowledged was %q", seed, epoch, found, acknowledged)
				}
				// The value that this owner serves is final: no earlier value may appear again.
				acknowledged, uncertain = found, map[string]bool{}
				version := pr.Version + 1
				for range 1 + rnd.IntN(3) {
					n++
					version++
					v := fmt.Sprint(n)
					if send(request(holder, epoch, version, false, record("k", v, epoch, version))) {
						acknowledged, uncertain = v, map[string]bool{}
					} else {
						uncertain[v] = true
						break
					}
				}
			}
			if acquired < 10 {
				t.Fatalf("seed %d: only %d owners acquired the slot, want at least 10", seed, acquired)
			}
		})
	}
}
