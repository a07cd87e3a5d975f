// dsctl is the operators' command line client.
//
// It submits configurations to the cores, reads them back, shows the status and
// placement decisions of the cores, and runs runbooks, all over the operator
// addresses of the cores. It stores nothing. It doesn't send a command's change to
// another core if the first one may already have executed it.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// groupExec runs a command group without a known subcommand: it asks for help, or rejects the unknown subcommand.
func groupExec(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usageErrorf("no command %q; --help lists them", args[0])
	}
	return flag.ErrHelp
}

// flags returns an empty flag set for a command.
func (c *client) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("dsctl "+name, flag.ContinueOnError)
	fs.SetOutput(c.errOut)
	return fs
}

// newCommand returns a command without subcommands that runs f.
func newCommand(name, use, help string, fs *flag.FlagSet, f func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{Name: name, ShortUsage: "dsctl [settings] " + use, ShortHelp: help, FlagSet: fs, Exec: f}
}

// showCommand returns a command that prints the response of the cores to a GET of path.
func (c *client) showCommand(name, help, path string) *ffcli.Command {
	return newCommand(name, name, help, c.flags(name), func(ctx context.Context, _ []string) error { return c.show(ctx, path) })
}

// explainCommand returns the command that prints placement decisions.
func (c *client) explainCommand() *ffcli.Command {
	var model string
	fs := c.flags("explain")
	fs.StringVar(&model, "model", "", "only decisions about this model or MODEL/ADAPTER")
	return newCommand("explain", "explain [--model M]", "placement decisions, verdict by verdict", fs, func(ctx context.Context, _ []string) error {
		return c.show(ctx, "/v1/explain?model="+url.QueryEscape(model))
	})
}

// show prints the response of the cores to a GET of path, indented if it is JSON.
func (c *client) show(ctx context.Context, path string) error {
	_, b, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	_, err = c.out.Write(append(indentJSON(b), '\n'))
	return err
}

// rootCommand returns the root command with all its subcommands.
func (c *client) rootCommand() *ffcli.Command {
	root := flag.NewFlagSet("dsctl", flag.ContinueOnError)
	root.SetOutput(c.errOut)
	root.StringVar(&c.cores, "cores", os.Getenv("DSCTL_CORES"), "up to three IP:PORT of cores' operator addresses, tried in turn (or DSCTL_CORES)")
	root.DurationVar(&c.timeout, "timeout", 10*time.Second, "how long to wait for an answer")
	return &ffcli.Command{
		Name: "dsctl", ShortUsage: "dsctl [settings] COMMAND", FlagSet: root, Exec: groupExec,
		LongHelp: "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown, 4 the serial is not the current one.",
		Subcommands: []*ffcli.Command{
			c.configGroup(),
			c.showCommand("status", "members, slots, replicas, configuration in force and laggards", "/v1/status"),
			c.explainCommand(),
			c.runbookGroup(),
			c.showCommand("logs", "the log lines a core keeps in memory", "/v1/logs"),
		},
	}
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	c := &client{out: out, errOut: errOut, contentType: "application/json"}
	err := c.rootCommand().ParseAndRun(ctx, args)
	var exitErr exitError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		for _, a := range args {
			if a == "-h" || a == "--help" || a == "-help" {
				return 0
			}
		}
		return 2
	case errors.As(err, &exitErr):
		fmt.Fprintf(errOut, "dsctl: %v\n", exitErr.err)
		return exitErr.code
	case strings.Contains(err.Error(), "error parsing commandline"):
		fmt.Fprintf(errOut, "dsctl: %v\n", err)
		return 2
	}
	fmt.Fprintf(errOut, "dsctl: %v\n", err)
	return 1
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
