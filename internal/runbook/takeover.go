package runbook

import (
	"context"
	"fmt"
)

// TakeOver follows replicas that have been labelled until all count of them are in use.
func TakeOver(matches func(labels map[string]string) bool, selector string, count int) Procedure {
	return Procedure{Name: fmt.Sprintf("take over %d replicas with %s", count, selector),
		Check: func(s Status) (missing []string) {
			if s.Conf == 0 {
				missing = append(missing, "there is no configuration; dsctl config put FILE")
			}
			return append(missing, requireAllSlots(s)...)
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
				if ok, what := claimsMet(s); !ok {
					return false, what
				}
				return isSettled(s)
			}},
		}}
}
