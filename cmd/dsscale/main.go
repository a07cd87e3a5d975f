// dsscale runs a fleet of the size to design for on this machine: real cores, agents and proxies beside hollow
// nodes and replicas of which many share a process, all on loopback addresses.
//
// At each size it prints what each role holds, sends and spends against the limits, and can cause the loss of a
// zone and the cut of a region; after several sizes it lays lines through the figures and draws them. The
// processes are its own program, started with the argument 'child'.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/sim/hollow"
)

const (
	program = "dsscale"
	what    = "a large fleet of hollow nodes and replicas beside real processes, measured by role"
	// childWord is the argument that makes a process of the fleet of this program.
	childWord = "child"
)

// Exit codes.
const (
	exitGood   = 0
	exitFailed = 1
	exitUsage  = 2
)

func anything(string) string { return "" }

var rows = []setup.Setting{
	{Name: "sizes", Default: "41x60", Check: checkSizes, Doc: "NODESxREPLICAS, several separated by commas; at most 410x600"},
	{Name: "cores", Default: "7", Check: setup.IntRange(1, maxCores), Doc: "cores, each a process"},
	{Name: "zones", Default: "7", Check: setup.IntRange(1, maxZones), Doc: "zones that machines are spread over"},
	{Name: "regions", Default: "3", Check: setup.IntRange(1, maxZones), Doc: "regions that zones are spread over"},
	{Name: "real", Default: "2", Check: setup.IntRange(0, 20), Doc: "nodes whose agent and proxy are processes"},
	{Name: "models", Default: "1200", Check: setup.IntRange(1, 5000), Doc: "models of the catalogue"},
	{Name: "adapters", Default: "40000", Check: setup.IntRange(0, 100_000), Doc: "adapters of all models together"},
	{Name: "routes", Default: "200", Check: setup.IntRange(1, 5000), Doc: "routes of the configuration"},
	{Name: "warm", Default: "20s", Check: setup.DurationRange(0, 5*time.Minute), Doc: "time between serving and measuring"},
	{Name: "for", Default: "20s", Check: setup.DurationRange(time.Second, 5*time.Minute), Doc: "how long is measured"},
	{Name: "slower", Default: "1", Check: setup.IntRange(1, maxSlower), Doc: "times slower: reports to cores, asking replicas, list, predictions"},
	{Name: "events", Check: checkEvents, Doc: "after measuring, separated by commas: cut (a region's), zone (loss)"},
	{Name: "apart", Default: "10s", Check: setup.DurationRange(time.Second, 5*time.Minute), Doc: "how long a region is cut off"},
	{Name: "plots", Check: anything, Doc: "folder that takes a plot of each slope"},
	{Name: "dir", Check: anything, Doc: "folder for data and logs (default: a temporary one, removed after a good run)"},
	{Name: "block", Default: "100", Check: setup.IntRange(2, 200), Doc: "second number of the first zone's addresses, 127.BLOCK.x.y"},
	{Name: "limit", Default: "10m", Check: setup.DurationRange(10*time.Second, 2*time.Hour), Doc: "most time for all sizes together"},
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == childWord {
		os.Exit(hollow.Serve(os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(scaleMain(os.Args[1:], os.Stdout, os.Stderr))
}

// scaleMain is main with an exit code: 0 all was measured, 1 it could not be, 2 wrong usage
// or a size that this machine cannot carry, of which nothing was started.
func scaleMain(args []string, out, errs io.Writer) int {
	s, code, done := setup.Read(program, what, rows, args, out, errs)
	if done {
		return code
	}
	plan := newPlan(s)
	means, err := machineMeans()
	if err == nil {
		err = plan.fits(means)
	}
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", program, err)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, end := context.WithTimeout(ctx, s.Duration("limit"))
	defer end()
	if err := runAll(ctx, plan, means, out); err != nil {
		fmt.Fprintf(errs, "%s: %v\n", program, err)
		return exitFailed
	}
	return exitGood
}

// runAll runs the sizes one after the other.
func runAll(ctx context.Context, p plan, m means, out io.Writer) error {
	var all []figures
	for i, size := range p.sizes {
		got, err := runSize(ctx, p, size, m, out)
		if err != nil {
			return errors.Wrapf(err, "size %s", size)
		}
		all = append(all, got)
		// Why: the system lets go of the last size's connections.
		if i < len(p.sizes)-1 && !run.Sleep(ctx, time.Second) {
			return ctx.Err()
		}
	}
	if len(all) < 2 {
		return nil
	}
	return slopes(all, p.plots, out)
}

// runSize runs one size, from start to end.
func runSize(ctx context.Context, p plan, z size, m means, out io.Writer) (figures, error) {
	f, err := newFleet(p, z, out)
	if err != nil {
		return figures{}, err
	}
	defer f.end()
	got, err := f.measure(ctx, m)
	if err != nil {
		return figures{}, errors.Wrapf(err, "logs in %s", f.dir)
	}
	for _, event := range p.events {
		if err := f.cause(ctx, event); err != nil {
			return figures{}, errors.Wrapf(err, "%s; logs in %s", event, f.dir)
		}
	}
	f.good = true
	return got, nil
}
