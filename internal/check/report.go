package check

import (
	"fmt"
	"io"
	"sort"
)

// Class is the figures of one class of callers.
type Class struct {
	Name     string         `json:"name"`
	Outcomes map[string]int `json:"outcomes"`
	// Milliseconds to the first piece and to the end, of whole answers.
	First Spread `json:"firstMs"`
	Whole Spread `json:"wholeMs"`
}

// Spread is percentiles.
type Spread struct{ P50, P90, P99, Max int64 }

// Report is the figures of a run, from the stand-ins' records.
type Report struct {
	Classes   []Class   `json:"classes"`
	Loads     int       `json:"loads"`
	Unloads   int       `json:"unloads"`
	LoadedMib int       `json:"loadedMib"`
	Hits      int       `json:"hits"`   // model requests sent while some replica had the item
	Misses    int       `json:"misses"` // and while none had
	Runs      int       `json:"runs"`
	Retries   int       `json:"retries"`
	NoRetryIn int       `json:"turnedAwayWithoutRetryAfter"`
	Why       []Reason  `json:"turnedAway"`
	Rules     []Verdict `json:"rules"`
}

// Reason is why requests were not answered, and how many.
type Reason struct {
	Class, Outcome, Why string
	Count               int
}

// tally is the sums of a run so far.
type tally struct {
	r       Report
	holders map[string]map[string]bool // item: replicas that hold it
	classes map[string]*Class
	first   map[string][]int64 // class: times to the first piece, in ms
	whole   map[string][]int64 // class: times to the whole answer, in ms
	why     map[Reason]int
}

// Figures sums up a run. It sorts the events by time, in place.
func Figures(events []Event, b Bounds) Report {
	t := &tally{
		r: Report{Rules: All(events, b)}, holders: map[string]map[string]bool{}, classes: map[string]*Class{},
		first: map[string][]int64{}, whole: map[string][]int64{}, why: map[Reason]int{},
	}
	for _, e := range events {
		t.add(e)
	}
	return t.report()
}

// add counts one event.
func (t *tally) add(e Event) {
	switch e.Kind {
	case LoadStart:
		t.r.Loads++
	case LoadDone:
		if t.holders[e.Item] == nil {
			t.holders[e.Item] = map[string]bool{}
		}
		t.holders[e.Item][e.Replica] = true
		t.r.LoadedMib += e.Used
	case UnloadDone:
		if e.Item == "" {
			for _, h := range t.holders {
				delete(h, e.Replica)
			}
			return
		}
		t.r.Unloads++
		delete(t.holders[e.Item], e.Replica)
	case RunStart:
		t.r.Runs++
	case Arrived:
		if e.Attempt > 1 {
			t.r.Retries++
		}
	case Sent:
		if e.Item == "" {
			return
		}
		if len(t.holders[e.Item]) > 0 {
			t.r.Hits++
		} else {
			t.r.Misses++
		}
	case Answer:
		t.answer(e)
	}
}

func (t *tally) answer(e Event) {
	c := t.classes[e.Class]
	if c == nil {
		c = &Class{Name: e.Class, Outcomes: map[string]int{}}
		t.classes[e.Class] = c
	}
	c.Outcomes[e.Outcome]++
	if e.Outcome == Whole {
		t.first[e.Class] = append(t.first[e.Class], e.FirstMs)
		t.whole[e.Class] = append(t.whole[e.Class], e.TookMs)
		return
	}
	if e.Outcome == TurnedNo && !e.Retry && e.Status >= 500 {
		t.r.NoRetryIn++
	}
	t.why[Reason{Class: e.Class, Outcome: e.Outcome, Why: clip(e.Why)}]++
}

// report is the whole, classes by name and the commonest reasons first.
func (t *tally) report() Report {
	r := t.r
	for name, c := range t.classes {
		c.First, c.Whole = spread(t.first[name]), spread(t.whole[name])
		r.Classes = append(r.Classes, *c)
	}
	sort.Slice(r.Classes, func(i, j int) bool { return r.Classes[i].Name < r.Classes[j].Name })
	for w, n := range t.why {
		w.Count = n
		r.Why = append(r.Why, w)
	}
	sort.Slice(r.Why, func(i, j int) bool {
		return r.Why[i].Count > r.Why[j].Count || r.Why[i].Count == r.Why[j].Count && r.Why[i].Class+r.Why[i].Why < r.Why[j].Class+r.Why[j].Why
	})
	if len(r.Why) > 20 {
		r.Why = r.Why[:20]
	}
	return r
}

func clip(s string) string {
	if len(s) > 140 {
		return s[:140]
	}
	return s
}

func spread(v []int64) Spread {
	if len(v) == 0 {
		return Spread{}
	}
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	at := func(p int) int64 { return v[min(len(v)-1, len(v)*p/100)] }
	return Spread{at(50), at(90), at(99), v[len(v)-1]}
}

// Breached says whether any rule was.
func (r Report) Breached() bool { return Breached(r.Rules) != "" }

// Print writes the report for people.
func (r Report) Print(w io.Writer) {
	for _, c := range r.Classes {
		fmt.Fprintf(w, "class %-10s", c.Name)
		for _, o := range []string{Whole, TurnedNo, Unknown, Failed, Broken, LeftOut, NoConn, Spliced} {
			if n := c.Outcomes[o]; n > 0 {
				fmt.Fprintf(w, " %s=%d", o, n)
			}
		}
		fmt.Fprintf(w, "\n      first piece ms p50=%d p90=%d p99=%d max=%d   whole ms p50=%d p90=%d p99=%d max=%d\n",
			c.First.P50, c.First.P90, c.First.P99, c.First.Max, c.Whole.P50, c.Whole.P90, c.Whole.P99, c.Whole.Max)
	}
	rate := 0.0
	if r.Hits+r.Misses > 0 {
		rate = 100 * float64(r.Hits) / float64(r.Hits+r.Misses)
	}
	fmt.Fprintf(w, "loads %d (%d MiB), unloads %d, hit rate %.1f%% of %d model requests, runs %d, retries %d, turned away without Retry-After %d\n",
		r.Loads, r.LoadedMib, r.Unloads, rate, r.Hits+r.Misses, r.Runs, r.Retries, r.NoRetryIn)
	for _, y := range r.Why {
		fmt.Fprintf(w, "  %5d %s %s: %s\n", y.Count, y.Class, y.Outcome, y.Why)
	}
	for _, v := range r.Rules {
		word := "kept"
		if len(v.Breaches) > 0 {
			word = "BREACHED"
		}
		fmt.Fprintf(w, "rule %2d %-8s looked at %6d: %s\n", v.Rule, word, v.Looked, v.Name)
		for _, b := range v.Breaches {
			fmt.Fprintf(w, "        %s\n", b)
		}
	}
}
