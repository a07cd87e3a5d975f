// Package runbook implements the operators' runbooks as programs: each checks its
// precondition before it changes anything, prints every step, and skips steps that
// an earlier run has completed.
//
// The operators' client runs them over HTTP; the simulations run them over the
// same interface. A runbook relies only on the status of the cores. It changes
// nothing unless its precondition holds, never starts or stops a
// process itself, and keeps no state between runs.
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

// ErrPrecondition is returned when a precondition does not hold and nothing was changed.
var ErrPrecondition = errors.New("precondition")

// Step is one step of a runbook.
type Step struct {
	Name string
	// Done reports whether the step is complete, and otherwise what is still missing.
	Done func(ctx context.Context, s Status) (bool, string)
	// Do makes the change; if nil, the operator makes it and the runbook waits.
	Do func(ctx context.Context) error
	// Hint is printed to the operator while the step waits; it says what to do where Do is nil.
	Hint string
}

// Procedure is a runbook with the parameters of one case.
type Procedure struct {
	Name  string
	Check func(s Status) []string // what is missing, and what to do about it
	Steps []Step
}

// Control is the operators' interface of the cores, as runbooks use it.
// Errors are transport errors, or refusals with the text that the core returned.
type Control interface {
	// Status returns the status of any core that answers.
	Status(ctx context.Context) (Status, error)
	// StatusOf returns the status of the core with the operator address addr.
	StatusOf(ctx context.Context, addr string) (Status, error)
	// Patch submits a partial configuration.
	Patch(ctx context.Context, body []byte) error
	// ReadBack returns the newest submission as one core reads it; serial is its version.
	ReadBack(ctx context.Context, addr string) (serial, manner string, body []byte, err error)
	// Rescue makes the core at addr the only voter, if its core membership has the version serial.
	Rescue(ctx context.Context, addr string, lost []string, serial uint64) error
}

// Run executes a procedure and prints each step to out. Each step may take up to
// limit. ErrPrecondition means that nothing was changed; after any other error the
// procedure may be run again.
func Run(ctx context.Context, c Control, p Procedure, limit time.Duration, out io.Writer) error {
	s, err := c.Status(ctx)
	if err != nil {
		return errors.Wrapf(ErrPrecondition, "no core answers: %v; give --cores the operator address of a running core", err)
	}
	fmt.Fprintf(out, "runbook %s\n", p.Name)
	if missing := unmetPreconditions(ctx, c, p, s); len(missing) > 0 {
		return errors.Wrap(ErrPrecondition, "nothing was changed\n  "+strings.Join(missing, "\n  "))
	}
	fmt.Fprintln(out, "  precondition holds")
	for i, st := range p.Steps {
		fmt.Fprintf(out, "  %d/%d %s\n", i+1, len(p.Steps), st.Name)
		if err := runStep(ctx, c, st, limit, out); err != nil {
			return errors.Wrapf(err, "step %d (%s); run it again to go on from here", i+1, st.Name)
		}
	}
	fmt.Fprintln(out, "  done")
	return nil
}

const (
	// preconditionTimeout is how long a precondition may fail before a runbook refuses: during a handover
	// between cores a slot briefly has no holder.
	preconditionTimeout = 3 * time.Second
	// pollInterval is the time between two queries of the status.
	pollInterval = 500 * time.Millisecond
)

// unmetPreconditions returns what the precondition lacks after waiting up to preconditionTimeout for it to hold.
func unmetPreconditions(ctx context.Context, c Control, p Procedure, s Status) []string {
	ctx, cancel := context.WithTimeout(ctx, preconditionTimeout)
	defer cancel()
	missing := p.Check(s)
	for len(missing) > 0 && run.Sleep(ctx, pollInterval) {
		if now, err := c.Status(ctx); err == nil {
			missing = p.Check(now)
		}
	}
	return missing
}

// runStep executes one step and waits until it is complete.
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
		// A status query that the limit cut short does not describe the condition waited for, so the last one is reported.
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

// slotCount is the number of slots in the control state.
const slotCount = 16

// isSettled reports whether every slot is held and every edge up to date, and otherwise what is missing.
func isSettled(s Status) (bool, string) {
	switch {
	case s.held() < slotCount:
		return false, fmt.Sprintf("%d of %d slots are held", s.held(), slotCount)
	case len(s.Laggards) > 0:
		return false, "the configuration is not in force at " + strings.Join(s.Laggards, ", ")
	}
	return true, ""
}

// settledStep returns a step that waits until isSettled holds.
func settledStep() Step {
	return Step{Name: "every slot is held and every edge up to date", Done: func(_ context.Context, s Status) (bool, string) { return isSettled(s) }}
}

// claimsMet reports whether all claims are met, and otherwise names the first that is not.
func claimsMet(s Status) (bool, string) {
	for _, k := range slices.Sorted(maps.Keys(s.ClaimsUnmet)) {
		return false, k + ": " + s.ClaimsUnmet[k]
	}
	return true, ""
}

// requireAllSlots is the precondition that every slot is held.
func requireAllSlots(s Status) []string {
	if s.held() < slotCount {
		return []string{"not every slot is held; wait until dsctl status shows all"}
	}
	return nil
}
