package fleet

import (
	"testing"
	"time"

	"drumstall.example/internal/check"
)

func TestOneCoreLostAndBack(t *testing.T) {
	Seeds(t, 4, either, func(f *Fleet) {
		f.Traffic(0.5)
		time.Sleep(10 * time.Second)
		n := f.Cores[f.Rnd.IntN(len(f.Cores))]
		other := 0
		if f.Cores[0] == n {
			other = 1
		}
		f.patchNow(other)
		f.KillCore(n, true)
		f.Until(12*time.Second, "a change with one core lost", func() bool { _, ok := f.patchNow(other); return ok })
		time.Sleep(20 * time.Second)
		f.StartCore(n)
		time.Sleep(20 * time.Second)
		f.Until(5*time.Second, "a change with all cores", func() bool { _, ok := f.patchNow(other); return ok })
	})
}

func TestAllCoresLosePowerAndReturn(t *testing.T) {
	Seeds(t, 4, either, func(f *Fleet) {
		f.Traffic(0.5)
		time.Sleep(10 * time.Second)
		f.patchNow(0)
		for _, n := range f.Cores {
			f.KillCore(n, true)
		}
		time.Sleep(8 * time.Second)
		before := f.Tally()["desk"][check.Whole] + f.Tally()["counter"][check.Whole]
		for _, n := range f.Cores {
			f.StartCore(n)
		}
		f.back()
		took := f.Until(12*time.Second, "a change after all cores were lost", func() bool { _, ok := f.patchNow(0); return ok })
		f.T.Logf("a change is taken %v after the cores are back", took)
		time.Sleep(20 * time.Second)
		if after := f.Tally()["desk"][check.Whole] + f.Tally()["counter"][check.Whole]; after <= before {
			f.T.Errorf("no model request was answered after the cores came back")
		}
	})
}

func TestEmptyCoreReturnsAtANewAddress(t *testing.T) {
	Seeds(t, 4, either, func(f *Fleet) {
		f.Traffic(0.3)
		time.Sleep(5 * time.Second)
		serial, _ := f.patchNow(0)
		n := f.Cores[1]
		f.KillCore(n, true)
		f.LoseDisk(n)
		f.MoveCore(n, "10.1.0.77")
		time.Sleep(8 * time.Second)
		f.StartCore(n)
		time.Sleep(15 * time.Second)
		// Why: only if the new member holds everything does the loss of another old one lose nothing.
		f.KillCore(f.Cores[2], true)
		f.LoseDisk(f.Cores[2])
		if len(f.Cores) == 3 {
			f.Until(15*time.Second, "a change by the new member and one old", func() bool { _, ok := f.patchNow(1); return ok })
		}
		time.Sleep(5 * time.Second)
		f.StartCore(f.Cores[2])
		time.Sleep(15 * time.Second)
		if got, ok := f.patchNow(1); !ok || got <= serial {
			f.T.Errorf("a change after two disks were lost in turn: %d, %v", got, ok)
		}
	})
}

func TestAllAgentsThenAllEdgesKilled(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		f.Traffic(0.5)
		time.Sleep(8 * time.Second)
		for _, n := range f.Edges {
			f.KillAgent(n)
		}
		time.Sleep(2 * time.Second)
		f.Platform.Mark("m-01", true)
		before := f.Tally()
		time.Sleep(8 * time.Second)
		for class, n := range f.Tally() {
			if f.D.Flows[0].Class == class && n[check.Whole] < before[class][check.Whole]+20 {
				f.T.Errorf("proxies without agents stopped serving %s", class)
			}
		}
		for _, n := range f.Edges {
			f.StartAgent(n)
		}
		time.Sleep(5 * time.Second)
		f.patchNow(0)
		for _, n := range f.Edges {
			f.KillEdge(n)
		}
		time.Sleep(3 * time.Second)
		for _, n := range f.Edges {
			f.StartEdge(n)
		}
		f.back()
		time.Sleep(20 * time.Second)
		f.Platform.Mark("m-01", false)
	})
}
