package check

import (
	"fmt"
	"strings"
	"time"
)

// controllers is rule 6.
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

// overfull is rule 7.
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

// pace is rule 8.
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
