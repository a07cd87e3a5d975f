package setup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// A stop that goes well ends with 0 and nothing else ends the process; one that
// hangs is ended after a minute with 1.
func TestShutdownExitCodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exits := make(chan int, 1)
		exit := func(code int) { exits <- code }
		if code := shutdown(t.Context(), "p", func(context.Context) error { return nil }, exit); code != 0 {
			t.Errorf("a good stop ends with %d", code)
		}
		if code := shutdown(t.Context(), "p", func(context.Context) error { return errors.New("x") }, exit); code != 1 {
			t.Errorf("a bad stop ends with %d", code)
		}
		time.Sleep(2 * shutdownTimeout)
		synctest.Wait()
		if len(exits) != 0 {
			t.Fatal("the process was ended although it had stopped")
		}
		began := time.Now()
		shutdown(t.Context(), "p", func(context.Context) error { <-exits; return nil }, exit)
		if took := time.Since(began); took != shutdownTimeout {
			t.Errorf("a stop that hangs is ended after %v", took)
		}
		second, cancel := context.WithCancel(t.Context())
		cancel()
		if code := shutdown(second, "p", func(ctx context.Context) error { <-ctx.Done(); return nil }, exit); code != 0 || len(exits) != 0 {
			t.Errorf("a second signal ends with %d", code)
		}
	})
}
