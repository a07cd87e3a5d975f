// dsfleet runs a whole deployment on this machine as real processes, sends its
// traffic, causes faults by a schedule, and reports against the rules.
//
// It starts the programs that lie beside its own, as children that end with it,
// and judges the run by what the stand-ins recorded, never by what drumstall says
// of itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	gen "drumstall.example/gen/platform"
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

var rows = []setup.Setting{
	{Name: "deployment", Default: "cascadia", Check: setup.OneOf("cascadia", "fotofamilia"), Doc: "cascadia or fotofamilia"},
	{Name: "for", Default: "3m", Check: setup.DurationRange(5*time.Second, 2*time.Hour), Doc: "how long traffic is sent"},
	{Name: "scale", Default: "100", Check: setup.IntRange(1, 1000), Doc: "traffic in percent of the deployment's"},
	{Name: "schedule", Doc: "file of faults, lines 'AT VERB TARGET' (default: the usual one; - for none)", Check: func(string) string { return "" }},
	{Name: "dir", Doc: "folder for data and records (default: a temporary one, removed after a good run)", Check: func(string) string { return "" }},
	{Name: "port", Default: "21000", Check: setup.IntRange(1024, 60000), Doc: "first port used on 127.0.0.1"},
	{Name: "seed", Default: "1", Check: setup.IntRange(0, 1<<30), Doc: "seed of the traffic"},
	{Name: "other", Doc: "folder of another version's programs, which the step 'swap' changes a process to and back", Check: func(string) string { return "" }},
	{Name: "json", Doc: "file that takes the report as JSON", Check: func(string) string { return "" }},
}

func main() { os.Exit(fleetMain()) }

// fleetMain is main with an exit code: 0 all rules kept, 1 not so or it could not
// be run, 2 wrong usage.
func fleetMain() int {
	s, code, done := setup.Read("dsfleet", "a whole deployment as real processes on this machine, with faults and a report", rows, os.Args[1:], os.Stdout, os.Stderr)
	if done {
		if code == 0 {
			fmt.Printf("\nThe usual schedule:\n%s\nSteps: kill, stop, start, freeze, thaw, mark, unmark, empty (a stopped core's disk), swap (stop, and start from the other\nversion's programs, see --other), patch (no target).\n", usual)
		}
		return code
	}
	d := stand.Deployments()[s["deployment"]]()
	steps, ok := schedule(s, d)
	if !ok {
		return 2
	}
	f, temporary, code := newFleet(s, d)
	if code != 0 {
		return code
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	fmt.Printf("%s: %d cores, %d edges, %d model and %d service replicas; data in %s\n", d.Name, d.Cores, d.Edges, d.Models, d.Services, f.dir)
	if err := f.raise(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "dsfleet: the fleet did not come up:", err)
		f.lower()
		return 1
	}
	v := stand.NewClients("v", wire.HostNetwork(), f.rec)
	if err := f.serves(ctx, v); err != nil {
		fmt.Fprintln(os.Stderr, "dsfleet:", err)
		f.lower()
		return 1
	}
	fmt.Printf("serving after %v\n", time.Since(f.zero).Round(time.Millisecond))
	wrong := f.play(ctx, s, v, steps)
	odd := f.lower()
	f.group.Stop()
	good, unwritten := f.report(s["json"], odd)
	if wrong += unwritten; !good || wrong > 0 || len(odd) > 0 || ctx.Err() != nil {
		fmt.Println("FAILED; data kept in", f.dir)
		return 1
	}
	if temporary {
		_ = os.RemoveAll(f.dir)
	}
	fmt.Println("all rules kept")
	return 0
}

// schedule reads the steps, and says on standard error what is wrong with them.
func schedule(s setup.Settings, d stand.Deployment) (steps []stand.Step, ok bool) {
	text := usual
	if s["schedule"] == "-" {
		text = ""
	} else if s["schedule"] != "" {
		b, err := os.ReadFile(s["schedule"])
		if err != nil {
			fmt.Fprintf(os.Stderr, "dsfleet: setting schedule: %v\n", err)
			return nil, false
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
			return nil, false
		}
	}
	if len(faults) > 0 {
		return nil, false
	}
	if s["other"] != "" {
		for _, name := range []string{"dscore", "dsagent", "dsproxy"} {
			if _, err := os.Stat(filepath.Join(s["other"], name)); err != nil {
				fmt.Fprintf(os.Stderr, "dsfleet: setting other: %v\n", err)
				return nil, false
			}
		}
	}
	return steps, true
}

// newFleet makes a fleet without any process, and its folder, which may be a
// temporary one. It says on standard error why not, and gives the exit code then.
func newFleet(s setup.Settings, d stand.Deployment) (f *fleet, temporary bool, code int) {
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "dsfleet:", err)
		return nil, false, 1
	}
	f = &fleet{
		d: d, dir: s["dir"], bin: filepath.Dir(self), other: s["other"], port: s.Int("port"), zero: time.Now(),
		procs: map[string]*proc{}, listed: map[string]gen.Listed{}, group: run.NewGroup(context.Background()),
	}
	temporary = f.dir == ""
	if temporary {
		if f.dir, err = os.MkdirTemp("", "dsfleet"); err != nil {
			fmt.Fprintln(os.Stderr, "dsfleet:", err)
			return nil, false, 1
		}
	} else if there, _ := os.ReadDir(f.dir); len(there) > 0 {
		// Why: an earlier run's records and data would be taken for this one's.
		fmt.Fprintf(os.Stderr, "dsfleet: setting dir = %q must be an empty folder, or none yet\n", f.dir)
		return nil, false, 2
	} else if err := os.MkdirAll(f.dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, "dsfleet:", err)
		return nil, false, 1
	}
	f.rec = stand.NewRecord(f.zero, nil)
	return f, temporary, 0
}
