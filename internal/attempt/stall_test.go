package attempt

import (
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// pipedReply returns a reply that reads what is written to the pipe; cancelling it breaks the pipe.
func pipedReply(stall time.Duration) (*Reply, *io.PipeWriter) {
	reader, writer := io.Pipe()
	r := &Reply{body: reader, raw: reader, stallTimeout: stall, cancel: func() { _ = writer.CloseWithError(io.ErrUnexpectedEOF) }}
	r.watch()
	return r, writer
}

// A response is ended after exactly the stall timeout, whatever data came before and however slowly the client read it.
func TestStalledResponseEndsAfterTimeout(t *testing.T) {
	const stall = 300 * time.Millisecond
	for name, c := range map[string]struct {
		pieces, pause time.Duration // time between pieces; time that the client takes for each
	}{
		"at once":       {0, 0},
		"many pieces":   {70 * time.Millisecond, 0},
		"just in time":  {stall - time.Millisecond, 0},
		"a slow client": {0, 4 * stall},
		"both are slow": {stall / 2, stall / 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			r, writer := pipedReply(stall)
			go func() {
				for range 20 {
					time.Sleep(c.pieces)
					if _, err := writer.Write([]byte("x")); err != nil {
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
			silentSince := time.Now()
			if _, err := r.Read(buf); err == nil {
				t.Errorf("%s: read data that was never sent", name)
			}
			if took := time.Since(silentSince); took != stall {
				t.Errorf("%s: ended after a silence of %v, want %v", name, took, stall)
			}
			_ = r.Close()
		})
	}
}

// A closed reply is not checked any more.
func TestClosedResponseIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall = 100 * time.Millisecond
		r, _ := pipedReply(stall)
		var checks atomic.Int64
		r.alive = func() bool { checks.Add(1); return true }
		go func() { _, _ = r.Read(make([]byte, 8)) }()
		time.Sleep(5 * stall)
		before := checks.Load()
		if before == 0 {
			t.Error("the replica was never checked")
		}
		_ = r.Close()
		time.Sleep(10 * stall)
		synctest.Wait()
		if checks.Load() != before {
			t.Errorf("checked %d times after it was closed", checks.Load()-before)
		}
	})
}
