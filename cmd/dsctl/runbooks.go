package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"k8s.io/apimachinery/pkg/labels"

	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/runbook"
)

// bookMaker makes a runbook out for the case that the arguments name.
type procedureBuilder func(ctx context.Context, h runbook.HTTP, args []string) (runbook.Procedure, error)

// runbooks are the executable pages for operators.
func (c *client) runbookGroup() *ffcli.Command {
	return &ffcli.Command{
		Name: "runbook", ShortUsage: "dsctl [settings] runbook COMMAND", ShortHelp: "carry out a runbook: check, show each step, safe to run again",
		FlagSet: c.flags("runbook"), Exec: groupExec,
		Subcommands: []*ffcli.Command{
			c.runbookCommand("replace-core", "NAME", "give a lost core machine's place to an empty one", fromOneName("NAME of a core machine", func(_ runbook.HTTP, name string) runbook.Procedure {
				return runbook.ReplaceCore(name)
			}), nil),
			c.runbookCommand("drain-zone", "ZONE", "take a zone's replicas out of use", fromOneName("ZONE", func(h runbook.HTTP, zone string) runbook.Procedure {
				return runbook.DrainZone(h, zone)
			}), nil),
			c.runbookCommand("undrain-zone", "ZONE", "bring a zone back into use", fromOneName("ZONE", func(h runbook.HTTP, zone string) runbook.Procedure {
				return runbook.UndrainZone(h, zone)
			}), nil),
			c.runbookCommand("roll", "BUILD", "follow a roll-out of a build, one process at a time", buildRoll, nil),
			c.takeOverCommand(),
			c.rescueCommand(),
			c.dayEndCommand(),
		},
	}
}

// book makes the command of one runbook; more adds flags of its own.
func (c *client) runbookCommand(name, use, help string, build procedureBuilder, more func(*flag.FlagSet)) *ffcli.Command {
	var limit time.Duration
	fs := c.flags("runbook " + name)
	fs.DurationVar(&limit, "wait", 10*time.Minute, "how long one step may take")
	if more != nil {
		more(fs)
	}
	return newCommand(name, "runbook "+name+" "+use, help, fs, func(ctx context.Context, args []string) error {
		if rule := setup.Addresses(c.cores); rule != "" {
			return usageErrorf("setting cores = %q %s", c.cores, rule)
		}
		h := runbook.HTTP{Client: &http.Client{Timeout: c.timeout}, Cores: (setup.Settings{"c": c.cores}).List("c")}
		b, err := build(ctx, h, args)
		if err != nil {
			return err
		}
		return runbook.Run(ctx, h, b, limit, c.out)
	})
}

// one refuses anything but one plain word.
func checkOneName(args []string, what string) error {
	if len(args) != 1 || setup.Name(args[0]) != "" {
		return usageErrorf("want one %s", what)
	}
	return nil
}

// ofOne makes a runbook out for one word.
func fromOneName(what string, build func(h runbook.HTTP, word string) runbook.Procedure) procedureBuilder {
	return func(_ context.Context, h runbook.HTTP, args []string) (runbook.Procedure, error) {
		if err := checkOneName(args, what); err != nil {
			return runbook.Procedure{}, err
		}
		return build(h, args[0]), nil
	}
}

// roll makes the runbook out for the processes that run now.
func buildRoll(ctx context.Context, h runbook.HTTP, args []string) (runbook.Procedure, error) {
	if err := checkOneName(args, "BUILD"); err != nil {
		return runbook.Procedure{}, err
	}
	s, err := h.Status(ctx)
	return runbook.Roll(s, args[0]), err
}

func (c *client) takeOverCommand() *ffcli.Command {
	var selector string
	var count int
	build := func(_ context.Context, _ runbook.HTTP, args []string) (runbook.Procedure, error) {
		sel, err := labels.Parse(selector)
		if err != nil || selector == "" || count < 1 || len(args) > 0 {
			return runbook.Procedure{}, usageErrorf("want --selector with a label selector and --count of at least 1")
		}
		return runbook.TakeOver(func(l map[string]string) bool { return sel.Matches(labels.Set(l)) }, selector, count), nil
	}
	return c.runbookCommand("take-over", "--selector S --count N", "follow labelled replicas until they are in use", build, func(fs *flag.FlagSet) {
		fs.StringVar(&selector, "selector", "", "label selector of the replicas")
		fs.IntVar(&count, "count", 1, "how many there should be")
	})
}

func (c *client) rescueCommand() *ffcli.Command {
	var lost, survivor string
	build := func(_ context.Context, h runbook.HTTP, args []string) (runbook.Procedure, error) {
		if setup.Address(survivor) != "" || lost == "" || len(args) > 0 {
			return runbook.Procedure{}, usageErrorf("want --survivor with the operator address of the surviving core, and --lost with the other members' names")
		}
		return runbook.Rescue(h, survivor, (setup.Settings{"l": lost}).List("l")), nil
	}
	return c.runbookCommand("rescue", "--survivor IP:PORT --lost NAMES", "go on with one core after the others' disks are lost for good", build, func(fs *flag.FlagSet) {
		fs.StringVar(&survivor, "survivor", "", "operator IP:PORT of the surviving core")
		fs.StringVar(&lost, "lost", "", "names of the other members, separated by commas")
	})
}

func (c *client) dayEndCommand() *ffcli.Command {
	var sent string
	build := func(_ context.Context, h runbook.HTTP, _ []string) (runbook.Procedure, error) {
		var b []byte
		if sent != "" {
			var err error
			if b, err = os.ReadFile(sent); err != nil {
				return runbook.Procedure{}, usageErrorf("%v", err)
			}
		}
		return runbook.DayEnd(h, b), nil
	}
	return c.runbookCommand("day-end", "[--sent FILE]", "read the newest acknowledged configuration back from every core", build, func(fs *flag.FlagSet) {
		fs.StringVar(&sent, "sent", "", "file that was sent last, to compare with")
	})
}
