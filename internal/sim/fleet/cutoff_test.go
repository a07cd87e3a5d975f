package fleet

import (
	"testing"
	"time"

	"drumstall.example/internal/check"
)

func TestCoreSplit(t *testing.T) {
	Seeds(t, 4, either, func(f *Fleet) {
		f.Traffic(0.5)
		time.Sleep(8 * time.Second)
		lone := f.Rnd.IntN(len(f.Cores))
		var rest []string
		for i, n := range f.Cores {
			if i != lone {
				rest = append(rest, n.IP)
			}
		}
		f.Between([]string{f.Cores[lone].IP}, rest, true)
		time.Sleep(4 * time.Second)
		if _, ok := f.patchNow(lone); ok {
			f.T.Error("a core alone acknowledged a change")
		}
		f.Until(12*time.Second, "a change by the majority", func() bool { _, ok := f.patchNow((lone + 1) % len(f.Cores)); return ok })
		// The lone core is alive for everyone by way of the edges; its slots must go to the others all the same.
		took := f.Until(12*time.Second, "every slot is held without the lone core", func() bool {
			n := 0
			for core, held := range f.status().Slots {
				if core != f.Cores[lone].Name {
					n += len(held)
				}
			}
			return n == 16
		})
		f.T.Logf("every slot is held again %v after the majority took a change", took)
		f.Net.Heal()
		time.Sleep(10 * time.Second)
	})
}

func TestLossOneWayCutsAndClockJumps(t *testing.T) {
	Seeds(t, 4, either, func(f *Fleet) {
		f.Traffic(0.5)
		f.Net.Loss(20)
		time.Sleep(5 * time.Second)
		f.Net.Cut(f.Cores[0].IP, f.Cores[1].IP, true)
		f.Jump(f.Cores[1], 26*time.Hour)
		f.Jump(f.Edges[0], -5*time.Hour)
		time.Sleep(10 * time.Second)
		f.Jump(f.Cores[1], -26*time.Hour)
		f.patchNow(2)
		time.Sleep(10 * time.Second)
		f.Net.Heal()
		f.Net.Loss(0)
		f.Jump(f.Cores[1], 0)
		time.Sleep(5 * time.Second)
	})
}

func TestCoreCutOffFromEdges(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		f.Traffic(0.5)
		time.Sleep(15 * time.Second)
		f.Between(IPs(f.Cores), IPs(f.Edges), true)
		for _, n := range f.Edges {
			f.Down(n)
		}
		before := f.Tally()
		f.patchNow(0)
		time.Sleep(15 * time.Second)
		after := f.Tally()
		for _, fl := range f.D.Flows[:2] {
			if after[fl.Class][check.Whole] <= before[fl.Class][check.Whole] {
				f.T.Errorf("edges cut off from the core stopped serving %s", fl.Class)
			}
		}
		f.Net.Heal()
		for _, n := range f.Edges {
			f.Up(n)
		}
		time.Sleep(10 * time.Second)
		f.Until(3*time.Second, "the change made meanwhile is in force", func() bool {
			for _, n := range f.Edges {
				if s, _ := n.Proxy.ActiveConfig(); s < 2 {
					return false
				}
			}
			return true
		})
	})
}

// The written decision on a proxy that can hear nobody who would tell it of a
// leaving replica: it sends nothing, and says so at once.
func TestDeafProxySendsNothing(t *testing.T) {
	Seeds(t, 2, either, func(f *Fleet) {
		f.Traffic(1)
		time.Sleep(8 * time.Second)
		n := f.Edges[1]
		var others []string
		for _, o := range append(append([]*Node{}, f.Cores...), f.Edges...) {
			if o != n {
				others = append(others, o.IP)
			}
		}
		f.Between([]string{n.IP}, append(others, "10.9.0.1"), true)
		f.Down(n)
		f.Platform.Mark("m-01", true)
		f.Platform.Mark("s-01", true)
		time.Sleep(12 * time.Second)
		from := f.Rec.Events()[len(f.Rec.Events())-1].At - 5*time.Second
		told := 0
		for _, e := range f.Rec.Events() {
			if e.Kind == check.Answer && e.Node == n.Name && e.At > from && e.Outcome == check.TurnedNo && e.Retry && e.TookMs < 100 {
				told++
			}
		}
		if told < 10 {
			f.T.Errorf("a deaf proxy turned only %d requests away at once", told)
		}
		f.Net.Heal()
		f.Platform.Mark("m-01", false)
		f.Platform.Mark("s-01", false)
		time.Sleep(3 * time.Second)
		f.Up(n)
		before := f.count(check.Answer, func(e check.Event) bool { return e.Node == n.Name && e.Outcome == check.Whole })
		time.Sleep(5 * time.Second)
		if f.count(check.Answer, func(e check.Event) bool { return e.Node == n.Name && e.Outcome == check.Whole }) < before+10 {
			f.T.Error("it does not serve again")
		}
	})
}
