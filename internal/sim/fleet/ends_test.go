package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/stand"
)

// A stream that has begun has its final end by its route's time, whatever its replica does then.
func TestAStreamThatHasBegunEndsByItsRoutesTime(t *testing.T) {
	const (
		deadline = 15 * time.Second // of the route
		late     = 500 * time.Millisecond
	)
	item := conf.Item{Model: "model-01"}
	for _, c := range []struct {
		name string
		dark time.Duration // how long its replica is silent
	}{{"goes on", 0}, {"dark", 40 * time.Second}, {"frozen for a while", 4 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			if testing.Short() && c.name != "dark" {
				t.Skip("with the race detector one of them is enough")
			}
			synctest.Test(t, func(t *testing.T) {
				f := New(t, 1, Small(3))
				defer f.Stop()
				time.Sleep(3 * time.Second)
				ended := make(chan time.Duration, 1)
				f.Group.Go(func(context.Context) {
					began := time.Now()
					f.Clients.Ask(t.Context(), f.Spots()[0], stand.Request{Class: "desk", Route: "fees", Item: item, Prompt: "p", Pieces: 1000})
					ended <- time.Since(began)
				})
				time.Sleep(time.Second)
				if c.dark > 0 {
					f.silence(f.holders(item), c.dark)
				}
				select {
				case took := <-ended:
					if took > deadline+late || took < deadline-time.Second {
						t.Errorf("ended after %v", took)
					}
				case <-time.After(2 * deadline):
					t.Error("has not ended")
				}
				time.Sleep(c.dark)
			})
		})
	}
}

// holders are the machines of the replicas that hold an item.
func (f *Fleet) holders(item conf.Item) (ips []string) {
	for id, r := range f.Replicas {
		if r != nil && r.Holds(item) {
			ips = append(ips, f.ReplicaIP(id))
		}
	}
	return ips
}

// silence has some machines stand still for a while.
func (f *Fleet) silence(ips []string, while time.Duration) {
	for _, ip := range ips {
		f.Net.Freeze(ip)
	}
	f.Group.Go(func(context.Context) {
		time.Sleep(while)
		for _, ip := range ips {
			f.Net.Thaw(ip)
		}
	})
}
