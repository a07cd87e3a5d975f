// Package replay runs simulated days of a deployment's traffic through the
// placement code, second by second without a network, and compares policies.
//
// The program dsreplay and the tests of the starting values call it. It owns the
// drawn traffic and a model of replicas and of the weight store; the judging is
// that of the placement packages themselves. It never waits, reads no clock, and
// gives the same figures for the same seed.
package replay

import (
	"fmt"
	"maps"
	"slices"

	"drumstall.example/internal/conf"
)

// Policy decides what is loaded and what goes.
type Policy string

// The paper's rule as drumstall runs it; the same without prediction, the least
// recently used going first and no test; and a load at every request's home.
const (
	Paper  Policy = "paper"
	LRU    Policy = "lru"
	Always Policy = "always"
)

// Case is one run.
type Case struct {
	Name       string
	Policy     Policy
	Csf        float64            // cache stability factor of the paper
	DayWeights []float64          // of the past seven days, yesterday first
	Weights    map[string]float64 // of the judges, by name
	Ask        int                // candidates that are asked
	Least      bool               // take the one whose victims are worth least, not the first that agrees
	// PassMin is how often, in minutes, an item that nobody holds may be loaded
	// without the test; 0 is always, -1 never.
	PassMin int
	// Slack lets an item that nobody holds skip the test while the store has started
	// less than this share of the loads it may in the last 30 s; 0 does not look.
	Slack float64
}

// Usual is the paper's rule with the starting values.
func Usual(name string) Case {
	w := maps.Clone(conf.DefaultWeights)
	return Case{Name: name, Policy: Paper, Ask: 4, Least: true, PassMin: 3, Slack: 0.75, Csf: 1, DayWeights: []float64{0.25, 0.1, 0.1, 0.1, 0.1, 0.1, 0.25}, Weights: w}
}

// Class is the figures of one class.
type Class struct {
	Name                 string
	Requests, Late       int
	FirstP50Ms, FirstP99 int64   // time to the first piece, in ms
	first                []int64 // the same of each request, in ms
}

// Result is the figures of the days after the first seven.
type Result struct {
	Case     Case
	Requests int
	Hits     int
	Loads    int
	Unloads  int
	Mib      int // read from the store
	Late     int // turned away: no load would be ready before the deadline
	Classes  []Class
}

// Cases are the comparisons: policies, then one thing varied at a time.
func Cases() []Case {
	return slices.Concat(policies(), passes(), stability(), days(), weights())
}

// policies are the paper's rule and those that it is compared with.
func policies() []Case {
	out := []Case{Usual("paper, starting values"), {Name: "least recently used", Policy: LRU, Csf: 1}, {Name: "always load at home", Policy: Always, Csf: 1}}
	for i := range out[1:] {
		u := Usual("")
		out[i+1].DayWeights, out[i+1].Weights, out[i+1].Ask = u.DayWeights, u.Weights, u.Ask
	}
	return out
}

// passes vary how often an item that nobody holds is loaded without the test.
func passes() []Case {
	var out []Case
	for _, least := range []bool{false, true} {
		for _, pass := range []int{0, 1, 2, 3, 5, 15, 60, -1} {
			c := Usual(fmt.Sprintf("pass every %d min, least %v", pass, least))
			c.PassMin, c.Least, c.Slack = pass, least, 0
			out = append(out, c)
		}
	}
	for _, slack := range []float64{0.1, 0.25, 0.5, 1} {
		c := Usual(fmt.Sprintf("slack %g", slack))
		c.Slack = slack
		out = append(out, c)
	}
	return out
}

// stability varies the cache stability factor.
func stability() []Case {
	var out []Case
	for _, csf := range []float64{0.1, 10, 100} {
		c := Usual(fmt.Sprintf("csf %g", csf))
		c.Csf = csf
		out = append(out, c)
	}
	return out
}

// days varies which of the past days count.
func days() []Case {
	var out []Case
	for _, d := range []struct {
		name string
		days []float64
	}{
		{"a: all days alike", []float64{1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7}},
		{"b: yesterday only", []float64{1, 0, 0, 0, 0, 0, 0}},
		{"c: a week ago only", []float64{0, 0, 0, 0, 0, 0, 1}},
	} {
		c := Usual("days " + d.name)
		c.DayWeights = d.days
		out = append(out, c)
	}
	return out
}

// weights vary one judge's weight at a time.
func weights() []Case {
	var out []Case
	for _, j := range []string{"demand", "recency", "copies", "room", "load"} {
		for _, x := range []float64{0, 3} {
			c := Usual(fmt.Sprintf("judge %s x%g", j, x))
			c.Weights[j] *= x
			out = append(out, c)
		}
	}
	return out
}
