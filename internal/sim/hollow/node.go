package hollow

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"drumstall.example/internal/agent"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/core"
	"drumstall.example/internal/feed"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/place/order"
	"drumstall.example/internal/place/report"
	"drumstall.example/internal/sim/capacity"
	"drumstall.example/internal/state"
)

const (
	// feedHoldMs is how long a hollow proxy lets its answer be held back. Why: a proxy's 200 ms would
	// more than double the calls of a process that stands for many, on loopback, which no limit counts.
	feedHoldMs = 500
	// reportEvery is how often a report goes to the agent.
	reportEvery = 200 * time.Millisecond
	feedLimit   = 2 * time.Second
	feedRest    = 20 * time.Millisecond
)

// node is a real agent with a loop in place of its proxy.
type node struct {
	name    string
	feed    string
	agent   *agent.Agent
	caller  *wire.Client
	shared  *knowledge
	callers callers
	boot    string
	up      feed.Request
	now     report.Report // of the moment; its maps are not changed once sent
	base    report.Report // what the agent holds
	sentAt  time.Time
	mu      sync.Mutex
	state   NodeState
}

func (p *process) startNode(i int) error {
	l := p.spec.Layout
	ip := l.NodeIP(i)
	n := &node{name: capacity.NodeName(i), feed: at(ip, feedPort), caller: wire.NewClient(wire.HostNetwork()), shared: p.shared, boot: core.NewBootID()}
	n.callers = callers{load: p.spec.Load, share: p.spec.Load.Misses / float64(max(l.Nodes, 1)), catalogue: p.spec.Catalogue,
		rnd: rand.New(rand.NewPCG(uint64(i), 1))}
	n.now = report.Report{Boot: n.boot, Zone: l.ZoneName(i), Serving: true, Demand: map[string]uint64{}, WorkMs: map[string]uint64{}, Acked: map[string]state.Stamp{}}
	a, err := agent.Start(p.agentSettings(i), p.env(ip))
	if err != nil {
		return err
	}
	n.agent = a
	p.nodes = append(p.nodes, n)
	p.group.Repeat(feedRest, n.exchange)
	return nil
}

func (p *process) agentSettings(i int) agent.Settings {
	l := p.spec.Layout
	ip := l.NodeIP(i)
	return agent.Settings{Name: capacity.NodeName(i), Zone: l.ZoneName(i), Addr: at(ip, peerPort), Feed: at(ip, feedPort), Seeds: l.Seeds(),
		Platform: l.PlatformAddr(), Cadence: p.cadence()}
}

// exchange trades news and reports with the agent, as a proxy does.
func (n *node) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, feedLimit)
	defer cancel()
	up := n.up
	up.Boot, up.MaxWaitMs, up.NoReport = n.boot, feedHoldMs, true
	var sent report.Report
	if elapsed := time.Since(n.sentAt); elapsed >= reportEvery {
		sent = n.report(min(elapsed, time.Second))
		up.NoReport, up.Report = false, sent
		if n.base.Version != 0 {
			up.Report = sent.DeltaFrom(n.base)
		}
		n.sentAt = time.Now()
	}
	down, err := wire.Call[feed.Request, feed.Reply](ctx, n.caller, n.feed, feed.Path, up)
	if err != nil {
		n.base, n.sentAt = report.Report{}, time.Time{}
		return
	}
	n.settle(sent, down.ReportVersion)
	n.take(down)
}

// settle notes which report the agent holds.
func (n *node) settle(sent report.Report, holds uint64) {
	switch {
	case holds != 0 && holds == sent.Version:
		n.base = sent
	case holds != n.base.Version:
		n.base = report.Report{}
	}
}

// take takes what the agent answered.
func (n *node) take(d feed.Reply) {
	n.up.AgentBoot, n.up.Cursor, n.up.Confirmed = d.AgentBoot, d.Cursor, n.up.Confirmed || d.Confirmed
	acked := n.now.Acked
	changed := false
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range d.Entries {
		id, isReplica := strings.CutPrefix(e.Key, order.Key(""))
		switch {
		case e.Key == conf.Key && e.Stamp.Newer(n.up.Conf):
			n.up.Conf, n.state.ConfAt = e.Stamp, time.Now()
			n.now.ConfigSerial++
		case isReplica:
			if !changed {
				acked, changed = maps.Clone(acked), true
			}
			n.shared.learn(id, e)
			acked[id] = e.Stamp
			if e.Deleted {
				delete(acked, id)
			}
		}
	}
	n.now.Acked = acked
	n.state.Name, n.state.Edges, n.state.Heard = n.name, d.Edges, d.SinceContactMs
	n.state.Items, n.state.Acked = len(n.now.Demand), len(acked)
}

// report is the hollow proxy's word, after some more time of traffic.
func (n *node) report(elapsed time.Duration) report.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := n.shared.held()
	n.callers.pass(elapsed, held)
	r := n.now
	r.Version++
	r.Demand, r.WorkMs = maps.Clone(r.Demand), maps.Clone(r.WorkMs)
	for _, item := range n.callers.asked {
		model, _, isAdapter := strings.Cut(item, "/")
		r.Demand[model]++
		r.WorkMs[model] += workMs
		if isAdapter {
			r.Demand[item]++
		}
	}
	r.Inflight, r.Waiting = n.callers.inflight(), n.callers.waiting()
	n.now = r
	return r
}

// workMs is a replica's time to read one prompt.
const workMs = 20

func (n *node) sample() NodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

func (n *node) kill() {
	n.agent.Kill()
	n.caller.Close()
}

// knowledge is what the hollow nodes of one process know of the replicas, read once for all of them.
type knowledge struct {
	mu      sync.Mutex
	stamps  map[string]state.Stamp
	items   map[string][]string // by replica, loaded
	current *holders            // made anew after a change
}

func newKnowledge() *knowledge {
	return &knowledge{stamps: map[string]state.Stamp{}, items: map[string][]string{}}
}

func (k *knowledge) learn(id string, e gossip.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !e.Stamp.Newer(k.stamps[id]) {
		return
	}
	k.stamps[id], k.current = e.Stamp, nil
	delete(k.items, id)
	var n order.Status
	if e.Deleted || wire.Unmarshal(e.Value, &n) != nil {
		return
	}
	for item, st := range n.Items {
		if st == loadedItem {
			k.items[id] = append(k.items[id], item)
		}
	}
}

// held is which replicas hold what.
func (k *knowledge) held() *holders {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current == nil {
		k.current = newHolders(k.items)
	}
	return k.current
}
