package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	gen "drumstall.example/gen/platform"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/stand"
)

// fleet is a deployment's processes and what is known of them.
type fleet struct {
	d       stand.Deployment
	dir     string    // data, logs and records
	bin     string    // folder of our programs
	other   string    // folder of another version's
	port    int       // last one used
	zero    time.Time // the records' common zero
	procs   map[string]*proc
	records []string // files that the stand-ins record in
	group   *run.Group
	rec     *stand.Record
	edges   []stand.Edge
	ops     []string // operator addresses of the cores
	listed  map[string]gen.Listed
	plat    string // address of the platform
	patches int    // configurations patched so far
}

// addr is an address that nothing else of the fleet has.
func (f *fleet) addr() string {
	f.port++
	return fmt.Sprintf("127.0.0.1:%d", f.port)
}

// add starts a process that the fleet did not have.
func (f *fleet) add(name, bin string, args ...string) error {
	p := &proc{name: name, bin: bin, from: f.bin, args: args}
	f.procs[name] = p
	return f.start(p)
}

// raise starts everything and gives the first configuration.
func (f *fleet) raise(ctx context.Context) error {
	d := f.d
	f.plat = f.addr()
	if err := f.add("platform", "dsstand", "--role", "platform", "--addr", f.plat, "--record", f.record("platform"), "--zero", f.zeroText()); err != nil {
		return err
	}
	var cores, peers, feeds []string
	for range d.Cores {
		cores = append(cores, f.addr())
		f.ops = append(f.ops, f.addr())
	}
	for i := range d.Edges {
		peers = append(peers, f.addr())
		feeds = append(feeds, f.addr())
		f.edges = append(f.edges, stand.Edge{Name: fmt.Sprintf("proxy-%d", i+1), Addr: f.addr(), Zone: d.Zone(i)})
	}
	seeds := strings.Join([]string{cores[0], cores[1], peers[0]}, ",")
	for i := range d.Models + d.Services {
		if err := f.raiseReplica(i); err != nil {
			return err
		}
	}
	for i := range d.Cores {
		name := fmt.Sprintf("core-%d", i+1)
		if err := f.add(name, "dscore", "--name", name, "--zone", d.Zone(i), "--addr", cores[i], "--operator", f.ops[i], "--seeds", seeds,
			"--folder", filepath.Join(f.dir, name), "--cores", strconv.Itoa(d.Cores), "--platform", f.plat); err != nil {
			return err
		}
	}
	for i := range d.Edges {
		if err := f.raiseEdge(i, peers[i], feeds[i], seeds); err != nil {
			return err
		}
	}
	for _, l := range f.listed {
		if err := f.until(ctx, 10*time.Second, "platform", func() error { return f.control(l) }); err != nil {
			return err
		}
	}
	return f.until(ctx, 30*time.Second, "first configuration", func() error { return f.submit(http.MethodPut, d.Config) })
}

// raiseReplica starts the stand-in of one replica: models first, then services.
func (f *fleet) raiseReplica(i int) error {
	d := f.d
	s, role, id, labels := d.Replica, "model", fmt.Sprintf("m-%02d", i+1), map[string]string{"pool": "main"}
	if i >= d.Models {
		s, role, id, labels = d.Small, "service", fmt.Sprintf("s-%02d", i+1-d.Models), map[string]string{"service": d.Service}
	}
	var holds []string
	if role == "model" {
		for _, h := range d.Brings(i) {
			holds = append(holds, fmt.Sprintf("%s:%d", h.Model, h.SizeMib))
		}
	}
	addr := f.addr()
	f.listed[id] = gen.Listed{ID: id, Addr: addr, Zone: d.Zone(i), Kind: role, Labels: labels}
	return f.add(id, "dsstand", "--role", role, "--id", id, "--addr", addr, "--record", f.record(id), "--zero", f.zeroText(), "--service", s.Service,
		"--capacity", strconv.Itoa(s.CapacityMib), "--adapters", strconv.Itoa(s.AdapterPlaces), "--slots", strconv.Itoa(s.Slots),
		"--pieces", strconv.Itoa(s.Pieces), "--piece", s.PieceFor.String(), "--cold", s.ColdFor.String(), "--prefixes", strconv.Itoa(s.Prefixes),
		"--holds", strings.Join(holds, ","), "--rate", strconv.Itoa(max(s.LoadMibPerS, 1)))
}

// raiseEdge starts one edge machine's agent and proxy.
func (f *fleet) raiseEdge(i int, addr, feed, seeds string) error {
	node, zone := fmt.Sprintf("edge-%d", i+1), f.d.Zone(i)
	if err := f.add(fmt.Sprintf("agent-%d", i+1), "dsagent", "--name", node, "--zone", zone, "--addr", addr, "--feed", feed, "--seeds", seeds, "--platform", f.plat); err != nil {
		return err
	}
	return f.add(fmt.Sprintf("proxy-%d", i+1), "dsproxy", "--name", node, "--zone", zone, "--callers", f.edges[i].Addr, "--agent", feed, "--platform", f.plat)
}

// record names the file that a stand-in records in.
func (f *fleet) record(name string) string {
	p := filepath.Join(f.dir, name+".jsonl")
	f.records = append(f.records, p)
	return p
}

// zeroText is the records' common zero as the stand-ins take it.
func (f *fleet) zeroText() string { return f.zero.Format(time.RFC3339Nano) }

// until tries until it works, and gives the last error when the limit is over.
func (f *fleet) until(ctx context.Context, limit time.Duration, what string, try func() error) error {
	end := time.Now().Add(limit)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.Wrap(err, what)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// lower ends all processes and tells of those that did not end as they should.
func (f *fleet) lower() (odd []string) {
	names := slices.Sorted(maps.Keys(f.procs))
	for _, n := range names {
		_ = f.signal(n, syscall.SIGCONT)
		_ = f.signal(n, syscall.SIGTERM)
	}
	end := time.After(20 * time.Second)
	for _, n := range names {
		p := f.procs[n]
		select {
		case <-p.Done():
			if p.Code() > 0 {
				odd = append(odd, fmt.Sprintf("%s ended with code %d", n, p.Code()))
			}
		case <-end:
			_ = f.signal(n, syscall.SIGKILL)
			<-p.Done()
			odd = append(odd, n+" did not stop when asked")
			end = time.After(time.Second)
		}
	}
	return odd
}
