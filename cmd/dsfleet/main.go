// dsfleet runs a whole deployment on this machine as real processes, sends its
// traffic, causes faults by a schedule, and reports against the rules.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	gen "drumstall.example/gen/platform"
	"drumstall.example/internal/check"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/internal/stand"
)

// usual is the schedule run when none is given: one core killed and back, a
// replica leaving, one crashing in mid-stream, a proxy replaced.
const usual = `20s kill   core-1
30s patch
35s mark   m-02
50s start  core-1
60s kill   m-05
65s stop   proxy-2
75s start  m-05
78s start  proxy-2
85s unmark m-02
90s patch
95s kill   agent-3
99s start  agent-3
`

var rows = []setup.Row{
	{Name: "deployment", Default: "cascadia", Check: setup.OneOf("cascadia", "fotofamilia"), Doc: "cascadia or fotofamilia"},
	{Name: "for", Default: "3m", Check: setup.Within(5*time.Second, 2*time.Hour), Doc: "how long traffic is sent"},
	{Name: "scale", Default: "100", Check: setup.Between(1, 1000), Doc: "traffic in percent of the deployment's"},
	{Name: "schedule", Doc: "file of faults, lines 'AT VERB TARGET' (default: the usual one; - for none)", Check: func(string) string { return "" }},
	{Name: "dir", Doc: "folder for data and records (default: a temporary one, removed after a good run)", Check: func(string) string { return "" }},
	{Name: "port", Default: "21000", Check: setup.Between(1024, 60000), Doc: "first port used on 127.0.0.1"},
	{Name: "seed", Default: "1", Check: setup.Between(0, 1<<30), Doc: "seed of the traffic"},
	{Name: "other", Doc: "folder of another version's programs, which the step 'swap' changes a process to and back", Check: func(string) string { return "" }},
	{Name: "json", Doc: "file that takes the report as JSON", Check: func(string) string { return "" }},
}

type proc struct {
	name string
	args []string
	bin  string
	from string // folder of its programs
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

type fleet struct {
	d       stand.Deployment
	dir     string
	bin     string
	other   string
	port    int
	zero    time.Time
	procs   map[string]*proc
	records []string
	group   *run.Group
	rec     *stand.Record
	edges   []stand.Edge
	ops     []string
	listed  map[string]gen.Listed
	plat    string
	patches int
}

func (f *fleet) addr() string {
	f.port++
	return fmt.Sprintf("127.0.0.1:%d", f.port)
}

func (f *fleet) start(p *proc) error {
	if p.cmd != nil {
		select {
		case <-p.done:
		default:
			return errors.Errorf("%s runs already", p.name)
		}
	}
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(filepath.Join(p.from, p.bin), p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// Why: whatever ends us must not leave a fleet behind; and a stopped process in our own group would have
	// us hung up on when the shell ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	f.group.Go(func(context.Context) {
		_ = cmd.Wait()
		p.code = cmd.ProcessState.ExitCode()
		_ = log.Close()
		close(done)
	})
	return nil
}

func (f *fleet) add(name, bin string, args ...string) error {
	p := &proc{name: name, bin: bin, from: f.bin, args: args}
	f.procs[name] = p
	return f.start(p)
}

func (f *fleet) signal(name string, sig syscall.Signal) error {
	p := f.procs[name]
	if p == nil || p.cmd == nil {
		return errors.Errorf("%s does not run", name)
	}
	return p.cmd.Process.Signal(sig)
}

func (f *fleet) control(l gen.Listed) error {
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	res, err := http.Post("http://"+f.plat+"/control", "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("platform control: %s", res.Status)
	}
	return nil
}

// raise starts everything and gives the first configuration.
func (f *fleet) raise(ctx context.Context) error {
	d := f.d
	zero := f.zero.Format(time.RFC3339Nano)
	record := func(name string) string {
		p := filepath.Join(f.dir, name+".jsonl")
		f.records = append(f.records, p)
		return p
	}
	f.plat = f.addr()
	if err := f.add("platform", "dsstand", "--role", "platform", "--addr", f.plat, "--record", record("platform"), "--zero", zero); err != nil {
		return err
	}
	var cores, partners, feeds []string
	for range d.Cores {
		cores = append(cores, f.addr())
		f.ops = append(f.ops, f.addr())
	}
	for i := range d.Edges {
		partners = append(partners, f.addr())
		feeds = append(feeds, f.addr())
		f.edges = append(f.edges, stand.Edge{Name: fmt.Sprintf("proxy-%d", i+1), Addr: f.addr(), Zone: d.Zone(i)})
	}
	seeds := strings.Join([]string{cores[0], cores[1], partners[0]}, ",")
	for i := range d.Models + d.Services {
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
		if err := f.add(id, "dsstand", "--role", role, "--id", id, "--addr", addr, "--record", record(id), "--zero", zero, "--service", s.Service,
			"--capacity", strconv.Itoa(s.CapacityMib), "--adapters", strconv.Itoa(s.AdapterPlaces), "--slots", strconv.Itoa(s.Slots),
			"--pieces", strconv.Itoa(s.Pieces), "--piece", s.PieceFor.String(), "--cold", s.ColdFor.String(), "--prefixes", strconv.Itoa(s.Prefixes), "--holds", strings.Join(holds, ","), "--rate", strconv.Itoa(max(s.LoadMibPerS, 1))); err != nil {
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
		node := fmt.Sprintf("edge-%d", i+1)
		if err := f.add(fmt.Sprintf("agent-%d", i+1), "dsagent", "--name", node, "--zone", d.Zone(i), "--addr", partners[i], "--feed", feeds[i], "--seeds", seeds, "--platform", f.plat); err != nil {
			return err
		}
		if err := f.add(fmt.Sprintf("proxy-%d", i+1), "dsproxy", "--name", node, "--zone", d.Zone(i), "--visitors", f.edges[i].Addr, "--agent", feeds[i], "--platform", f.plat); err != nil {
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

// submit sends a configuration and records an acknowledgement.
func (f *fleet) submit(method string, body []byte) error {
	sum := sha256.Sum256(body)
	e := check.Event{Kind: check.ConfAck, Sum: hex.EncodeToString(sum[:])}
	var last error
	for _, op := range f.ops {
		req, err := http.NewRequest(method, "http://"+op+"/v1/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		res, err := (&http.Client{Timeout: 8 * time.Second}).Do(req)
		if err != nil {
			last = err
			if !strings.Contains(err.Error(), "refused") {
				e.Outcome = check.Unknown
				f.rec.Put(e)
				return err
			}
			continue
		}
		b, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			e.Serial, _ = strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
			f.rec.Put(e)
			return nil
		}
		last = errors.Errorf("%s: %s", res.Status, bytes.TrimSpace(b))
		if res.Header.Get("Drumstall-Outcome") == "unknown" {
			e.Outcome = check.Unknown
			f.rec.Put(e)
			return last
		}
	}
	return last
}

func (f *fleet) readBack() error {
	var last error
	for _, op := range f.ops {
		res, err := (&http.Client{Timeout: 8 * time.Second}).Get("http://" + op + "/v1/config")
		if err != nil {
			last = err
			continue
		}
		b, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			last = errors.New(res.Status)
			continue
		}
		sum := sha256.Sum256(b)
		n, _ := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
		f.rec.Put(check.Event{Kind: check.ConfBack, Serial: n, Sum: hex.EncodeToString(sum[:])})
		return nil
	}
	return last
}

// do carries out one step of the schedule.
func (f *fleet) do(s stand.Step) error {
	// note records what a step means for a proxy's callers.
	note := func(kinds ...string) {
		if strings.HasPrefix(s.Target, "proxy") {
			for _, k := range kinds {
				f.rec.Put(check.Event{Kind: k, Node: s.Target})
			}
		}
	}
	switch s.Verb {
	case "patch":
		f.patches++
		return f.submit(http.MethodPatch, []byte(fmt.Sprintf(`{"replace": {"weights": {"zone": {"weight": %d}}}}`, f.patches%7)))
	case "kill":
		note(check.EdgeDown)
		return f.signal(s.Target, syscall.SIGKILL)
	case "freeze":
		note(check.EdgeDown)
		return f.signal(s.Target, syscall.SIGSTOP)
	case "thaw":
		note(check.EdgeUp)
		return f.signal(s.Target, syscall.SIGCONT)
	case "stop":
		note(check.EdgeDown, check.Planned)
		return f.signal(s.Target, syscall.SIGTERM)
	case "swap":
		p := f.procs[s.Target]
		if err := f.do(stand.Step{Verb: "stop", Target: s.Target}); err != nil {
			return err
		}
		if p.from == f.bin {
			p.from = f.other
		} else {
			p.from = f.bin
		}
		return f.do(stand.Step{Verb: "start", Target: s.Target})
	case "empty":
		return os.RemoveAll(filepath.Join(f.dir, s.Target))
	case "start":
		p := f.procs[s.Target]
		note(check.PlanEnd, check.EdgeUp)
		select {
		case <-p.done:
		case <-time.After(70 * time.Second):
			return errors.Errorf("%s has not ended", s.Target)
		}
		// Why: a back end that starts anew holds nothing.
		for i, a := range p.args {
			if a == "--holds" {
				p.args[i+1] = ""
			}
		}
		return f.start(p)
	case "mark", "unmark":
		l := f.listed[s.Target]
		l.Leaving = s.Verb == "mark"
		f.listed[s.Target] = l
		return f.control(l)
	}
	return errors.Errorf("no step %s", s.Verb)
}

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
		case <-p.done:
			if p.code > 0 {
				odd = append(odd, fmt.Sprintf("%s ended with code %d", n, p.code))
			}
		case <-end:
			_ = f.signal(n, syscall.SIGKILL)
			<-p.done
			odd = append(odd, n+" did not stop when asked")
			end = time.After(time.Second)
		}
	}
	return odd
}

func main() { os.Exit(fleetMain()) }

func fleetMain() int {
	s, code, done := setup.Read("dsfleet", "a whole deployment as real processes on this machine, with faults and a report", rows, os.Args[1:], os.Stdout, os.Stderr)
	if done {
		if code == 0 {
			fmt.Printf("\nThe usual schedule:\n%s\nSteps: kill, stop, start, freeze, thaw, mark, unmark, empty (a stopped core's disk), swap (stop, and start from the other\nversion's programs, see --other), patch (no target).\n", usual)
		}
		return code
	}
	d := stand.Deployments()[s["deployment"]]()
	text := usual
	if s["schedule"] == "-" {
		text = ""
	} else if s["schedule"] != "" {
		b, err := os.ReadFile(s["schedule"])
		if err != nil {
			fmt.Fprintf(os.Stderr, "dsfleet: setting schedule: %v\n", err)
			return 2
		}
		text = string(b)
	}
	steps, faults := stand.ParseSchedule(text, d.Targets())
	for _, x := range faults {
		fmt.Fprintf(os.Stderr, "dsfleet: schedule: %s\n", x)
	}
	for _, st := range steps {
		if st.Verb == "swap" && s["other"] == "" {
			fmt.Fprintf(os.Stderr, "dsfleet: schedule: line %d: swap wants the setting other\n", st.Line)
			return 2
		}
	}
	if len(faults) > 0 {
		return 2
	}
	if s["other"] != "" {
		for _, name := range []string{"dscore", "dsagent", "dsproxy"} {
			if _, err := os.Stat(filepath.Join(s["other"], name)); err != nil {
				fmt.Fprintf(os.Stderr, "dsfleet: setting other: %v\n", err)
				return 2
			}
		}
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "dsfleet:", err)
		return 1
	}
	f := &fleet{d: d, dir: s["dir"], bin: filepath.Dir(self), other: s["other"], port: s.Int("port"), zero: time.Now(), procs: map[string]*proc{}, listed: map[string]gen.Listed{},
		group: run.NewGroup(context.Background())}
	temporary := f.dir == ""
	if temporary {
		if f.dir, err = os.MkdirTemp("", "dsfleet"); err != nil {
			fmt.Fprintln(os.Stderr, "dsfleet:", err)
			return 1
		}
	} else if there, _ := os.ReadDir(f.dir); len(there) > 0 {
		// Why: an earlier run's records and data would be taken for this one's.
		fmt.Fprintf(os.Stderr, "dsfleet: setting dir = %q must be an empty folder, or none yet\n", f.dir)
		return 2
	} else if err := os.MkdirAll(f.dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, "dsfleet:", err)
		return 1
	}
	f.rec = stand.NewRecord(f.zero, nil)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	fmt.Printf("%s: %d cores, %d edges, %d model and %d service replicas; data in %s\n", d.Name, d.Cores, d.Edges, d.Models, d.Services, f.dir)
	if err := f.raise(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "dsfleet: the fleet did not come up:", err)
		f.lower()
		return 1
	}
	v := stand.NewVisitors("v", wire.Host(), f.rec)
	for _, e := range f.edges {
		v.WatchConf(f.group, func() stand.Edge { return e })
		if err := f.until(ctx, 15*time.Second, e.Name+" serves", func() error {
			if n, ok := v.InForce(ctx, e); !ok || n == 0 {
				return errors.New("not yet")
			}
			return nil
		}); err != nil {
			fmt.Fprintln(os.Stderr, "dsfleet:", err)
			f.lower()
			return 1
		}
	}
	fmt.Printf("serving after %v\n", time.Since(f.zero).Round(time.Millisecond))
	flows := append([]stand.Flow(nil), d.Flows...)
	for i := range flows {
		flows[i].PerSecond *= float64(s.Int("scale")) / 100
	}
	traffic, quiet := context.WithTimeout(ctx, s.Span("for"))
	defer quiet()
	v.Run(f.group, traffic, uint64(s.Int("seed")), func() []stand.Edge { return f.edges }, flows)
	began := time.Now()
	wrong := 0
	for _, st := range steps {
		if !run.Wait(traffic, time.Until(began.Add(st.At))) {
			fmt.Fprintf(os.Stderr, "dsfleet: schedule line %d was not reached\n", st.Line)
			wrong++
			break
		}
		fmt.Printf("%6.1fs %s %s\n", time.Since(began).Seconds(), st.Verb, st.Target)
		if err := f.do(st); err != nil {
			fmt.Fprintf(os.Stderr, "dsfleet: schedule line %d: %v\n", st.Line, err)
			wrong++
		}
	}
	<-traffic.Done()
	// What is under way may take its whole deadline.
	run.Wait(ctx, 20*time.Second)
	if err := f.readBack(); err != nil {
		fmt.Fprintln(os.Stderr, "dsfleet: read-back:", err)
		wrong++
	}
	v.Close()
	odd := f.lower()
	f.group.Stop()
	events := f.rec.Events()
	for _, p := range f.records {
		es, err := stand.ReadRecord(p)
		if err != nil {
			fmt.Fprintln(os.Stderr, "dsfleet: record:", err)
			wrong++
		}
		events = append(events, es...)
	}
	var edges []string
	for _, e := range f.edges {
		edges = append(edges, e.Name)
	}
	r := check.Figures(events, check.Bounds{PaceLoads: d.PaceLoads, RetryAllowance: d.Allowance, Edges: edges})
	r.Print(os.Stdout)
	for _, o := range odd {
		fmt.Println("odd:", o)
	}
	if s["json"] != "" {
		b, _ := json.MarshalIndent(r, "", " ")
		if err := os.WriteFile(s["json"], append(b, '\n'), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, "dsfleet:", err)
			wrong++
		}
	}
	if r.Breached() || wrong > 0 || len(odd) > 0 || ctx.Err() != nil {
		fmt.Println("FAILED; data kept in", f.dir)
		return 1
	}
	if temporary {
		_ = os.RemoveAll(f.dir)
	}
	fmt.Println("all rules kept")
	return 0
}
