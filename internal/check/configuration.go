package check

import (
	"fmt"
	"time"
)

// polled is how far apart the proxies are asked what is in force there.
const polled = 300 * time.Millisecond

// due is a configuration that must be in force at a node by a time.
type due struct {
	node    string
	version uint64
	by      time.Duration
}

// forcing is what is known so far of the configurations in force.
type forcing struct {
	edges  []string          // that must have one
	down   map[string]bool   // edges that are not there
	silent map[string]bool   // edges that serve nobody yet
	high   map[string]uint64 // edge: highest version seen there
	waits  []due
	acks   []Event
	out    []string
}

// inForce is rule 4.
func inForce(es []Event, b Bounds) (n int, out []string) {
	f := &forcing{edges: b.Edges, down: map[string]bool{}, silent: map[string]bool{}, high: map[string]uint64{}}
	for _, e := range es {
		f.overdue(e.At)
		switch e.Kind {
		case EdgeDown:
			f.down[e.Node] = true
		case EdgeUp:
			f.down[e.Node] = false
		case ConfNone:
			f.silent[e.Node] = true
		case ConfAck:
			n++
			f.acked(e)
		case ConfSeen:
			f.seen(e)
		}
	}
	looked, more := byAnswers(es)
	return n + looked, append(f.out, more...)
}

func (f *forcing) breach(format string, args ...any) {
	f.out = append(f.out, fmt.Sprintf(format, args...))
}

// overdue lets go of what is in force by now, or need not be, and tells of what is late.
func (f *forcing) overdue(now time.Duration) {
	kept := f.waits[:0]
	for _, w := range f.waits {
		switch {
		case f.high[w.node] >= w.version || f.down[w.node] || f.silent[w.node]:
		case now > w.by:
			f.breach("serial %d is not in force at %s 2 s after its acknowledgement (there: %d)", w.version, w.node, f.high[w.node])
		default:
			kept = append(kept, w)
		}
	}
	f.waits = kept
}

func (f *forcing) acked(e Event) {
	f.acks = append(f.acks, e)
	for _, node := range f.edges {
		if !f.down[node] {
			f.waits = append(f.waits, due{node, e.Serial, e.At + 2*time.Second + polled})
		}
	}
}

func (f *forcing) seen(e Event) {
	// Why: a proxy that served nobody owes nothing for that time, but must begin with what is in force.
	for _, a := range f.acks {
		if f.silent[e.Node] && e.At-a.At > 2*time.Second+polled && e.Serial < a.Serial {
			f.breach("%s began to serve on serial %d, %v after %d was acknowledged", e.Node, e.Serial, e.At-a.At, a.Serial)
			break
		}
	}
	f.silent[e.Node] = false
	if e.Serial < f.high[e.Node] {
		f.breach("%s went back from serial %d to %d", e.Node, f.high[e.Node], e.Serial)
	}
	f.high[e.Node] = max(f.high[e.Node], e.Serial)
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

// readBack is rule 5.
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
