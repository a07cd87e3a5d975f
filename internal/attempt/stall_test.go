package attempt

import (
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// pipedReply is an answer whose pieces are written to the other end; it breaks off when it is cancelled.
func pipedReply(stall time.Duration) (*Reply, *io.PipeWriter) {
	from, to := io.Pipe()
	r := &Reply{body: from, raw: from, stallTimeout: stall, cancel: func() { _ = to.CloseWithError(io.ErrUnexpectedEOF) }}
	r.watch()
	return r, to
}

// Whatever came before, and however long the client took over it, a silence is borne for as long as it may last and no longer.
func TestStalledResponseEndsAfterTimeout(t *testing.T) {
	const stall = 300 * time.Millisecond
	for name, c := range map[string]struct {
		pieces, pause time.Duration // between pieces; that the client takes over each
	}{
		"at once":           {0, 0},
		"many pieces":       {70 * time.Millisecond, 0},
		"at the last":       {stall - time.Millisecond, 0},
		"a slow client":     {0, 4 * stall},
		"both are not fast": {stall / 2, stall / 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			r, to := pipedReply(stall)
			go func() {
				for range 20 {
					time.Sleep(c.pieces)
					if _, err := to.Write([]byte("x")); err != nil {
						return
					}
				}
			}()
			buf := make([]byte, 8)
			for n := range 20 {
				if _, err := r.Read(buf); err != nil {
					t.Errorf("%s: ended at piece %d: %v", name, n, err)
					return
				}
				time.Sleep(c.pause)
			}
			silent := time.Now()
			if _, err := r.Read(buf); err == nil {
				t.Errorf("%s: a piece came that was never sent", name)
			}
			if took := time.Since(silent); took != stall {
				t.Errorf("%s: ended after a silence of %v, want %v", name, took, stall)
			}
			_ = r.Close()
		})
	}
}

// An answer that was let go of is not looked at any more.
func TestClosedResponseIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall = 100 * time.Millisecond
		r, _ := pipedReply(stall)
		var asked atomic.Int64
		r.alive = func() bool { asked.Add(1); return true }
		go func() { _, _ = r.Read(make([]byte, 8)) }()
		time.Sleep(5 * stall)
		before := asked.Load()
		if before == 0 {
			t.Error("nobody asked whether the replica is alive")
		}
		_ = r.Close()
		time.Sleep(10 * stall)
		synctest.Wait()
		if asked.Load() != before {
			t.Errorf("asked %d times after it was closed", asked.Load()-before)
		}
	})
}
