package setup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// A successful stop returns 0 and does not call exit; a stop that
// hangs is ended by exit(1) after shutdownTimeout.
func TestShutdownExitCodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exits := make(chan int, 1)
		exit := func(code int) { exits <- code }
		if code := shutdown(t.Context(), "p", func(context.Context) error { return nil }, exit); code != 0 {
			t.Errorf("a successful stop returns %d", code)
		}
		if code := shutdown(t.Context(), "p", func(context.Context) error { return errors.New("x") }, exit); code != 1 {
			t.Errorf("a failed stop returns %d", code)
		}
		time.Sleep(2 * shutdownTimeout)
		synctest.Wait()
		if len(exits) != 0 {
			t.Fatal("exit was called although the program had stopped")
		}
		began := time.Now()
		shutdown(t.Context(), "p", func(context.Context) error { <-exits; return nil }, exit)
		if took := time.Since(began); took != shutdownTimeout {
			t.Errorf("a stop that hangs ended after %v", took)
		}
		second, cancel := context.WithCancel(t.Context())
		cancel()
		if code := shutdown(second, "p", func(ctx context.Context) error { <-ctx.Done(); return nil }, exit); code != 0 || len(exits) != 0 {
			t.Errorf("after a second signal the exit code is %d", code)
		}
	})
}
