package fleet

import (
	"context"
	"testing"
	"time"

	"drumstall.example/internal/check"
)

func TestMarksAreHeededWithoutAnyCore(t *testing.T) {
	Seeds(t, 2, either, func(f *Fleet) {
		f.Traffic(1)
		time.Sleep(8 * time.Second)
		for _, n := range f.Cores {
			f.KillCore(n, true)
		}
		f.Platform.Mark("m-01", true)
		f.Platform.Mark("s-01", true)
		time.Sleep(12 * time.Second)
		for _, n := range f.Cores {
			f.StartCore(n)
		}
		f.back()
		time.Sleep(12 * time.Second)
		f.Platform.Mark("m-01", false)
		f.Platform.Mark("s-01", false)
	})
}

// Cores that cannot hear the platform must not take back a mark that edges
// have learned from it.
func TestMarksStandWhileCoresDoNotHearThePlatform(t *testing.T) {
	Seeds(t, 2, either, func(f *Fleet) {
		f.Traffic(1)
		time.Sleep(8 * time.Second)
		f.Between(IPs(f.Cores), []string{"10.9.0.1"}, true)
		time.Sleep(2 * time.Second)
		f.Platform.Mark("m-01", true)
		f.Platform.Mark("s-01", true)
		time.Sleep(15 * time.Second)
		f.Net.Heal()
		time.Sleep(3 * time.Second)
		f.Platform.Mark("m-01", false)
		f.Platform.Mark("s-01", false)
		back := f.Until(15*time.Second, "they are in use again", func() bool {
			n := 0
			for _, r := range f.status().Replicas {
				if !r.Listed.Leaving {
					n++
				}
			}
			return n == f.D.Models+f.D.Services
		})
		f.T.Logf("in use again %v after the marks were taken back", back)
	})
}

// A platform that forgets everything does not empty the routes.
func TestAPlatformThatListsNobody(t *testing.T) {
	Seeds(t, 1, either, func(f *Fleet) {
		f.Traffic(1)
		time.Sleep(8 * time.Second)
		lists, _ := f.Platform.List(context.Background())
		for _, l := range lists {
			f.Platform.Remove(l.ID)
		}
		time.Sleep(12 * time.Second)
		before := f.Tally()[f.D.Flows[0].Class][check.Whole]
		time.Sleep(8 * time.Second)
		if f.Tally()[f.D.Flows[0].Class][check.Whole] < before+20 {
			f.T.Error("nobody was served while the platform listed nobody")
		}
		for _, l := range lists {
			f.Platform.Set(*l)
		}
		time.Sleep(3 * time.Second)
		// One that is listed no more among others is let go.
		f.Platform.Remove("m-01")
		f.Until(15*time.Second, "it is gone", func() bool {
			for _, r := range f.status().Replicas {
				if r.Listed.ID == "m-01" {
					return false
				}
			}
			return true
		})
		for _, l := range lists {
			f.Platform.Set(*l)
		}
		time.Sleep(3 * time.Second)
	})
}
