package hollow

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	gen "drumstall.example/gen/platform"
	"drumstall.example/internal/agent"
	"drumstall.example/internal/core"
	"drumstall.example/internal/kernel/bounds"
	"drumstall.example/internal/kernel/ring"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/tick"
	"drumstall.example/internal/proxy"
	"drumstall.example/internal/sim/capacity"
	"drumstall.example/internal/stand"
)

// process is one process of the fleet.
type process struct {
	spec     Spec
	group    *run.Group
	network  *network
	shared   *knowledge
	logs     io.Writer
	record   *stand.Record
	platform *stand.Platform
	cores    []*core.Core
	agents   []*agent.Agent
	proxies  []*proxy.Proxy
	nodes    []*node
	replicas []*stand.Replica
}

const (
	// loadMibPerS is how fast a hollow replica loads.
	loadMibPerS = modelMib * 1000 / loadMs
	logLines    = 200
)

// startProcess starts all that a process runs.
func startProcess(spec Spec, logs io.Writer) (*process, error) {
	p := &process{spec: spec, group: run.NewGroup(context.Background()), network: newNetwork(spec.Layout), shared: newKnowledge(),
		logs: logs, record: stand.NewRecord(time.Now(), io.Discard)}
	if spec.Platform {
		if err := p.startPlatform(); err != nil {
			return p, errors.Wrap(err, "platform")
		}
	}
	for _, each := range []struct {
		what  string
		which []int
		start func(i int) error
	}{
		{"replica", spec.Replicas, p.startReplica},
		{"core", spec.Cores, p.startCore},
		{"agent", spec.Agents, p.startAgent},
		{"proxy", spec.Proxies, p.startProxy},
		{"node", spec.Nodes, p.startNode},
	} {
		for _, i := range each.which {
			if err := each.start(i); err != nil {
				return p, errors.Wrapf(err, "%s %d", each.what, i)
			}
		}
	}
	return p, nil
}

// env is a machine of the fleet as real code finds it.
func (p *process) env(ip string) core.Env {
	return core.Env{Net: p.network.machine(ip), Clock: tick.MachineClock(), FS: vfs.Default, Log: ring.New(p.logs, logLines)}
}

func (p *process) startPlatform() error {
	l := p.spec.Layout
	platform, err := stand.StartPlatform(l.PlatformAddr(), p.network.machine(l.platformIP()), p.record)
	if err != nil {
		return err
	}
	for i := range l.Replicas {
		platform.Set(gen.Listed{ID: capacity.ReplicaID(i), Addr: at(l.ReplicaIP(i), replicaPort), Zone: l.ZoneName(i), Kind: "model",
			Labels: map[string]string{"pool": "main", "service": fmt.Sprintf("service-%02d", i%12)}})
	}
	p.platform = platform
	return nil
}

func (p *process) startReplica(i int) error {
	ip := p.spec.Layout.ReplicaIP(i)
	r, err := stand.StartReplica(stand.ReplicaSettings{ID: capacity.ReplicaID(i), Addr: at(ip, replicaPort), Model: true, Service: "models",
		CapacityMib: replicaMib, AdapterPlaces: adapterSeats, Slots: replicaSlots, Pieces: 1, PieceFor: time.Second, LoadMibPerS: loadMibPerS},
		p.network.machine(ip), p.record)
	if err != nil {
		return err
	}
	for _, item := range p.spec.Catalogue.brings(i) {
		size := modelMib
		if item.Adapter != "" {
			size = 0
		}
		r.Preload(item, size)
	}
	p.replicas = append(p.replicas, r)
	return nil
}

func (p *process) startCore(i int) error {
	l := p.spec.Layout
	ip := l.CoreIP(i)
	c, err := core.Start(core.Settings{Fleet: "scale", Name: fmt.Sprintf("core-%d", i), Zone: l.ZoneName(i), Addr: l.CoreAddr(i), Operator: at(ip, operatorPort),
		Seeds: l.Seeds(), Folder: p.spec.Folder, Cores: l.Cores, Platform: l.PlatformAddr(), Cadence: p.cadence(),
		Bounds: bounds.Bounds{ToleratedCores: (l.Cores - 1) / 2}}, p.env(ip))
	if err != nil {
		return err
	}
	p.cores = append(p.cores, c)
	return nil
}

func (p *process) startAgent(i int) error {
	a, err := agent.Start(p.agentSettings(i), p.env(p.spec.Layout.NodeIP(i)))
	if err != nil {
		return err
	}
	p.agents = append(p.agents, a)
	return nil
}

func (p *process) startProxy(i int) error {
	l := p.spec.Layout
	ip := l.NodeIP(i)
	x, err := proxy.Start(proxy.Settings{Name: capacity.NodeName(i), Zone: l.ZoneName(i), CallerAddr: at(ip, callerPort), Agent: at(ip, feedPort),
		Platform: l.PlatformAddr(), Cadence: p.cadence()}, p.env(ip))
	if err != nil {
		return err
	}
	p.proxies = append(p.proxies, x)
	return nil
}

// stop ends everything at once.
func (p *process) stop() {
	p.group.Stop()
	for _, n := range p.nodes {
		n.kill()
	}
	for _, x := range p.proxies {
		x.Kill()
	}
	for _, a := range p.agents {
		a.Kill()
	}
	for _, c := range p.cores {
		_ = c.Kill()
	}
	for _, r := range p.replicas {
		r.Crash()
	}
	if p.platform != nil {
		p.platform.Stop()
	}
}

// cadence is that of the users' platform, or a slower one.
func (p *process) cadence() bounds.Cadence {
	c := capacity.Cadence()
	times := time.Duration(max(1, p.spec.Slower))
	c.Report, c.ReplicaIdle, c.List, c.SharePredictions = times*c.Report, times*c.ReplicaIdle, times*c.List, times*c.SharePredictions
	return c
}

// sample measures; whole says that what takes a while is told too.
func (p *process) sample(ctx context.Context, whole bool) Sample {
	s := Sample{At: time.Now(), Processor: processorTime(), Heap: heapBytes(),
		Connections: p.network.meter.Open(), Traffic: p.network.meter.Counts()}
	s.Resident, s.Private = memory()
	for _, n := range p.nodes {
		s.Nodes = append(s.Nodes, n.sample())
	}
	for i, c := range p.cores {
		s.Cores = append(s.Cores, p.coreState(ctx, p.spec.Cores[i], c, whole))
	}
	return s
}

func (p *process) coreState(ctx context.Context, i int, c *core.Core, whole bool) CoreState {
	s := CoreState{Name: fmt.Sprintf("core-%d", i), Slots: len(c.Held())}
	if !whole {
		return s
	}
	s.Disk = folderBytes(p.spec.Folder)
	if status, ok := c.Status(ctx).(map[string]any); ok {
		if counts, ok := status["counts"].(map[string]int64); ok {
			s.News = counts["news"]
		}
	}
	return s
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func folderBytes(folder string) (sum int64) {
	_ = filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			sum += info.Size()
		}
		return nil
	})
	return sum
}
