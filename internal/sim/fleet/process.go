package fleet

import (
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"drumstall.example/internal/agent"
	"drumstall.example/internal/check"
	"drumstall.example/internal/core"
	"drumstall.example/internal/proxy"
)

// StartCore starts a core on its machine, with whatever its disk holds.
func (f *Fleet) StartCore(n *Node) {
	settings := core.Settings{Name: n.Name, Zone: n.Zone, Addr: n.IP + ":7000", Operator: n.IP + ":7001", Seeds: f.seeds.now(),
		Folder: "data", Cores: f.D.Cores, Platform: platformAddr, Cadence: f.D.Cadence}
	if f.D.Unattended {
		settings.Cores, settings.InitialAddrs, settings.MayBootstrap = 0, f.founders(), !f.formed
	}
	c, err := core.Start(settings, f.env(n, 0))
	if err != nil {
		f.T.Fatalf("%s: %v", n.Name, err)
	}
	n.Core = c
}

// founders are the cores that form an unattended set.
func (f *Fleet) founders() []string {
	var out []string
	for _, n := range f.Cores[:min(3, len(f.Cores))] {
		out = append(out, n.IP+":7000")
	}
	return out
}

// Formed says that from now on no start is the first of all.
func (f *Fleet) Formed() { f.formed = true }

// StartAgent starts the agent of an edge.
func (f *Fleet) StartAgent(n *Node) {
	a, err := agent.Start(agent.Settings{Name: n.Name, Zone: n.Zone, Addr: n.IP + ":7000", Feed: n.IP + ":7002", Seeds: f.seeds.now(), Platform: platformAddr, Cadence: f.D.Cadence}, f.env(n, 1))
	if err != nil {
		f.T.Fatalf("%s: %v", n.Name, err)
	}
	n.Agent = a
}

// StartProxy starts the proxy of an edge.
func (f *Fleet) StartProxy(n *Node) {
	p, err := proxy.Start(proxy.Settings{Name: n.Name, Zone: n.Zone, CallerAddr: n.IP + ":8080", Agent: n.IP + ":7002", Platform: platformAddr, Cadence: f.D.Cadence}, f.env(n, 2))
	if err != nil {
		f.T.Fatalf("%s: %v", n.Name, err)
	}
	n.Proxy = p
	f.Up(n)
}

// Down notes that an edge is stopped, killed, frozen or cut off; Up that it is
// back. Of several faults at once the last to end counts.
func (f *Fleet) Down(n *Node) { f.tellDown(n, 1, check.EdgeDown) }

// Up is the other half of Down.
func (f *Fleet) Up(n *Node) { f.tellDown(n, -1, check.EdgeUp) }

func (f *Fleet) tellDown(n *Node, by int, kind string) {
	f.downMu.Lock()
	defer f.downMu.Unlock()
	was := f.downs[n.Name]
	f.downs[n.Name] = max(0, was+by)
	// Why: a machine that is killed while it is cut off is down once, and back when both have ended.
	if by > 0 && was == 0 || by < 0 && f.downs[n.Name] == 0 {
		f.Rec.Put(check.Event{Kind: kind, Node: n.Name})
	}
}

// StartEdge starts agent and proxy.
func (f *Fleet) StartEdge(n *Node) {
	f.StartAgent(n)
	f.StartProxy(n)
}

// KillCore ends a core at once. With power its disk loses what was not synced.
func (f *Fleet) KillCore(n *Node, power bool) {
	if n.Core == nil {
		return
	}
	var after *vfs.MemFS
	if power {
		after = n.FS.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 0})
	}
	f.Net.Kill(n.hosts[0])
	// Why: what a killed process waits for, it no longer waits for.
	n.disk.Store(DiskGood)
	n.Core.Thaw()
	f.Net.Thaw(n.IP)
	_ = n.Core.Kill()
	n.Core = nil
	if power {
		n.FS = after
	}
}

// LoseDisk gives a stopped core an empty disk.
func (f *Fleet) LoseDisk(n *Node) { n.FS = vfs.NewCrashableMem() }

// MoveCore gives a stopped core a new address.
func (f *Fleet) MoveCore(n *Node, ip string) {
	f.zones.Store(ip, n.Zone)
	n.IP = ip
	f.settle()
}

// settle tells the flows where the edges are.
func (f *Fleet) settle() {
	at := f.Spots()
	f.spots.Store(&at)
}

// KillAgent ends an agent at once.
func (f *Fleet) KillAgent(n *Node) {
	if n.Agent != nil {
		f.Net.Kill(n.hosts[1])
		n.Agent.Thaw()
		n.Agent.Kill()
		n.Agent = nil
	}
}

// KillProxy ends a proxy at once.
func (f *Fleet) KillProxy(n *Node) {
	if n.Proxy != nil {
		f.Down(n)
		f.Net.Kill(n.hosts[2])
		n.Proxy.Thaw()
		n.Proxy.Kill()
		n.Proxy = nil
	}
}

// KillEdge ends proxy and agent at once.
func (f *Fleet) KillEdge(n *Node) {
	f.KillProxy(n)
	f.KillAgent(n)
}

// Freeze stops a machine; Thaw wakes it.
func (f *Fleet) Freeze(n *Node) {
	f.Net.Freeze(n.IP)
	if n.Core != nil {
		n.Core.Freeze()
	}
	if n.Agent != nil {
		n.Agent.Freeze()
	}
	if n.Proxy != nil {
		f.Down(n)
		n.Proxy.Freeze()
	}
}

// Thaw wakes a frozen machine.
func (f *Fleet) Thaw(n *Node) {
	f.Net.Thaw(n.IP)
	if n.Core != nil {
		n.Core.Thaw()
	}
	if n.Agent != nil {
		n.Agent.Thaw()
	}
	if n.Proxy != nil {
		n.Proxy.Thaw()
		f.Up(n)
	}
}

// Jump sets a machine's wall clock wrong.
func (f *Fleet) Jump(n *Node, by time.Duration) { n.clock.off.Store(int64(by)) }
