package fleet

import (
	"fmt"
	"testing"
	"time"

	"drumstall.example/internal/conf"
)

func TestReplicasCrashGoDarkAndLeave(t *testing.T) {
	Seeds(t, 4, either, func(f *Fleet) {
		f.Traffic(2)
		time.Sleep(15 * time.Second)
		f.CrashReplica("m-01")
		f.Platform.Mark("m-02", true)
		time.Sleep(5 * time.Second)
		f.CrashReplica("m-02") // taken away at short notice
		f.StartReplica("m-01")
		ip := f.ReplicaIP("m-03")
		for _, n := range append(append([]*Node{}, f.Cores...), f.Edges...) {
			f.Net.Cut(ip, n.IP, true) // dark: hears, and is not heard
		}
		time.Sleep(10 * time.Second)
		f.Net.Heal()
		f.StartReplica("m-02")
		f.Platform.Mark("m-02", false)
		f.CrashReplica("s-01")
		time.Sleep(10 * time.Second)
		f.StartReplica("s-01")
		time.Sleep(10 * time.Second)
	})
}

// A replica fills up behind its controller's back; no order may overfill it.
func TestAReplicaFillsUpBehindOurBack(t *testing.T) {
	Seeds(t, 3, either, func(f *Fleet) {
		f.churn(10 * time.Second)
		for i := range 6 {
			for n := range f.D.Models {
				f.Replicas[fmt.Sprintf("m-%02d", n+1)].Preload(conf.Item{Model: fmt.Sprintf("stray-%d", i)}, 2000)
			}
			f.churn(4 * time.Second)
		}
	})
}
