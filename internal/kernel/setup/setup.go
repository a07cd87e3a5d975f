// Package setup reads and validates a program's settings from flags and a settings file,
// as declared in one table, and runs the program until a signal stops it. A program with an invalid
// setting exits before it listens.
package setup

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

// Setting declares a setting of a program.
type Setting struct {
	Name    string
	Default string
	Check   func(string) string // returns "" if the value is valid, otherwise the rule that it violates
	Doc     string
}

// Settings maps the names of settings to validated values.
type Settings map[string]string

// List splits a setting at commas and drops empty elements.
func (s Settings) List(name string) []string {
	var out []string
	for _, p := range strings.Split(s[name], ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}

// Int returns the value of a setting validated by IntRange.
func (s Settings) Int(name string) int {
	n, _ := strconv.Atoi(s[name])
	return n
}

// Duration returns the value of a setting validated by DurationRange.
func (s Settings) Duration(name string) time.Duration {
	d, _ := time.ParseDuration(s[name])
	return d
}

// Address checks for IP:PORT.
func Address(v string) string {
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || perr != nil || n < 1 || n > 65535 {
		return "must be IP:PORT"
	}
	return ""
}

// Addresses checks for one to three comma-separated addresses.
func Addresses(v string) string {
	parts := strings.Split(v, ",")
	if len(parts) > 3 {
		return "must be at most three IP:PORT, separated by commas"
	}
	for _, p := range parts {
		if Address(strings.TrimSpace(p)) != "" {
			return "must be IP:PORT, separated by commas"
		}
	}
	return ""
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Name checks for a name of 1 to 63 letters, digits, '.', '_' or '-'.
func Name(v string) string {
	if !namePattern.MatchString(v) {
		return "must be 1 to 63 letters, digits, '.', '_' or '-'"
	}
	return ""
}

// OptionalName checks for a name or an empty value.
func OptionalName(v string) string {
	if v == "" {
		return ""
	}
	return Name(v)
}

// NonEmpty checks for a value that is not empty.
func NonEmpty(v string) string {
	if v == "" {
		return "must be given"
	}
	return ""
}

// IntRange returns a check for a whole number from lo to hi.
func IntRange(lo, hi int) func(string) string {
	return func(v string) string {
		if n, err := strconv.Atoi(v); err != nil || n < lo || n > hi {
			return fmt.Sprintf("must be a whole number from %d to %d", lo, hi)
		}
		return ""
	}
}

// DurationRange returns a check for a duration from lo to hi.
func DurationRange(lo, hi time.Duration) func(string) string {
	return func(v string) string {
		if d, err := time.ParseDuration(v); err != nil || d < lo || d > hi {
			return fmt.Sprintf("must be a duration from %v to %v", lo, hi)
		}
		return ""
	}
}

// OneOf returns a check for one of the given words.
func OneOf(words ...string) func(string) string {
	return func(v string) string {
		for _, w := range words {
			if v == w {
				return ""
			}
		}
		return "must be one of " + strings.Join(words, ", ")
	}
}

// Usage writes a program's help text: its description and all its settings.
func Usage(w io.Writer, program, what string, rows []Setting) {
	fmt.Fprintf(w, "%s - %s\n\nusage: %s [--config FILE] [settings]\n\nA settings file has a line 'name value' for each setting; flags go before it.\n\nsettings:\n", program, what, program)
	for _, r := range rows {
		def := "must be given"
		if r.Default != "" {
			def = "default " + r.Default
		} else if r.Check == nil || r.Check("") == "" {
			def = "may be left out"
		}
		fmt.Fprintf(w, "  --%-12s %s (%s)\n", r.Name, r.Doc, def)
	}
}

// Read reads and validates the settings from flags and the settings file. If done is true, the program must exit with code.
func Read(program, what string, rows []Setting, args []string, out, errw io.Writer) (s Settings, code int, done bool) {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.String("config", "", "settings file")
	vals := map[string]*string{}
	for _, r := range rows {
		vals[r.Name] = fs.String(r.Name, r.Default, r.Doc)
	}
	var faults []string
	// Collect all faults of the file; the parser would stop at the first error.
	collectAll := func(r io.Reader, set func(name, value string) error) error {
		return ff.PlainParser(r, func(name, value string) error {
			if err := set(name, value); err != nil {
				faults = append(faults, fmt.Sprintf("settings file: %v", err))
			}
			return nil
		})
	}
	args, unknown := splitKnownFlags(fs, args)
	faults = append(faults, unknown...)
	err := ff.Parse(fs, args, ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(collectAll))
	switch {
	case errors.Is(err, flag.ErrHelp):
		Usage(out, program, what, rows)
		return nil, 0, true
	case err != nil:
		faults = append(faults, err.Error())
	case fs.NArg() > 0:
		faults = append(faults, fmt.Sprintf("unexpected argument %q", fs.Arg(0)))
	}
	for _, f := range faults {
		fmt.Fprintf(errw, "%s: %s\n", program, f)
		code, done = 2, true
	}
	s = Settings{}
	for _, r := range rows {
		s[r.Name] = *vals[r.Name]
		if r.Check == nil {
			continue
		}
		// Print all faults, so that an operator need not restart the program for each one.
		if rule := r.Check(s[r.Name]); rule != "" {
			fmt.Fprintf(errw, "%s: setting %s = %q %s\n", program, r.Name, s[r.Name], rule)
			code, done = 2, true
		}
	}
	return s, code, done
}

// splitKnownFlags returns the arguments without unknown flags, and a fault for each unknown flag. The value of an
// unknown flag is dropped too.
func splitKnownFlags(fs *flag.FlagSet, args []string) (good, faults []string) {
	for i := 0; i < len(args); i++ {
		a := args[i]
		name, _, whole := strings.Cut(strings.TrimLeft(a, "-"), "=")
		switch {
		case !strings.HasPrefix(a, "-"), name == "help", name == "h":
			return append(good, args[i:]...), faults
		case fs.Lookup(name) == nil:
			faults = append(faults, fmt.Sprintf("no setting %s", a))
			if !whole && i+1 < len(args) && !strings.HasPrefix(args[i+1], "-") {
				i++
			}
		case whole || i+1 == len(args):
			good = append(good, a)
		default:
			good = append(good, a, args[i+1])
			i++
		}
	}
	return good, faults
}

// RunProgram implements main of a daemon and returns the exit code: it reads the settings, starts the program, waits
// for a signal and stops the program. sick, if not nil, reports whether the data directory has failed.
func RunProgram(program, what string, rows []Setting, start func(Settings) (stop func(context.Context) error, sick func() bool, err error)) int {
	s, code, done := Read(program, what, rows, os.Args[1:], os.Stdout, os.Stderr)
	if done {
		return code
	}
	stop, sick, err := start(s)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return 1
	}
	sig := make(chan os.Signal, 2)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	healthTicker := time.NewTicker(time.Second)
	defer healthTicker.Stop()
	sickFor := 0
	for {
		select {
		case <-sig:
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return shutdown(ctx, program, stop, os.Exit)
		case <-healthTicker.C:
			// A core whose disk has failed can never vote again; it exits so that the fault is noticed and the core replaced.
			if sick != nil && sick() {
				if sickFor++; sickFor >= 10 {
					fmt.Fprintf(os.Stderr, "%s: the data folder failed\n", program)
					return 1
				}
			}
		}
	}
}

// shutdownTimeout is the time limit of a planned stop.
const shutdownTimeout = time.Minute

// shutdown stops a program and returns its exit code. A second signal cancels
// ctx; if stop has not returned after shutdownTimeout, exit(1) ends the process.
func shutdown(ctx context.Context, program string, stop func(context.Context) error, exit func(int)) int {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	// A separate timer, not the end of ctx: every stop ends ctx, which would race with the exit code of a successful one.
	killTimer := time.AfterFunc(shutdownTimeout, func() { exit(1) })
	defer killTimer.Stop()
	if err := stop(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "%s: stopping: %v\n", program, err)
		return 1
	}
	return 0
}
