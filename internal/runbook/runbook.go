// Package runbook holds the operators' runbooks as programs: each checks its
// precondition before anything changes, shows every step, and finds done what
// an earlier run has done.
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
type Book struct {
	Name  string
	Check func(s Status) []string // what is missing, and what to do about it
	Steps []Step
}

// Control is what a runbook works through: the operators' face of the cores.
type Control interface {
	// Status of any core that answers.
	Status(ctx context.Context) (Status, error)
	// StatusOf one core's operator address.
	StatusOf(ctx context.Context, addr string) (Status, error)
	Patch(ctx context.Context, body []byte) error
	ReadBack(ctx context.Context, addr string) (serial, manner string, body []byte, err error)
	Rescue(ctx context.Context, addr string, lost []string, serial uint64) error
}

// Status is the part of a core's status that runbooks read.
type Status struct {
	Core    string `json:"core"`
	Phase   string `json:"phase"`
	CoreSet struct {
		Serial uint64
		Cores  []struct{ Name, Disk, Addr string }
	} `json:"coreSet"`
	Slots    map[string]map[string]uint64 `json:"slots"`
	Members  []Member                     `json:"members"`
	Conf     uint64                       `json:"conf"`
	Laggards []string                     `json:"laggards"`
	Edges    map[string]struct {
		Conf    uint64 `json:"conf"`
		Lags    bool   `json:"lags"`
		HeardMs int64  `json:"heardMs"`
		Serving bool   `json:"serving"`
	} `json:"edges"`
	Replicas []struct {
		Listed struct {
			ID, Addr, Zone string
			Model, Leaving bool
			Labels         map[string]string
		}
		Controller string
		Items      map[string]string
		Dark       bool
	} `json:"replicas"`
	ClaimsUnmet map[string]string `json:"claimsUnmet"`
	Inflight    map[string]int    `json:"inflight"`
}

// Member is one node of the system.
type Member struct {
	Name, Role, Zone, Addr, State, Phase, Operator, Build string
}

// there says whether a node is alive; a core must have answered while the
// status was made. Why: one that just died is thought to be alive for some seconds more.
func (s Status) there(m Member) bool {
	_, answered := s.Slots[m.Name]
	return m.State == "alive" && (m.Role != "core" || answered)
}

// Member finds a node by name.
func (s Status) Member(name string) (Member, bool) {
	for _, m := range s.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

func (s Status) inSet(name string) bool {
	for _, c := range s.CoreSet.Cores {
		if c.Name == name {
			return true
		}
	}
	return false
}

// held counts the slots that somebody holds.
func (s Status) held() int {
	n := 0
	for _, h := range s.Slots {
		n += len(h)
	}
	return n
}

const slots = 16

// healthyCores lists the live voters.
func (s Status) healthyCores() []string {
	var out []string
	for _, m := range s.Members {
		if m.Role == "core" && m.Phase == "voter" && s.inSet(m.Name) && s.there(m) {
			out = append(out, m.Name)
		}
	}
	return out
}

// Run carries a book out. Each step may take up to limit.
func Run(ctx context.Context, c Control, b Book, limit time.Duration, out io.Writer) error {
	s, err := c.Status(ctx)
	if err != nil {
		return errors.Wrapf(ErrPrecondition, "no core answers: %v; give --cores the operator address of a running core", err)
	}
	fmt.Fprintf(out, "runbook %s\n", b.Name)
	if missing := b.Check(s); len(missing) > 0 {
		return errors.Wrap(ErrPrecondition, "nothing was changed\n  "+strings.Join(missing, "\n  "))
	}
	fmt.Fprintln(out, "  precondition holds")
	for i, st := range b.Steps {
		fmt.Fprintf(out, "  %d/%d %s\n", i+1, len(b.Steps), st.Name)
		if err := step(ctx, c, st, limit, out); err != nil {
			return errors.Wrapf(err, "step %d (%s); run it again to go on from here", i+1, st.Name)
		}
	}
	fmt.Fprintln(out, "  done")
	return nil
}

func step(ctx context.Context, c Control, st Step, limit time.Duration, out io.Writer) error {
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
		if !run.Wait(ctx, 500*time.Millisecond) {
			return errors.Errorf("gave up: %s", what)
		}
	}
}

func quiet(s Status) (bool, string) {
	switch {
	case s.held() < slots:
		return false, fmt.Sprintf("%d of %d slots are held", s.held(), slots)
	case len(s.Laggards) > 0:
		return false, "the configuration is not in force at " + strings.Join(s.Laggards, ", ")
	}
	return true, ""
}

// ReplaceCore gives the place of a lost core machine to an empty one.
func ReplaceCore(name string) Book {
	return Book{Name: "replace core machine " + name,
		Check: func(s Status) (missing []string) {
			if !s.inSet(name) {
				missing = append(missing, name+" is not a member of the core set; look at coreSet in dsctl status")
			}
			rest := 0
			for _, n := range s.healthyCores() {
				if n != name {
					rest++
				}
			}
			if need := len(s.CoreSet.Cores)/2 + 1; rest < need {
				missing = append(missing, fmt.Sprintf("without %s only %d voters are alive and %d are needed; bring another back first, or see the runbook rescue", name, rest, need))
			}
			return missing
		},
		Steps: []Step{
			{Name: "an empty machine runs in its place", Hint: "stop the old process if it runs; start dscore with --name " + name + " and an empty --folder, at any address",
				Done: func(_ context.Context, s Status) (bool, string) {
					m, found := s.Member(name)
					if !found || !s.there(m) {
						return false, name + " is not there"
					}
					return true, ""
				}},
			{Name: "it is filled and votes", Done: func(_ context.Context, s Status) (bool, string) {
				m, _ := s.Member(name)
				return m.Phase == "voter" && s.inSet(name) && s.there(m), name + " is " + m.Phase
			}},
			{Name: "every slot is held and every edge up to date", Done: func(_ context.Context, s Status) (bool, string) { return quiet(s) }},
		}}
}

// DrainZone takes a zone's replicas out of use, so that its machines may be stopped.
func DrainZone(c Control, zone string) Book {
	inZone := func(s Status) (ids []string) {
		for _, r := range s.Replicas {
			if r.Listed.Zone == zone {
				ids = append(ids, r.Listed.ID)
			}
		}
		return ids
	}
	return Book{Name: "drain zone " + zone,
		Check: func(s Status) (missing []string) {
			rest, cores := 0, 0
			for _, r := range s.Replicas {
				if r.Listed.Zone != zone && !r.Listed.Leaving && !r.Dark && r.Listed.Model {
					rest++
				}
			}
			if rest == 0 {
				missing = append(missing, "no model replica outside "+zone+" is in use; take some over first")
			}
			for _, m := range s.Members {
				if m.Role == "core" && m.Zone != zone && m.Phase == "voter" && s.there(m) {
					cores++
				}
			}
			if need := len(s.CoreSet.Cores)/2 + 1; cores < need {
				missing = append(missing, fmt.Sprintf("only %d voters are alive outside %s and %d are needed; bring the others back first", cores, zone, need))
			}
			return missing
		},
		Steps: []Step{
			{Name: "the drain is in force", Do: func(ctx context.Context) error {
				return c.Patch(ctx, []byte(fmt.Sprintf(`{"replace":{"drains":{"zone-%s":{"selector":"zone=%s"}}}}`, zone, zone)))
			}, Done: func(_ context.Context, s Status) (bool, string) {
				for _, r := range s.Replicas {
					if r.Listed.Zone == zone && !r.Listed.Leaving {
						return false, r.Listed.ID + " is still in use"
					}
				}
				return quiet(s)
			}},
			{Name: "no request is on its replicas", Done: func(_ context.Context, s Status) (bool, string) {
				for _, id := range inZone(s) {
					if n := s.Inflight[id]; n > 0 {
						return false, fmt.Sprintf("%d requests on %s", n, id)
					}
				}
				return true, ""
			}},
			{Name: "claims are met elsewhere", Done: func(_ context.Context, s Status) (bool, string) {
				for _, k := range slices.Sorted(maps.Keys(s.ClaimsUnmet)) {
					return false, k + ": " + s.ClaimsUnmet[k]
				}
				return true, ""
			}},
		}}
}

// UndrainZone brings a zone back into use.
func UndrainZone(c Control, zone string) Book {
	return Book{Name: "bring back zone " + zone,
		Check: func(s Status) (missing []string) {
			if s.held() < slots {
				missing = append(missing, "not every slot is held; wait until dsctl status shows all")
			}
			return missing
		},
		Steps: []Step{{Name: "the drain is lifted", Do: func(ctx context.Context) error {
			return c.Patch(ctx, []byte(fmt.Sprintf(`{"remove":{"drains":["zone-%s"]}}`, zone)))
		}, Done: func(_ context.Context, s Status) (bool, string) {
			for _, r := range s.Replicas {
				if r.Listed.Zone == zone && r.Listed.Leaving {
					return false, r.Listed.ID + " is not in use yet"
				}
			}
			return quiet(s)
		}}}}
}

// Roll waits while every process comes to run a build, cores first and one at a time.
func Roll(s Status, build string) Book {
	b := Book{Name: "roll build " + build, Check: func(s Status) (missing []string) {
		if n := len(s.healthyCores()); n < len(s.CoreSet.Cores) {
			missing = append(missing, fmt.Sprintf("%d of %d cores are alive and vote; bring all back before one is stopped on purpose", n, len(s.CoreSet.Cores)))
		}
		if ok, why := quiet(s); !ok {
			missing = append(missing, why+"; wait until it is so")
		}
		return missing
	}}
	var names []string
	for _, role := range []string{"core", "agent"} {
		for _, m := range s.Members {
			if m.Role == role && m.State != "dead" && m.State != "left" {
				names = append(names, m.Name)
			}
		}
	}
	for _, name := range names {
		b.Steps = append(b.Steps, Step{Name: name + " runs it", Hint: "stop " + name + " (SIGTERM) and start it with the new build; on an edge the proxy too",
			Done: func(_ context.Context, s Status) (bool, string) {
				m, found := s.Member(name)
				switch {
				case !found || !s.there(m):
					return false, name + " is not there"
				case m.Build != build:
					return false, name + " runs build " + m.Build
				case m.Role == "core" && m.Phase != "voter":
					return false, name + " is " + m.Phase
				}
				if e, edge := s.Edges[name]; edge && !e.Serving {
					return false, name + " does not serve yet"
				}
				return quiet(s)
			}})
	}
	return b
}

// TakeOver follows replicas that have been labelled until all are in use.
func TakeOver(matches func(labels map[string]string) bool, selector string, count int) Book {
	return Book{Name: fmt.Sprintf("take over %d replicas with %s", count, selector),
		Check: func(s Status) (missing []string) {
			if s.Conf == 0 {
				missing = append(missing, "there is no configuration; dsctl config put FILE")
			}
			if s.held() < slots {
				missing = append(missing, "not every slot is held; wait until dsctl status shows all")
			}
			return missing
		},
		Steps: []Step{
			{Name: "they are listed and controlled", Hint: "label the replicas on the platform so that the selector matches them", Done: func(_ context.Context, s Status) (bool, string) {
				n := 0
				for _, r := range s.Replicas {
					if matches(r.Listed.Labels) && r.Controller != "" {
						n++
					}
				}
				return n >= count, fmt.Sprintf("%d of %d are", n, count)
			}},
			{Name: "they report and stay", Done: func(_ context.Context, s Status) (bool, string) {
				n := 0
				for _, r := range s.Replicas {
					if matches(r.Listed.Labels) && !r.Dark && !r.Listed.Leaving {
						n++
					}
				}
				return n >= count, fmt.Sprintf("%d of %d do", n, count)
			}},
			{Name: "claims are met", Done: func(_ context.Context, s Status) (bool, string) {
				for _, k := range slices.Sorted(maps.Keys(s.ClaimsUnmet)) {
					return false, k + ": " + s.ClaimsUnmet[k]
				}
				return quiet(s)
			}},
		}}
}

// Rescue makes one surviving core the only voter, after the disks of a
// majority are lost for good. What only they had synced is lost.
func Rescue(c Control, addr string, lost []string) Book {
	return Book{Name: "rescue after quorum loss",
		Check: func(s Status) (missing []string) {
			if len(s.CoreSet.Cores) == 1 && s.CoreSet.Cores[0].Name == s.Core {
				return nil
			}
			if s.Phase != "voter" {
				missing = append(missing, "the core asked is "+s.Phase+"; give the operator address of one that holds the data")
			}
			if len(lost) < len(s.CoreSet.Cores)/2 {
				missing = append(missing, "a quorum is left; start the lost machines, or see the runbook replace-core")
			}
			for _, o := range s.CoreSet.Cores {
				named := false
				for _, l := range lost {
					named = named || l == o.Name
				}
				switch m, _ := s.Member(o.Name); {
				case o.Name == s.Core:
				case !named:
					missing = append(missing, o.Name+" is not named as lost; if its disk is whole start it instead, else add it to --lost")
				case m.State == "alive" && m.Phase == "voter":
					missing = append(missing, o.Name+" is alive; it is not lost")
				}
			}
			if s.held() > 0 {
				missing = append(missing, "slots are held, so there is a quorum; nothing needs to be rescued")
			}
			return missing
		},
		Steps: []Step{
			{Name: "the survivor is the only voter", Do: func(ctx context.Context) error {
				s, err := c.StatusOf(ctx, addr)
				if err != nil {
					return err
				}
				return c.Rescue(ctx, addr, lost, s.CoreSet.Serial)
			}, Done: func(ctx context.Context, _ Status) (bool, string) {
				s, err := c.StatusOf(ctx, addr)
				return err == nil && s.inSet(s.Core) && (len(s.CoreSet.Cores) == 1 || s.CoreSet.Serial > 1000), "not yet"
			}},
			{Name: "every slot is held again", Done: func(_ context.Context, s Status) (bool, string) {
				return s.held() >= slots, fmt.Sprintf("%d of %d slots are held", s.held(), slots)
			}},
			{Name: "the set is whole again", Hint: "start empty cores under the lost names", Done: func(_ context.Context, s Status) (bool, string) {
				n := len(s.healthyCores())
				return n >= len(lost)+1, fmt.Sprintf("%d of %d cores vote", n, len(lost)+1)
			}},
		}}
}

// DayEnd reads the newest acknowledged configuration back from every core and
// compares it, byte for byte, with what was sent last.
func DayEnd(c Control, sent []byte) Book {
	return Book{Name: "end-of-day read-back",
		Check: func(s Status) (missing []string) {
			if s.Conf == 0 {
				missing = append(missing, "there is no configuration to read back")
			}
			return missing
		},
		Steps: []Step{
			{Name: "every slot is held and every edge up to date", Done: func(_ context.Context, s Status) (bool, string) { return quiet(s) }},
			{Name: "every core reads back the same bytes", Done: func(ctx context.Context, s Status) (bool, string) {
				first := ""
				for _, m := range s.Members {
					if m.Role != "core" || m.State != "alive" || m.Operator == "" {
						continue
					}
					serial, _, body, err := c.ReadBack(ctx, m.Operator)
					if err != nil {
						return false, m.Name + ": " + err.Error()
					}
					if sent != nil && string(body) != string(sent) {
						return false, fmt.Sprintf("%s reads back serial %s with other bytes than the file", m.Name, serial)
					}
					if got := serial + string(body); first == "" {
						first = got
					} else if got != first {
						return false, m.Name + " reads back something else"
					}
				}
				return first != "", "no core answers"
			}},
		}}
}
