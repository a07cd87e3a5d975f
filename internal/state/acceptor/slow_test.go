package acceptor

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/state"
)

// slowWrites is a disk that takes its time over every write.
type slowWrites struct{ on *atomic.Bool }

func (slowWrites) String() string { return "slow" }

func (s slowWrites) MaybeError(op errorfs.Op) error {
	if s.on.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// All slots write much to a slow disk, so that pebble begins new files while others
// wait to write: every vote is given, none waits for ever. (A simulation stood still for good once, all its time waiting for one
// mutex.)
func TestSlowDiskAnswersEveryWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := run.NewGroup(t.Context())
		var slow atomic.Bool
		a := open(t, g, errorfs.Wrap(vfs.NewMem(), slowWrites{&slow}))
		slow.Store(true)
		votes := make(chan error, state.SlotCount)
		for slot := range state.SlotCount {
			g.Go(func(context.Context) {
				for i := range 30 {
					q := request("a", 1, uint64(i+1), false, record(fmt.Sprint("k", i), string(bytes.Repeat([]byte{byte(i)}, 20_000)), 1, uint64(i+1)))
					q.Slot = slot
					if r, err := a.Accept(t.Context(), q); err != nil || !r.OK {
						votes <- fmt.Errorf("slot %d, write %d: %v %v", slot, i, r.Reason, err)
						return
					}
				}
				votes <- nil
			})
		}
		for range state.SlotCount {
			if err := <-votes; err != nil {
				t.Error(err)
			}
		}
		slow.Store(false)
		g.Stop()
		if err := a.Close(); err != nil {
			t.Error(err)
		}
	})
}
