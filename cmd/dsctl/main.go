// dsctl is the operator's client.
//
// It sends configurations to the cores, reads them back, shows what the cores
// know and carries out runbooks, all over the cores' operator addresses. It keeps
// nothing, and never tries a request elsewhere that may have been taken.
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

// unknown is what a command that only holds others does: help, and the word it does not know.
func groupExec(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usageErrorf("no command %q; --help lists them", args[0])
	}
	return flag.ErrHelp
}

// flags makes the empty flag set of a command.
func (c *client) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("dsctl "+name, flag.ContinueOnError)
	fs.SetOutput(c.errOut)
	return fs
}

// leaf makes a command that does something.
func newCommand(name, use, help string, fs *flag.FlagSet, f func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{Name: name, ShortUsage: "dsctl [settings] " + use, ShortHelp: help, FlagSet: fs, Exec: f}
}

// shower makes a command that shows what the cores answer at a path.
func (c *client) showCommand(name, help, path string) *ffcli.Command {
	return newCommand(name, name, help, c.flags(name), func(ctx context.Context, _ []string) error { return c.show(ctx, path) })
}

// explain is the command that shows placement decisions.
func (c *client) explainCommand() *ffcli.Command {
	var model string
	fs := c.flags("explain")
	fs.StringVar(&model, "model", "", "only decisions about this model or MODEL/ADAPTER")
	return newCommand("explain", "explain [--model M]", "placement decisions, verdict by verdict", fs, func(ctx context.Context, _ []string) error {
		return c.show(ctx, "/v1/explain?model="+url.QueryEscape(model))
	})
}

// show prints what the cores answer at a path, as indented JSON where it is JSON.
func (c *client) show(ctx context.Context, path string) error {
	_, b, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	_, err = c.out.Write(append(indentJSON(b), '\n'))
	return err
}

// top is the whole tree of commands.
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

// run carries out one command line and gives the exit code.
func run(ctx context.Context, args []string, out, errw io.Writer) int {
	c := &client{out: out, errOut: errw, contentType: "application/json"}
	err := c.rootCommand().ParseAndRun(ctx, args)
	var cd exitError
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
	case errors.As(err, &cd):
		fmt.Fprintf(errw, "dsctl: %v\n", cd.err)
		return cd.code
	case strings.Contains(err.Error(), "error parsing commandline"):
		fmt.Fprintf(errw, "dsctl: %v\n", err)
		return 2
	}
	fmt.Fprintf(errw, "dsctl: %v\n", err)
	return 1
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
