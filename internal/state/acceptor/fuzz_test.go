package acceptor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/state"
)

// No request of a peer, however malformed, lowers the promised epoch or leaves a folder that
// cannot be opened again.
func FuzzRequest(f *testing.F) {
	f.Add(wire.Marshal(request("a", 3, 1, false, record("x", "v", 3, 1))), uint8(0))
	f.Add(wire.Marshal(request("b", 1<<63, 1<<63, true, record("", "", 0, 0))), uint8(1))
	f.Add(wire.Marshal(state.Request{SetVersion: 1, Slot: -1, Epoch: 9}), uint8(2))
	f.Add(wire.Marshal(state.Request{SetVersion: 1, Slot: 1 << 40}), uint8(3))
	f.Fuzz(func(t *testing.T, b []byte, which uint8) {
		var q state.Request
		if wire.Unmarshal(b, &q) != nil {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			fs := vfs.NewMem()
			g := run.NewGroup(t.Context())
			a := open(t, g, fs)
			before, _ := a.Prepare(t.Context(), request("a", 2, 0, false))
			to := []func(context.Context, state.Request) (state.Reply, error){a.Prepare, a.Accept, a.Release, a.Digest, a.Dump}
			if _, err := to[int(which)%len(to)](t.Context(), q); err != nil && wire.Code(err) != "bad" {
				t.Fatalf("%v", err)
			}
			after, err := a.Digest(t.Context(), request("a", 0, 0, false))
			if err != nil || after.Epoch < before.Epoch {
				t.Errorf("epoch is %d, was %d; error %v", after.Epoch, before.Epoch, err)
			}
			g.Stop()
			if err := a.Close(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			g = run.NewGroup(t.Context())
			a = open(t, g, fs)
			g.Stop()
			_ = a.Close()
		})
	})
}
