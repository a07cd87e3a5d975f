// Package check holds the eleven things that must never happen, each as a
// checker over what the stand-ins recorded; drumstall's own word counts nothing.
package check

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// Event is one thing a stand-in saw. Only the fields of its kind are set.
type Event struct {
	At         time.Duration `json:"at"` // since the records' common zero
	Kind       string        `json:"kind"`
	Replica    string        `json:"replica,omitempty"`
	Node       string        `json:"node,omitempty"`
	Ticket     string        `json:"ticket,omitempty"`
	Of         string        `json:"of,omitempty"` // the ticket under which the same caller asked before
	Service    string        `json:"service,omitempty"`
	Class      string        `json:"class,omitempty"`
	Shot       int           `json:"shot,omitempty"`
	Repeatable bool          `json:"repeatable,omitempty"`
	Verb       string        `json:"verb,omitempty"`
	Item       string        `json:"item,omitempty"`
	Controller string        `json:"controller,omitempty"`
	Epoch      uint64        `json:"epoch,omitempty"`
	Warm       int           `json:"warm,omitempty"` // blocks of a prompt that were warm, of Used
	Used       int           `json:"used,omitempty"`
	Capacity   int           `json:"capacity,omitempty"`
	Status     int           `json:"status,omitempty"`
	Outcome    string        `json:"outcome,omitempty"`
	Serial     uint64        `json:"serial,omitempty"`
	Sum        string        `json:"sum,omitempty"`
	Why        string        `json:"why,omitempty"`
	Inflight   int           `json:"inflight,omitempty"` // requests that use what is ordered to go
	TookMs     int64         `json:"tookMs,omitempty"`
	FirstMs    int64         `json:"firstMs,omitempty"`
	Retry      bool          `json:"retry,omitempty"`  // Retry-After was given
	AgainS     int           `json:"againS,omitempty"` // and said so many seconds
}

// Kinds of events.
const (
	Arrived    = "arrived"     // a request reaches a back end, which may refuse it
	RunStart   = "run.start"   // a replica begins a request
	OrderCame  = "order"       // a replica was ordered something; Used is what it would then hold
	LoadStart  = "load.start"  // a replica begins to read from the weight store
	LoadDone   = "load.done"   // it has read an item; Used is its size
	UnloadDone = "unload.done" // it let an item go; no item: all of them
	Learned    = "mark.learnt" // one of our nodes was first told of a leaving replica, by the platform or, Why, by the replica
	Sent       = "sent"        // a visitor sends a request
	Unlearned  = "mark.gone"   // the platform took a mark back
	Answer     = "answer"      // a visitor has its final answer
	ConfAck    = "conf.ack"    // an operator got an acknowledgement
	ConfSeen   = "conf.seen"   // a proxy says what is in force there
	ConfNone   = "conf.none"   // a proxy says that it serves nobody yet
	ConfBack   = "conf.back"   // the configuration was read back
	EdgeDown   = "edge.down"   // a proxy or its machine is stopped, killed, frozen or cut off
	EdgeUp     = "edge.up"     // it is back
	Planned    = "planned"     // planned work on Node begins
	PlanEnd    = "planned.end"
	Back       = "machines.back" // the machines needed to serve are all there
)

// How a visitor's answer ended.
const (
	Whole    = "whole"    // ended as it should, every piece in its place
	Broken   = "broken"   // visibly cut
	Spliced  = "spliced"  // looks whole and is not, or has wrong pieces
	TurnedNo = "not-run"  // said not to have run
	Unknown  = "unknown"  // said to be unknown
	Failed   = "failed"   // said to have run and failed
	NoConn   = "no-conn"  // the proxy was not there
	LeftOut  = "left-out" // the conn broke before an answer
)

// Bounds are the numbers that the rules are held to.
type Bounds struct {
	PaceLoads      int
	RetryAllowance int
	Edges          []string // that must have a configuration in force
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

// All checks every rule.
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

func twice(es []Event, _ Bounds) (n int, out []string) {
	ran := map[string]int{}
	for _, e := range es {
		if e.Kind == RunStart && !e.Repeatable {
			if ran[e.Ticket]++; ran[e.Ticket] == 2 {
				out = append(out, "ticket "+e.Ticket+" ran again on "+e.Replica)
			}
			n++
		}
	}
	return n, out
}

func ranAfterAll(es []Event, _ Bounds) (n int, out []string) {
	turned := map[string]bool{}
	for _, e := range es {
		if e.Kind == Answer && e.Outcome == TurnedNo {
			turned[e.Ticket] = true
			n++
		}
	}
	for _, e := range es {
		if e.Kind == RunStart && turned[e.Ticket] {
			out = append(out, fmt.Sprintf("ticket %s ran on %s at %v", e.Ticket, e.Replica, e.At))
		}
	}
	return n, out
}

func leaving(es []Event, _ Bounds) (n int, out []string) {
	// Why: by replica and by who told; one that takes its mark back does not speak for the other.
	marked := map[string]map[string]time.Duration{}
	for _, e := range es {
		switch e.Kind {
		case Learned:
			if marked[e.Replica] == nil {
				marked[e.Replica] = map[string]time.Duration{}
			}
			marked[e.Replica][e.Why] = e.At
			n++
		case Unlearned:
			delete(marked[e.Replica], e.Why)
		case Arrived:
			for _, at := range marked[e.Replica] {
				if e.At-at > 3*time.Second {
					out = append(out, fmt.Sprintf("ticket %s reached %s %v after the mark", e.Ticket, e.Replica, e.At-at))
					break
				}
			}
		}
	}
	return n, out
}

// polled is how far apart the proxies are asked what is in force there.
const polled = 300 * time.Millisecond

func inForce(es []Event, b Bounds) (n int, out []string) {
	down := map[string]bool{}
	high := map[string]uint64{}
	type due struct {
		node   string
		serial uint64
		by     time.Duration
	}
	var waits []due
	var acks []Event
	silent := map[string]bool{}
	for _, e := range es {
		kept := waits[:0]
		for _, w := range waits {
			switch {
			case high[w.node] >= w.serial || down[w.node] || silent[w.node]:
			case e.At > w.by:
				out = append(out, fmt.Sprintf("serial %d is not in force at %s 2 s after its acknowledgement (there: %d)", w.serial, w.node, high[w.node]))
			default:
				kept = append(kept, w)
			}
		}
		waits = kept
		switch e.Kind {
		case EdgeDown:
			down[e.Node] = true
		case EdgeUp:
			down[e.Node] = false
		case ConfNone:
			silent[e.Node] = true
		case ConfAck:
			n++
			acks = append(acks, e)
			for _, node := range b.Edges {
				if !down[node] {
					waits = append(waits, due{node, e.Serial, e.At + 2*time.Second + polled})
				}
			}
		case ConfSeen:
			// Why: a proxy that served nobody owes nothing for that time, but must begin with what is in force.
			for _, a := range acks {
				if silent[e.Node] && e.At-a.At > 2*time.Second+polled && e.Serial < a.Serial {
					out = append(out, fmt.Sprintf("%s began to serve on serial %d, %v after %d was acknowledged", e.Node, e.Serial, e.At-a.At, a.Serial))
					break
				}
			}
			silent[e.Node] = false
			if e.Serial < high[e.Node] {
				out = append(out, fmt.Sprintf("%s went back from serial %d to %d", e.Node, high[e.Node], e.Serial))
			}
			high[e.Node] = max(high[e.Node], e.Serial)
		}
	}
	looked, more := byAnswers(es)
	return n + looked, append(out, more...)
}

// byAnswers holds the configuration that each answer was given under against what
// was in force at that edge before its request was sent. Why: polls leave gaps, in which an
// edge could go back and come forward again; each request is a look in between.
func byAnswers(es []Event) (n int, out []string) {
	type sent struct {
		low uint64 // what must be in force when it was sent, at the least
	}
	high := map[string]uint64{} // edge: highest seen in an answer or a poll that has come
	under := map[string]sent{}
	for _, e := range es {
		switch {
		case e.Kind == Sent:
			under[e.Ticket] = sent{high[e.Node]}
		case e.Kind == ConfSeen:
			high[e.Node] = max(high[e.Node], e.Serial)
		case e.Kind == Answer && e.Serial > 0:
			n++
			if q, found := under[e.Ticket]; found && e.Serial < q.low {
				out = append(out, fmt.Sprintf("%s served ticket %s on serial %d after it had %d in force", e.Node, e.Ticket, e.Serial, q.low))
			}
			high[e.Node] = max(high[e.Node], e.Serial)
			delete(under, e.Ticket)
		}
	}
	return n, out
}

func readBack(es []Event, _ Bounds) (n int, out []string) {
	var last Event
	maybe := map[string]bool{}
	read := uint64(0)
	for _, e := range es {
		switch {
		case e.Kind == ConfAck && e.Outcome == Unknown:
			maybe[e.Sum] = true
		case e.Kind == ConfAck:
			if e.Serial >= last.Serial {
				last = e
			}
		case e.Kind == ConfBack:
			n++
			if e.Sum != last.Sum && !(maybe[e.Sum] && e.Serial > last.Serial) {
				out = append(out, fmt.Sprintf("read back serial %d with other bytes than serial %d as acknowledged", e.Serial, last.Serial))
			}
			// Why: what may or may not have been kept is kept for good once somebody has read it.
			if e.Serial < read {
				out = append(out, fmt.Sprintf("read back serial %d after %d had been read", e.Serial, read))
			}
			read = max(read, e.Serial)
		}
	}
	return n, out
}

func controllers(es []Event, _ Bounds) (n int, out []string) {
	type last struct {
		who   string
		at    time.Duration
		epoch uint64
	}
	by := map[string]last{}
	for _, e := range es {
		if e.Kind != OrderCame {
			continue
		}
		n++
		l, found := by[e.Replica]
		if found && l.who != e.Controller {
			if gap := e.At - l.at; gap < 3*time.Second-50*time.Millisecond {
				out = append(out, fmt.Sprintf("%s: %s orders %v after %s", e.Replica, e.Controller, gap, l.who))
			}
		}
		if found && e.Epoch < l.epoch {
			out = append(out, fmt.Sprintf("%s: order under epoch %d after %d", e.Replica, e.Epoch, l.epoch))
		}
		by[e.Replica] = last{e.Controller, e.At, max(e.Epoch, l.epoch)}
	}
	return n, out
}

func overfull(es []Event, _ Bounds) (n int, out []string) {
	for _, e := range es {
		if e.Kind == OrderCame && strings.HasPrefix(e.Verb, "load") {
			n++
			if e.Used > e.Capacity {
				out = append(out, fmt.Sprintf("%s: %s %s makes %d of %d", e.Replica, e.Verb, e.Item, e.Used, e.Capacity))
			}
		}
	}
	return n, out
}

func pace(es []Event, b Bounds) (n int, out []string) {
	var starts []time.Duration
	for _, e := range es {
		if e.Kind != LoadStart {
			continue
		}
		n++
		starts = append(starts, e.At)
		if k := len(starts) - 1 - b.PaceLoads; k >= 0 && e.At-starts[k] < 5*time.Second {
			out = append(out, fmt.Sprintf("%d loads within %v, up to %v", b.PaceLoads+1, e.At-starts[k], e.At))
		}
	}
	return n, out
}

func retries(es []Event, b Bounds) (n int, out []string) {
	by := map[string][]Event{}
	for _, e := range es {
		if e.Kind == Arrived {
			by[e.Service] = append(by[e.Service], e)
		}
	}
	for svc, list := range by {
		left, again := 0, 0
		worst, at := -math.MaxFloat64, time.Duration(0)
		look := func(right int, now time.Duration) {
			firsts := right - left - again
			if over := float64(again) - 0.2*float64(firsts) - float64(b.RetryAllowance); over > worst {
				worst, at = over, now
			}
		}
		for right, e := range list {
			// Why: a window may also end between two arrivals, just after a first shot has left it; retries that leaned
			// on that one stand alone then.
			for left < right && e.At-list[left].At > 10*time.Second {
				gone := list[left]
				if gone.Shot > 1 {
					again--
				}
				left++
				look(right, gone.At+10*time.Second)
			}
			if e.Shot > 1 {
				again++
				n++
			}
			look(right+1, e.At)
		}
		if worst > 0 {
			out = append(out, fmt.Sprintf("service %s: %.1f retries too many in the 10 s up to %v", svc, worst, at))
		}
	}
	return n, out
}

func streams(es []Event, _ Bounds) (n int, out []string) {
	for _, e := range es {
		if e.Kind == Answer && (e.Outcome == Whole || e.Outcome == Broken || e.Outcome == Spliced) {
			n++
			if e.Outcome == Spliced {
				out = append(out, "ticket "+e.Ticket+": "+e.Why)
			}
		}
	}
	return n, out
}

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

func planned(es []Event, b Bounds) (n int, out []string) {
	busy := map[string]bool{}
	sent := map[string]Event{}
	during := map[string]bool{}
	down := map[string]bool{}
	var back *comeback
	for _, e := range es {
		// Why: that one edge serves says nothing of the others, nor plate checks anything of models.
		if back != nil && e.At-back.at > backFor {
			if left := back.missing(); len(left) > 0 {
				out = append(out, fmt.Sprintf("%s not served again %v after the machines were back at %v", strings.Join(left, ", "), backFor, back.at))
			}
			back = nil
		}
		switch e.Kind {
		case Planned:
			busy[e.Node] = true
			// Why: what was sent before and is still under way is what planned work must not drop.
			for t, q := range sent {
				if q.Node == e.Node {
					during[t] = true
				}
			}
		case PlanEnd:
			busy[e.Node] = false
		case EdgeDown:
			down[e.Node] = true
			if back != nil {
				delete(back.edges, e.Node)
			}
		case EdgeUp:
			down[e.Node] = false
		case Sent:
			sent[e.Ticket] = e
			if busy[e.Node] {
				during[e.Ticket] = true
			}
			if back != nil && e.Item != "" {
				back.models++
			}
			if back != nil {
				if n, due := back.edges[e.Node]; due {
					back.edges[e.Node] = n + 1
				}
			}
		case Back:
			back = &comeback{at: e.At, edges: map[string]int{}}
			for _, name := range b.Edges {
				if !down[name] {
					back.edges[name] = 0
				}
			}
			n++
		case Answer:
			q := sent[e.Ticket]
			delete(sent, e.Ticket)
			if during[e.Ticket] {
				n++
				if e.Outcome == LeftOut || e.Outcome == Broken {
					out = append(out, fmt.Sprintf("ticket %s was dropped while %s was worked on: %s %s", e.Ticket, q.Node, e.Outcome, e.Why))
				}
			}
			if back != nil && e.Outcome == Whole {
				delete(back.edges, q.Node)
				back.model = back.model || q.Item != "" && q.At >= back.at
			}
		}
	}
	if back != nil && len(es) > 0 && es[len(es)-1].At-back.at > backFor {
		if left := back.missing(); len(left) > 0 {
			out = append(out, fmt.Sprintf("%s never served again after the machines were back at %v", strings.Join(left, ", "), back.at))
		}
	}
	// Why: a request that never got an answer was dropped as surely as one whose conn broke.
	for t, q := range sent {
		if during[t] {
			out = append(out, fmt.Sprintf("ticket %s has no answer at all since %s was worked on", t, q.Node))
		}
	}
	return n, out
}
