package check

import (
	"fmt"
	"math"
	"time"
)

// twice is rule 1.
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

// ranAfterAll is rule 2.
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

// leaving is rule 3.
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

// retries is rule 9.
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
			// Why: a window may also end between two arrivals, just after a first attempt has left it; retries that leaned
			// on that one stand alone then.
			for left < right && e.At-list[left].At > 10*time.Second {
				gone := list[left]
				if gone.Attempt > 1 {
					again--
				}
				left++
				look(right, gone.At+10*time.Second)
			}
			if e.Attempt > 1 {
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

// streams is rule 10.
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
