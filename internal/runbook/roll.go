package runbook

import (
	"context"
	"fmt"
)

// Roll waits while every process comes to run a build, cores first and one at a time.
func Roll(s Status, build string) Procedure {
	b := Procedure{Name: "roll build " + build, Check: func(s Status) (missing []string) {
		if n := len(s.healthyCores()); n < len(s.CoreMembers.Cores) {
			missing = append(missing, fmt.Sprintf("%d of %d cores are alive and vote; bring all back before one is stopped on purpose", n, len(s.CoreMembers.Cores)))
		}
		if ok, why := isSettled(s); !ok {
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
				case !found || !s.isAlive(m):
					return false, name + " is not there"
				case m.Build != build:
					return false, name + " runs build " + m.Build
				case m.Role == "core" && m.Phase != "voter":
					return false, name + " is " + m.Phase
				}
				if e, edge := s.Edges[name]; edge && !e.Serving {
					return false, name + " does not serve yet"
				}
				return isSettled(s)
			}})
	}
	return b
}
