package runbook

import (
	"context"
	"fmt"
)

// ReplaceCore gives the place of a lost core machine to an empty one.
func ReplaceCore(name string) Procedure {
	return Procedure{Name: "replace core machine " + name,
		Check: func(s Status) (missing []string) {
			if !s.isVoter(name) {
				missing = append(missing, name+" is not a member of the core set; look at coreSet in dsctl status")
			}
			rest := 0
			for _, n := range s.healthyCores() {
				if n != name {
					rest++
				}
			}
			if need := s.quorum(); rest < need {
				missing = append(missing, fmt.Sprintf("without %s only %d voters are alive and %d are needed; bring another back first, or see the runbook rescue", name, rest, need))
			}
			return missing
		},
		Steps: []Step{
			{Name: "an empty machine runs in its place", Hint: "stop the old process if it runs; start dscore with --name " + name + " and an empty --folder, at any address",
				Done: func(_ context.Context, s Status) (bool, string) {
					m, found := s.Member(name)
					if !found || !s.isAlive(m) {
						return false, name + " is not there"
					}
					return true, ""
				}},
			{Name: "it is filled and votes", Done: func(_ context.Context, s Status) (bool, string) {
				m, _ := s.Member(name)
				return m.Phase == "voter" && s.isVoter(name) && s.isAlive(m), name + " is " + m.Phase
			}},
			settledStep(),
		}}
}
