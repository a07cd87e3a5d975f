package stand

import (
	"bufio"
	"fmt"
	"strings"
	"time"
)

// Step is one line of a fault schedule.
type Step struct {
	Line   int
	At     time.Duration
	Verb   string
	Target string
}

// Verbs and what they may be done to: c a core, a an agent, p a proxy, m a
// model replica, s a service replica.
var verbs = map[string]string{
	"kill": "capms", "stop": "cap", "start": "capms", "freeze": "capms", "thaw": "capms", "mark": "ms", "unmark": "ms", "empty": "c", "swap": "cap", "patch": "",
}

// ParseSchedule reads lines 'AT VERB TARGET'; every fault in it is told with its line.
func ParseSchedule(text string, targets map[string]byte) ([]Step, []string) {
	var steps []Step
	var faults []string
	var last time.Duration
	in := bufio.NewScanner(strings.NewReader(text))
	for n := 1; in.Scan(); n++ {
		line, _, _ := strings.Cut(in.Text(), "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		bad := func(format string, args ...any) {
			faults = append(faults, fmt.Sprintf("line %d: ", n)+fmt.Sprintf(format, args...))
		}
		if len(f) < 2 {
			bad("want AT VERB TARGET, got %q", line)
			continue
		}
		s := Step{Line: n, Verb: f[1]}
		var err error
		if s.At, err = time.ParseDuration(f[0]); err != nil || s.At < 0 {
			bad("time %q is no duration", f[0])
			continue
		}
		if s.At < last {
			bad("time %v is before the line above", s.At)
			continue
		}
		last = s.At
		kinds, known := verbs[s.Verb]
		if !known {
			bad("unknown step %q", s.Verb)
			continue
		}
		if kinds == "" {
			if len(f) != 2 {
				bad("step %s takes no target", s.Verb)
				continue
			}
			steps = append(steps, s)
			continue
		}
		if len(f) != 3 {
			bad("step %s wants one target", s.Verb)
			continue
		}
		s.Target = f[2]
		kind, there := targets[s.Target]
		if !there {
			bad("unknown target %q", s.Target)
			continue
		}
		if !strings.ContainsRune(kinds, rune(kind)) {
			bad("%s cannot be done to %s", s.Verb, s.Target)
			continue
		}
		steps = append(steps, s)
	}
	return steps, faults
}

// Targets names everything a schedule may act on in a deployment.
func (d Deployment) Targets() map[string]byte {
	out := map[string]byte{}
	for i := range d.Cores {
		out[fmt.Sprintf("core-%d", i+1)] = 'c'
	}
	for i := range d.Edges {
		out[fmt.Sprintf("agent-%d", i+1)] = 'a'
		out[fmt.Sprintf("proxy-%d", i+1)] = 'p'
	}
	for i := range d.Models {
		out[fmt.Sprintf("m-%02d", i+1)] = 'm'
	}
	for i := range d.Services {
		out[fmt.Sprintf("s-%02d", i+1)] = 's'
	}
	return out
}
