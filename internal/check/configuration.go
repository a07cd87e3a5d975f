package check

import (
	"fmt"
	"time"
)

// polled is how far apart the proxies are asked what is in force there.
const polled = 300 * time.Millisecond

// inForce is rule 4.
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
