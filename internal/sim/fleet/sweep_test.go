package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/stand"
)

// Each deployment at its full size, under its own traffic: every fault once
// alone, then pairs drawn by the seed. CI runs a few; DRUMSTALL_SWEEP=200 runs so many seeds
// of each deployment, DRUMSTALL_SEED=S only that one.
func TestSweep(t *testing.T) {
	if testing.Short() {
		t.Skip("whole deployments")
	}
	t.Parallel()
	first, n := 1, 2
	if v, err := strconv.Atoi(os.Getenv("DRUMSTALL_SWEEP")); err == nil && v > 0 {
		n = v
	}
	if v, err := strconv.Atoi(os.Getenv("DRUMSTALL_SEED")); err == nil && v > 0 {
		first, n = v, v
	}
	for _, d := range []stand.Deployment{stand.Cascadia(), stand.Fotofamilia()} {
		for seed := first; seed <= n; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", d.Name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { sweep(t, uint64(seed), d) })
			})
		}
	}
}

func sweep(t *testing.T, seed uint64, d stand.Deployment) {
	f := New(t, seed, d)
	defer f.Stop()
	x := newNemesis(f)
	fs := []fault{}
	if i := int(seed) - 1; i < len(faults) {
		fs = append(fs, faults[i])
	} else {
		fs = drawn(f.Rnd, true, false)
	}
	var what []string
	for _, fl := range fs {
		what = append(what, fl.name)
	}
	f.Traffic(1)
	time.Sleep(10 * time.Second)
	f.acks(2)
	x.cause(fs...)
	f.acks(2)
	// Whatever happened: a quarter of a minute later everybody is served again.
	time.Sleep(15 * time.Second)
	before, from := f.Tally(), time.Since(f.zero)
	time.Sleep(6 * time.Second)
	after := f.Tally()
	for _, fl := range f.D.Flows[:2] {
		if after[fl.Class][check.Whole] <= before[fl.Class][check.Whole] {
			t.Errorf("class %s is not served after the faults", fl.Class)
		}
	}
	if _, _, n, failed := f.urgent(from, from+6*time.Second); failed > 0 {
		t.Errorf("%d of %d urgent requests were not served after the faults", failed, n+failed)
	}
	f.Quiet()
	// The day ends with a read-back from every core.
	for i := range f.Cores {
		f.Until(15*time.Second, fmt.Sprintf("read-back from %s", f.Cores[i].Name), func() bool { _, ok := f.ReadBack(i); return ok })
	}
	f.End()
	word := "kept"
	if t.Failed() {
		word = "FAILED"
	}
	t.Logf("sweep %s %d %s: %s", d.Name, seed, word, strings.Join(what, " + "))
}

// acks changes the configuration through whichever cores.
func (f *Fleet) acks(n int) {
	for range n {
		f.patchNow(f.Rnd.IntN(len(f.Cores)))
		time.Sleep(300 * time.Millisecond)
	}
}
