package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/operator"
	"drumstall.example/internal/stand"
)

// loseAllPower ends every process at once and starts all of them a little later.
func (f *Fleet) loseAllPower(off time.Duration) {
	for _, n := range f.Edges {
		f.KillEdge(n)
	}
	for _, n := range f.Cores {
		f.KillCore(n, true)
	}
	f.Formed()
	time.Sleep(off)
	for _, n := range f.Cores {
		f.StartCore(n)
	}
	for _, n := range f.Edges {
		f.StartEdge(n)
	}
}

// readable asks one core after the other for the configuration, as an operator does who
// waits a second for each, and says whether one has told it.
func (f *Fleet) readable(serial uint64) bool {
	for _, n := range f.Cores {
		k, found, err := newestWithin(f.T.Context(), n, time.Second)
		if err == nil && found && k.Serial >= serial {
			return true
		}
	}
	return false
}

// After all machines of a large fleet lost power, every agent asks whether its configuration is the newest.
func TestALargeConfigurationIsReadBackThoughAllAgentsAskForItAtOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("60 edges are too many for the race detector; what they share is in the tests of smaller fleets")
	}
	const (
		coreLink = 2_000_000 // bytes a second
		document = 270_000
		recover  = 12 * time.Second
	)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(t, seed, stand.Cascadia().Sized(3, 60, 2, 2, 4, 2))
				defer f.Stop()
				got, err := f.Cores[0].Core.Submit(t.Context(), operator.Submission{Manner: conf.Partial, ContentType: "application/json", Body: manyNames(f.D, document)})
				if err != nil || len(got.Faults) > 0 {
					t.Fatal(err, got.Faults)
				}
				for _, n := range f.Cores {
					f.Net.Rate(n.IP, coreLink)
				}
				f.loseAllPower(time.Second)
				took := f.Until(recover, "the configuration is read back", func() bool { return f.readable(got.Serial) })
				t.Logf("read back %v after the return", took)
				rest := f.Until(recover-took, "all edges serve by it", func() bool { return f.inForce(got.Serial) == len(f.Edges) })
				t.Logf("in force everywhere %v later", rest)
			})
		})
	}
}
