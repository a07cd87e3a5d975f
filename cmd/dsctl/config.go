package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"drumstall.example/internal/conf"
)

// config holds the commands about the configuration.
func (c *client) configGroup() *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "dsctl config COMMAND", ShortHelp: "put, patch, get, diff or remove configuration",
		FlagSet: c.flags("config"), Exec: groupExec,
		Subcommands: []*ffcli.Command{
			c.submitCommand("put", http.MethodPut, "replace the whole configuration; a .yaml file holds Kubernetes-style objects"),
			c.submitCommand("patch", http.MethodPatch, "replace and remove the objects that FILE names"),
			c.removeCommand(),
			c.getCommand(),
			newCommand("diff", "config diff FILE", "tell what putting FILE would change", c.flags("config diff"), c.diffFile),
			newCommand("settings", "config settings", "list every setting with its type, default and rule", c.flags("config settings"), func(context.Context, []string) error {
				_, err := io.WriteString(c.out, conf.Help())
				return err
			}),
		},
	}
}

// matching makes the flag set of a command that changes the configuration.
func (c *client) ifMatchFlags(name string, ifMatch *string) *flag.FlagSet {
	fs := c.flags(name)
	fs.StringVar(ifMatch, "if-match", "", "only if the serial now is this one")
	return fs
}

// sender makes a command that sends a file.
func (c *client) submitCommand(name, method, help string) *ffcli.Command {
	var ifMatch string
	fs := c.ifMatchFlags("config "+name, &ifMatch)
	return newCommand(name, "config "+name+" [--if-match N] FILE", help, fs, func(ctx context.Context, args []string) error {
		b, err := readFile(args)
		if err != nil {
			return err
		}
		c.contentType = contentTypeOf(args)
		return c.submit(ctx, method, b, ifMatch)
	})
}

// remover makes the command that removes objects.
func (c *client) removeCommand() *ffcli.Command {
	var ifMatch string
	fs := c.ifMatchFlags("config rm", &ifMatch)
	return newCommand("rm", "config rm [--if-match N] KIND/NAME...", "remove objects", fs, func(ctx context.Context, args []string) error {
		rm := map[string][]string{}
		for _, at := range args {
			kind, name, ok := strings.Cut(at, "/")
			if !ok {
				return usageErrorf("%q: want KIND/NAME", at)
			}
			rm[kind] = append(rm[kind], name)
		}
		if len(rm) == 0 {
			return usageErrorf("want KIND/NAME")
		}
		b, err := json.Marshal(map[string]any{"remove": rm})
		if err != nil {
			return err
		}
		return c.submit(ctx, http.MethodPatch, b, ifMatch)
	})
}

// getter makes the command that reads the configuration back.
func (c *client) getCommand() *ffcli.Command {
	var what string
	fs := c.flags("config get")
	fs.StringVar(&what, "what", "submission", "submission: the newest exactly as sent; effective: what is in force; KIND/NAME: one object as sent")
	return newCommand("get", "config get [--what WHAT]", "read back, byte for byte", fs, func(ctx context.Context, _ []string) error {
		res, b, err := c.call(ctx, http.MethodGet, "/v1/config?what="+url.QueryEscape(what), nil, nil)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.errOut, "serial %s, %s\n", strings.Trim(res.Header.Get("ETag"), `"`), res.Header.Get("Drumstall-Manner"))
		_, err = c.out.Write(b)
		return err
	})
}

// diffFile compares the file that args name.
func (c *client) diffFile(ctx context.Context, args []string) error {
	b, err := readFile(args)
	if err != nil {
		return err
	}
	c.contentType = contentTypeOf(args)
	return c.diff(ctx, b)
}

// read reads the one file that args name.
func readFile(args []string) ([]byte, error) {
	if len(args) != 1 {
		return nil, usageErrorf("want one FILE, or - for standard input")
	}
	if args[0] == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(args[0])
}

// kindOf tells Kubernetes-style objects from our own JSON by the file's name.
func contentTypeOf(args []string) string {
	if len(args) == 1 && (strings.HasSuffix(args[0], ".yaml") || strings.HasSuffix(args[0], ".yml")) {
		return "application/yaml"
	}
	return "application/json"
}

// send submits a configuration and prints its version; ifMatch is the one that
// must be in force, or empty.
func (c *client) submit(ctx context.Context, method string, body []byte, ifMatch string) error {
	h := map[string]string{"Content-Type": c.contentType}
	if ifMatch != "" {
		h["If-Match"] = ifMatch
	}
	res, _, err := c.call(ctx, method, "/v1/config", body, h)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "serial %s\n", strings.Trim(res.Header.Get("ETag"), `"`))
	return nil
}

// diff tells which objects a file would add, change or remove.
func (c *client) diff(ctx context.Context, file []byte) error {
	k, err := conf.ReadWhole(c.contentType, file)
	if err != nil {
		var f conf.ValidationErrors
		if errors.As(err, &f) {
			return exitError{1, errors.New(strings.Join(f, "\n"))}
		}
		return err
	}
	_, b, err := c.call(ctx, http.MethodGet, "/v1/config?what=effective", nil, nil)
	if err != nil && !strings.Contains(err.Error(), "no configuration was ever kept") {
		return err
	}
	there := map[string][]byte{}
	var doc map[string]map[string]json.RawMessage
	if err == nil && json.Unmarshal(b, &doc) == nil {
		for kind, objects := range doc {
			for name, raw := range objects {
				there[kind+"/"+name] = compactJSON(raw)
			}
		}
	}
	for _, l := range diffLines(there, k.Objects) {
		fmt.Fprintln(c.out, l)
	}
	return nil
}

// changes lists what is there in other words, or only on one side, in the order
// of the names.
func diffLines(there, wanted map[string][]byte) []string {
	var lines []string
	for at, raw := range wanted {
		old, found := there[at]
		switch {
		case !found:
			lines = append(lines, "+ "+at+" "+string(compactJSON(raw)))
		case !bytes.Equal(old, compactJSON(raw)):
			lines = append(lines, "- "+at+" "+string(old), "+ "+at+" "+string(compactJSON(raw)))
		}
	}
	for at, raw := range there {
		if _, found := wanted[at]; !found {
			lines = append(lines, "- "+at+" "+string(raw))
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i][2:] < lines[j][2:] })
	return lines
}
