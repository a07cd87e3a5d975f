// Package check holds the eleven things that must never happen, each as a
// checker over what the stand-ins recorded; drumstall's own word counts nothing.
//
// The simulated fleets, the day player and dsfleet call All with the events of a
// run; the stand-ins make events of the kinds named here. It reads no clock and
// no network, keeps nothing between calls, and never judges from what drumstall
// itself logged or reported, but for the versions that its interfaces gave out.
package check

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Bounds are the numbers that the rules are held to.
type Bounds struct {
	PaceLoads      int                      // loads the weight store bears in any 5 s
	RetryAllowance int                      // retries to a service on top of a fifth of its traffic in any 10 s
	Edges          []string                 // that must have a configuration in force
	Deadlines      map[string]time.Duration // class: its route's time, by which an answer has its final end
}

// CutEarly is whether an answer was cut before its route's time, at which it ends whole or not; of a class whose time is not
// known every cut is early.
func (b Bounds) CutEarly(e Event) bool {
	limit, known := b.Deadlines[e.Class]
	return e.Outcome == Broken && !(known && e.TookMs >= limit.Milliseconds())
}

// Verdict on one rule.
type Verdict struct {
	Rule     int      `json:"rule"`
	Name     string   `json:"name"`
	Looked   int      `json:"looked"` // how many cases it looked at
	Breaches []string `json:"breaches"`
}

// Names of the rules.
var Names = [...]string{"", "an unrepeatable request runs twice", "a request turned away as not run runs", "a request reaches a leaving replica more than 3 s after it was learned",
	"an acknowledged configuration is not in force in 2 s, or a machine goes back", "the read-back is not the newest acknowledged, exactly as sent",
	"two controllers order one replica, or a handover does not wait out 3 s", "a replica is ordered to hold more than fits",
	"loads exceed the store's pace over 5 s", "retries exceed a fifth of traffic and the allowance over 10 s",
	"a stream skips, repeats, splices or falsely looks complete", "planned work drops an accepted request, or serving takes over 12 s to come back"}

// All checks every rule. It sorts the events by time, in place.
func All(events []Event, b Bounds) []Verdict {
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	var out []Verdict
	for n, f := range []func([]Event, Bounds) (int, []string){twice, ranAfterAll, leaving, inForce, readBack, controllers, overfull, pace, retries, streams, planned} {
		looked, breaches := f(events, b)
		if len(breaches) > 20 {
			breaches = append(breaches[:20:20], fmt.Sprintf("and %d more", len(breaches)-20))
		}
		out = append(out, Verdict{Rule: n + 1, Name: Names[n+1], Looked: looked, Breaches: breaches})
	}
	return out
}

// Breached joins all breaches; empty when there are none.
func Breached(vs []Verdict) string {
	var b strings.Builder
	for _, v := range vs {
		for _, x := range v.Breaches {
			fmt.Fprintf(&b, "rule %d (%s): %s\n", v.Rule, v.Name, x)
		}
	}
	return b.String()
}
