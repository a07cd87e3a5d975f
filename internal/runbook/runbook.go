// Package runbook holds the operators' runbooks as programs: each checks its
// precondition before anything changes, shows every step, and finds done what
// an earlier run has done.
//
// The operators' client runs them, over HTTP; the simulations run them over the
// same interface. A runbook knows only what the cores' status says. It never
// changes anything while its precondition does not hold, never starts or stops a
// process itself, and keeps nothing between runs.
package runbook

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
)

// ErrPrecondition is given when nothing was changed because something is missing.
var ErrPrecondition = errors.New("precondition")

// Step is one step of a runbook.
type Step struct {
	Name string
	// Done says whether the step's aim is reached, and what is still missing.
	Done func(ctx context.Context, s Status) (bool, string)
	// Do changes something; nil: somebody else does, and the runbook waits.
	Do func(ctx context.Context) error
	// Hint tells the operator what to do where Do is nil.
	Hint string
}

// Book is a runbook made out for one case.
type Procedure struct {
	Name  string
	Check func(s Status) []string // what is missing, and what to do about it
	Steps []Step
}

// Control is what a runbook works through: the operators' interface of the cores.
// Errors are those of the way there and refusals by the core, with its words.
type Control interface {
	// Status of any core that answers.
	Status(ctx context.Context) (Status, error)
	// StatusOf one core's operator address.
	StatusOf(ctx context.Context, addr string) (Status, error)
	// Patch sends a partial configuration.
	Patch(ctx context.Context, body []byte) error
	// ReadBack gives the newest submission as one core has it; serial is its version.
	ReadBack(ctx context.Context, addr string) (serial, manner string, body []byte, err error)
	// Rescue makes the core at addr the only voter, if its core membership has the version serial.
	Rescue(ctx context.Context, addr string, lost []string, serial uint64) error
}

// Run carries a book out and shows each step on out. Each step may take up to
// limit. ErrPrecondition says that nothing was changed; after any other error it
// may be run again.
func Run(ctx context.Context, c Control, b Procedure, limit time.Duration, out io.Writer) error {
	s, err := c.Status(ctx)
	if err != nil {
		return errors.Wrapf(ErrPrecondition, "no core answers: %v; give --cores the operator address of a running core", err)
	}
	fmt.Fprintf(out, "runbook %s\n", b.Name)
	if missing := unmetPreconditions(ctx, c, b, s); len(missing) > 0 {
		return errors.Wrap(ErrPrecondition, "nothing was changed\n  "+strings.Join(missing, "\n  "))
	}
	fmt.Fprintln(out, "  precondition holds")
	for i, st := range b.Steps {
		fmt.Fprintf(out, "  %d/%d %s\n", i+1, len(b.Steps), st.Name)
		if err := runStep(ctx, c, st, limit, out); err != nil {
			return errors.Wrapf(err, "step %d (%s); run it again to go on from here", i+1, st.Name)
		}
	}
	fmt.Fprintln(out, "  done")
	return nil
}

const (
	// checkFor is how long a precondition may be missed before a runbook refuses: a slot that goes from one core to
	// another is held by nobody for a moment.
	preconditionTimeout = 3 * time.Second
	// lookEvery is the time between two looks at the status.
	pollInterval = 500 * time.Millisecond
)

// stillMissing is what a book's precondition lacks, by a status and by those of the next few seconds.
func unmetPreconditions(ctx context.Context, c Control, b Procedure, s Status) []string {
	ctx, cancel := context.WithTimeout(ctx, preconditionTimeout)
	defer cancel()
	missing := b.Check(s)
	for len(missing) > 0 && run.Sleep(ctx, pollInterval) {
		if now, err := c.Status(ctx); err == nil {
			missing = b.Check(now)
		}
	}
	return missing
}

// step does one step and waits until its aim is reached.
func runStep(ctx context.Context, c Control, st Step, limit time.Duration, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	did, said := false, ""
	for {
		s, err := c.Status(ctx)
		what := ""
		if err == nil {
			var ok bool
			if ok, what = st.Done(ctx, s); ok {
				if !did && said == "" {
					fmt.Fprintln(out, "      already so")
				}
				return nil
			}
		} else {
			what = "no core answers"
		}
		// Why: a look that the limit cut short says nothing of what was waited for.
		if ctx.Err() != nil && said != "" {
			return errors.Errorf("gave up: %s", said)
		}
		if st.Do != nil && !did && err == nil {
			if err := st.Do(ctx); err != nil {
				return err
			}
			did = true
			continue
		}
		if said != what {
			said = what
			fmt.Fprintf(out, "      waits: %s\n", what)
			if st.Hint != "" && !did {
				fmt.Fprintf(out, "      %s\n", st.Hint)
				did = true
			}
		}
		if !run.Sleep(ctx, pollInterval) {
			return errors.Errorf("gave up: %s", what)
		}
	}
}

// slots is how many there are in the control state.
const slotCount = 16

// quiet says whether every slot is held and every edge up to date, and what is missing.
func isSettled(s Status) (bool, string) {
	switch {
	case s.held() < slotCount:
		return false, fmt.Sprintf("%d of %d slots are held", s.held(), slotCount)
	case len(s.Laggards) > 0:
		return false, "the configuration is not in force at " + strings.Join(s.Laggards, ", ")
	}
	return true, ""
}

// settled is the step that waits until the system is quiet.
func settledStep() Step {
	return Step{Name: "every slot is held and every edge up to date", Done: func(_ context.Context, s Status) (bool, string) { return isSettled(s) }}
}

// claimsMet says whether all claims are met, and names the first that is not.
func claimsMet(s Status) (bool, string) {
	for _, k := range slices.Sorted(maps.Keys(s.ClaimsUnmet)) {
		return false, k + ": " + s.ClaimsUnmet[k]
	}
	return true, ""
}

// slotsMissing is the precondition that every slot is held.
func requireAllSlots(s Status) []string {
	if s.held() < slotCount {
		return []string{"not every slot is held; wait until dsctl status shows all"}
	}
	return nil
}
