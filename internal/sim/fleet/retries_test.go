package fleet

import (
	"testing"
	"time"

	"drumstall.example/internal/check"
	"drumstall.example/internal/stand"
)

func TestRetriesStayInBudget(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		f.Traffic(3)
		time.Sleep(5 * time.Second)
		for _, r := range f.Replicas {
			r.Misbehave(50, 20)
		}
		time.Sleep(20 * time.Second)
		for _, r := range f.Replicas {
			r.Misbehave(0, 0)
		}
		time.Sleep(5 * time.Second)
		if n := f.count(check.Arrived, func(e check.Event) bool { return e.Attempt > 1 }); n < 20 {
			f.T.Errorf("only %d retries came, too few to prove anything", n)
		}
	})
}

// Edges that see nobody but themselves must not each take the whole allowance.
func TestEdgesCutApartKeepTheirShareOfRetries(t *testing.T) {
	Seeds(t, 3, func(uint64) stand.Deployment { return stand.Cascadia().Sized(3, 6, 4, 2, 10, 4) }, func(f *Fleet) {
		f.Traffic(0.5)
		time.Sleep(8 * time.Second)
		all := append(IPs(f.Edges), IPs(f.Cores)...)
		f.Between(all, all, true)
		for _, n := range f.Edges {
			f.Down(n)
		}
		time.Sleep(20 * time.Second) // all take each other for dead; the platform still answers them
		f.Traffic(4)
		time.Sleep(15 * time.Second)
		for _, r := range f.Replicas {
			r.Misbehave(70, 0)
		}
		time.Sleep(8 * time.Second)
		for _, r := range f.Replicas {
			r.Misbehave(0, 0)
		}
		if n := f.count(check.Arrived, func(e check.Event) bool { return e.Attempt > 1 }); n < 20 {
			f.T.Errorf("only %d retries came, too few to prove anything", n)
		}
		f.Net.Heal()
		time.Sleep(10 * time.Second)
		for _, n := range f.Edges {
			f.Up(n)
		}
	})
}
