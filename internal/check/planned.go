package check

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// backFor is how long machines may take to serve once they are back.
const backFor = 12 * time.Second

// manyModels is how many requests for models must be sent in that time before one
// served is demanded.
const manyModels = 10

// askedOf is how many requests an edge must have been sent in that time before one
// served is demanded of it.
const askedOf = 3

// comeback is what must be served again after machines returned.
type comeback struct {
	at     time.Duration
	edges  map[string]int // that have not served since: requests sent to them
	models int            // requests for models sent since
	model  bool           // one of them was served
}

// missing lists what should have been served by now and was not.
func (c *comeback) missing() []string {
	var out []string
	for name, asked := range c.edges {
		// Why: an edge that nobody asked has not failed to serve.
		if asked >= askedOf {
			out = append(out, name)
		}
	}
	if !c.model && c.models >= manyModels {
		out = append(out, "any model")
	}
	sort.Strings(out)
	return out
}

// plannedWork is what is known so far of planned work and of machines that were away.
type plannedWork struct {
	edges  []string         // that must serve
	busy   map[string]bool  // nodes that are worked on
	down   map[string]bool  // edges that are not there
	sent   map[string]Event // ticket: a request without an answer yet
	during map[string]bool  // tickets that planned work must not drop
	back   *comeback        // nil unless machines have just come back
	looked int
	out    []string
	bounds Bounds
}

// planned is rule 11.
func planned(es []Event, b Bounds) (n int, out []string) {
	w := &plannedWork{bounds: b, edges: b.Edges, busy: map[string]bool{}, down: map[string]bool{}, sent: map[string]Event{}, during: map[string]bool{}}
	for _, e := range es {
		// Why: that one edge serves says nothing of the others, nor plate checks anything of models.
		if w.back != nil && e.At-w.back.at > backFor {
			if left := w.back.missing(); len(left) > 0 {
				w.breach("%s not served again %v after the machines were back at %v", strings.Join(left, ", "), backFor, w.back.at)
			}
			w.back = nil
		}
		w.see(e)
	}
	// Why: a request that never got an answer was dropped as surely as one whose connection broke.
	for t, q := range w.sent {
		if w.during[t] {
			w.breach("ticket %s has no answer at all since %s was worked on", t, q.Node)
		}
	}
	return w.looked, w.out
}

func (w *plannedWork) breach(format string, args ...any) {
	w.out = append(w.out, fmt.Sprintf(format, args...))
}

func (w *plannedWork) see(e Event) {
	switch e.Kind {
	case Planned:
		w.busy[e.Node] = true
		// Why: what was sent before and is still under way is what planned work must not drop.
		for t, q := range w.sent {
			if q.Node == e.Node {
				w.during[t] = true
			}
		}
	case PlanEnd:
		w.busy[e.Node] = false
	case EdgeDown:
		w.down[e.Node] = true
		if w.back != nil {
			delete(w.back.edges, e.Node)
		}
	case EdgeUp:
		w.down[e.Node] = false
	case Sent:
		w.request(e)
	case Back:
		w.back = &comeback{at: e.At, edges: map[string]int{}}
		for _, name := range w.edges {
			if !w.down[name] {
				w.back.edges[name] = 0
			}
		}
		w.looked++
	case Answer:
		w.answer(e)
	}
}

func (w *plannedWork) request(e Event) {
	w.sent[e.Ticket] = e
	if w.busy[e.Node] {
		w.during[e.Ticket] = true
	}
	if w.back == nil {
		return
	}
	if e.Item != "" {
		w.back.models++
	}
	if n, due := w.back.edges[e.Node]; due {
		w.back.edges[e.Node] = n + 1
	}
}

func (w *plannedWork) answer(e Event) {
	q := w.sent[e.Ticket]
	delete(w.sent, e.Ticket)
	if w.during[e.Ticket] {
		w.looked++
		if e.Outcome == LeftOut || w.bounds.CutEarly(e) {
			w.breach("ticket %s was dropped after %d ms while %s was worked on: %s %s", e.Ticket, e.TookMs, q.Node, e.Outcome, e.Why)
		}
	}
	if w.back != nil && e.Outcome == Whole {
		delete(w.back.edges, q.Node)
		w.back.model = w.back.model || q.Item != "" && q.At >= w.back.at
	}
}
