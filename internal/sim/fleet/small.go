package fleet

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/stand"
)

// Small is a fleet small enough to be run under many seeds: the same parts, a
// few of each. cores is 3 or 4.
func Small(cores int) stand.Deployment {
	d := stand.Cascadia()
	if cores == 4 {
		d = stand.Fotofamilia()
	}
	return d.Sized(cores, 3, 4, 2, 10, 6)
}

// Seeds runs a scenario on a fresh fleet under each seed, and holds the record
// against all rules at the end. A seed that fails is named.
func Seeds(t *testing.T, n int, d func(seed uint64) stand.Deployment, scenario func(f *Fleet)) {
	t.Helper()
	t.Parallel()
	if testing.Short() {
		n = 1
	}
	first := uint64(1)
	// DRUMSTALL_SEEDS=N runs N seeds of each scenario, DRUMSTALL_SEED=S only that one.
	if v, err := strconv.Atoi(os.Getenv("DRUMSTALL_SEEDS")); err == nil && v > 0 {
		n = v
	}
	if v, err := strconv.ParseUint(os.Getenv("DRUMSTALL_SEED"), 10, 32); err == nil {
		first, n = v, int(v)
	}
	for seed := first; seed <= uint64(n); seed++ {
		// Why: a bubble that fails ends the test it runs in at once; a test of its own leaves the other seeds to run.
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Logf("FAILING SEED %d; again with DRUMSTALL_SEED=%d go test ./internal/sim/fleet -run %s", seed, seed, t.Name())
				}
			}()
			synctest.Test(t, func(t *testing.T) {
				f := New(t, seed, d(seed))
				// Why: a scenario that gives up must not leave its fleet running; that would hide why it did.
				defer f.Stop()
				scenario(f)
				if f.flow != nil {
					f.Quiet()
				}
				// The day ends with the read-back.
				f.Until(15*time.Second, "read-back", func() bool { _, ok := f.ReadBack(f.Rnd.IntN(len(f.Cores))); return ok })
				f.End()
			})
		})
	}
}

// either alternates between three and four cores.
func either(seed uint64) stand.Deployment { return Small(3 + int(seed%2)) }
