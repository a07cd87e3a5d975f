package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/sim/hollow"
	"drumstall.example/internal/sim/process"
)

// role is what a process of the fleet runs.
type role string

// The roles.
const (
	roleCore     role = "core"
	roleAgent    role = "agent"
	roleProxy    role = "proxy"
	roleNodes    role = "nodes"    // hollow ones of one zone
	roleReplicas role = "replicas" // of one zone
	rolePlatform role = "platform"
)

// outside is the zone of what is in none.
const outside = -1

// part is one process of the fleet.
type part struct {
	*process.Process
	spec hollow.Spec
	role role
	zone int
	lost bool // it was ended on purpose
}

// fleet is one size of the fleet as it runs.
type fleet struct {
	plan    plan
	layout  hollow.Layout
	dir     string
	out     io.Writer
	group   *run.Group
	parts   []*part
	http    *http.Client
	changes int  // configurations sent so far
	good    bool // all went as it should
}

const (
	startLimit = 20 * time.Second
	askLimit   = time.Minute
	// startEach is how long is waited after each node that was started.
	startEach   = 50 * time.Millisecond
	formLimit   = 2 * time.Minute
	submitLimit = 8 * time.Second
	pollEvery   = 250 * time.Millisecond
	// load of callers on one node at the peak, by the users' plan.
	perNode = 7.8
	lasts   = 20 * time.Second // 256 tokens, 78 ms each
	// missesAtFull is requests a second for what nobody holds, at 410 nodes: 460 loads an hour.
	missesAtFull = 460.0 / 3600
)

// newFleet makes a fleet none of whose processes runs yet.
func newFleet(p plan, z size, out io.Writer) (*fleet, error) {
	l := p.shape
	l.Nodes, l.Replicas = z.nodes, z.replicas
	f := &fleet{plan: p, layout: l, out: out, group: run.NewGroup(context.Background()), http: &http.Client{Timeout: submitLimit}}
	var err error
	if p.dir == "" {
		f.dir, err = os.MkdirTemp("", program)
	} else {
		f.dir = filepath.Join(p.dir, z.String())
		err = os.MkdirAll(f.dir, 0o755)
	}
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	for _, one := range f.roles() {
		one.spec.Layout, one.spec.Catalogue, one.spec.Slower = l, p.catalogue, p.slower
		one.spec.Load = hollow.Load{PerNode: perNode, Lasts: lasts, Misses: missesAtFull * float64(z.nodes) / maxNodes}
		one.Process = process.New(process.Settings{Program: self, Args: []string{childWord}, Log: filepath.Join(f.dir, one.spec.Name+".log"), Talks: true})
		f.parts = append(f.parts, one)
	}
	return f, nil
}

// roles is which processes there are, in the order in which they start.
func (f *fleet) roles() []*part {
	l := f.layout
	out := []*part{{role: rolePlatform, zone: outside, spec: hollow.Spec{Name: "platform", Platform: true}}}
	nodes, replicas := make([][]int, l.Zones), make([][]int, l.Zones)
	for i := range l.Replicas {
		replicas[l.Zone(i)] = append(replicas[l.Zone(i)], i)
	}
	for i := f.plan.real; i < l.Nodes; i++ {
		nodes[l.Zone(i)] = append(nodes[l.Zone(i)], i)
	}
	for z, which := range replicas {
		if len(which) > 0 {
			out = append(out, &part{role: roleReplicas, zone: z, spec: hollow.Spec{Name: fmt.Sprintf("replicas-z%d", z), Replicas: which}})
		}
	}
	for i := range l.Cores {
		name := fmt.Sprintf("core-%d", i)
		out = append(out, &part{role: roleCore, zone: l.Zone(i), spec: hollow.Spec{Name: name, Cores: []int{i}, Folder: filepath.Join(f.dir, name)}})
	}
	for i := range f.plan.real {
		out = append(out,
			&part{role: roleAgent, zone: l.Zone(i), spec: hollow.Spec{Name: fmt.Sprintf("agent-%d", i), Agents: []int{i}}},
			&part{role: roleProxy, zone: l.Zone(i), spec: hollow.Spec{Name: fmt.Sprintf("proxy-%d", i), Proxies: []int{i}}})
	}
	for z, which := range nodes {
		if len(which) > 0 {
			out = append(out, &part{role: roleNodes, zone: z, spec: hollow.Spec{Name: fmt.Sprintf("nodes-z%d", z), Nodes: which}})
		}
	}
	return out
}

// raise starts everything. The cores get the first configuration before any node starts, as a core set forms
// before it is given nodes.
func (f *fleet) raise(ctx context.Context) error {
	early := func(one *part) bool {
		return one.role == rolePlatform || one.role == roleReplicas || one.role == roleCore
	}
	if err := f.startAll(ctx, early); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	return f.startAll(ctx, func(one *part) bool { return !early(one) })
}

func (f *fleet) startAll(ctx context.Context, which func(one *part) bool) error {
	for _, one := range f.parts {
		if !which(one) {
			continue
		}
		if err := f.start(one); err != nil {
			return errors.Wrap(err, one.spec.Name)
		}
		// Why: the cores hand each new node what they know, and a whole fleet does not start at once.
		if one.role == roleNodes && !run.Sleep(ctx, time.Duration(one.units())*startEach) || ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// configure gives the first configuration as soon as the cores take it.
func (f *fleet) configure(ctx context.Context) error {
	doc, err := f.plan.catalogue.Document()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, formLimit)
	defer cancel()
	for {
		if err := f.submit(http.MethodPut, doc, f.cores(nil)); err == nil {
			return nil
		} else if !run.Sleep(ctx, pollEvery) {
			return errors.Wrap(err, "first configuration")
		}
	}
}

func (f *fleet) start(one *part) error {
	if err := one.Start(f.group); err != nil {
		return err
	}
	spec, err := json.Marshal(one.spec)
	if err != nil {
		return err
	}
	var started hollow.Started
	if err := one.Ask(spec, startLimit, &started); err != nil {
		return err
	}
	if started.Error != "" {
		return errors.New(started.Error)
	}
	return nil
}

// cores are the cores that run, of some zones or of all.
func (f *fleet) cores(in func(zone int) bool) []int {
	var out []int
	for _, one := range f.parts {
		if one.role == roleCore && !one.lost && (in == nil || in(one.zone)) {
			out = append(out, one.spec.Cores...)
		}
	}
	return out
}

// submit sends a configuration to the first of some cores that keeps it.
func (f *fleet) submit(method string, body []byte, cores []int) error {
	last := errors.New("no core runs")
	for _, i := range cores {
		req, err := http.NewRequest(method, "http://"+f.layout.OperatorAddr(i)+"/v1/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		res, err := f.http.Do(req)
		if err != nil {
			last = err
			continue
		}
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
		last = errors.Errorf("%s: %s", res.Status, bytes.TrimSpace(text))
	}
	return last
}

// change sends a small change of the configuration.
func (f *fleet) change(cores []int) error {
	f.changes++
	return f.submit(http.MethodPatch, hollow.Change(f.changes), cores)
}

// samples asks all parts that run, of some roles or of all, what they measured.
func (f *fleet) samples(command string, roles ...role) (map[*part]hollow.Sample, error) {
	var asked []*part
	for _, one := range f.parts {
		if !one.lost && (len(roles) == 0 || slices.Contains(roles, one.role)) {
			asked = append(asked, one)
		}
	}
	type answer struct {
		i      int
		sample hollow.Sample
		err    error
	}
	answers := run.FanOut(f.group, len(asked), func(_ context.Context, i int) answer {
		a := answer{i: i}
		a.err = asked[i].Ask([]byte(command), askLimit, &a.sample)
		return a
	})
	out := map[*part]hollow.Sample{}
	var failed error
	for range asked {
		a := <-answers
		if a.err != nil {
			failed = errors.Wrap(a.err, asked[a.i].spec.Name)
			continue
		}
		out[asked[a.i]] = a.sample
	}
	return out, failed
}

// end ends all processes, and keeps the logs of a run that went wrong.
func (f *fleet) end() {
	for _, one := range f.parts {
		one.Hush()
	}
	until := time.Now().Add(endLimit)
	for _, one := range f.parts {
		if one.Done() != nil && !run.WaitOn(context.Background(), one.Done(), time.Until(until)) {
			_ = one.Signal(syscall.SIGKILL)
			<-one.Done()
		}
	}
	f.group.Stop()
	f.http.CloseIdleConnections()
	if f.good && f.plan.dir == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// endLimit is how long processes are given to end by themselves.
const endLimit = 10 * time.Second
