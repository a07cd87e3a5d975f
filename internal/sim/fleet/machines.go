package fleet

import (
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"drumstall.example/internal/core"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/stand"
)

func (f *Fleet) env(n *Node, which int) core.Env {
	n.hosts[which] = f.Net.Host(n.IP)
	e := core.Env{Net: n.hosts[which], Clock: n.clock, Log: n.Logs, Build: f.Build}
	if n.FS != nil {
		n.disk.Store(DiskGood)
		e.FS = fillable{errorfs.Wrap(n.FS, diskFault{n}), n}
	}
	return e
}

// StartReplica starts a back end anew.
func (f *Fleet) StartReplica(id string) {
	s := f.settings[id]
	ip, _, _ := strings.Cut(s.Addr, ":")
	f.hosts[id] = f.Net.Host(ip)
	r, err := stand.StartReplica(s, f.hosts[id], f.Rec)
	if err != nil {
		f.T.Fatalf("%s: %v", id, err)
	}
	f.Replicas[id] = r
}

// CrashReplica ends a back end at once.
func (f *Fleet) CrashReplica(id string) {
	if f.Replicas[id] != nil {
		f.Net.Kill(f.hosts[id])
		f.Replicas[id].Crash()
		f.Replicas[id] = nil
	}
}

// ReplicaIP is the address of a back end's machine.
func (f *Fleet) ReplicaIP(id string) string {
	ip, _, _ := strings.Cut(f.settings[id].Addr, ":")
	return ip
}

// Between cuts or heals both ways between two sets of machines.
func (f *Fleet) Between(a, b []string, cut bool) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				f.Net.Cut(x, y, cut)
				f.Net.Cut(y, x, cut)
			}
		}
	}
}

// slow has whatever is sent to some nodes arrive later from now on.
func (f *Fleet) slow(nodes []*Node, by time.Duration) {
	for _, n := range nodes {
		f.slowed.Store(n.IP, by)
	}
}

// IPs of nodes.
func IPs(nodes []*Node) []string {
	var out []string
	for _, n := range nodes {
		out = append(out, n.IP)
	}
	return out
}

// AddCore prepares a machine for one more core; StartCore starts it.
func (f *Fleet) AddCore(name, ip, zone string) *Node {
	n := &Node{Name: name, IP: ip, Zone: zone, FS: vfs.NewCrashableMem(), clock: &clock{zero: time.Now().Add(-time.Hour)}, Logs: ring.New(io.Discard, 500)}
	f.zones.Store(ip, zone)
	f.Cores = append(f.Cores, n)
	f.settle()
	return n
}
