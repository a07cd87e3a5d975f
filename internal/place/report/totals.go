package report

import (
	"maps"
	"time"

	"github.com/gammazero/deque"

	"drumstall.example/internal/conf"
)

// window holds the latest report of each edge that reported within a time span. accumulate is called
// with sign 1 for each report that enters the window, and with -1 for each that is replaced or expires.
type window struct {
	span       time.Duration
	accumulate func(d *Received, sign int)
	current    map[string]*Received // by agent
	arrivals   deque.Deque[arrival] // oldest first; includes those of replaced reports
}

// arrival is the arrival time of a report of an agent.
type arrival struct {
	agent string
	at    time.Duration
}

func newWindow(span time.Duration, count func(d *Received, sign int)) window {
	return window{span: span, accumulate: count, current: map[string]*Received{}}
}

// put replaces the previous report of the edge.
func (w *window) put(d *Received) {
	if previous := w.current[d.Agent]; previous != nil {
		w.accumulate(previous, -1)
	}
	w.accumulate(d, 1)
	w.current[d.Agent] = d
	w.arrivals.PushBack(arrival{d.Agent, d.At})
	w.expire(d.At)
}

// expire removes reports older than the span.
func (w *window) expire(now time.Duration) {
	for w.arrivals.Len() > 0 && now-w.arrivals.Front().at >= w.span {
		oldest := w.arrivals.PopFront()
		if d := w.current[oldest.agent]; d != nil && d.At == oldest.at {
			w.accumulate(d, -1)
			delete(w.current, oldest.agent)
		}
	}
}

// replicaItem identifies an item on a replica.
type replicaItem struct{ replica, item string }

// totals are sums over the reports within the windows of a table.
type totals struct {
	waiting           map[conf.Item]int
	contended         map[conf.Item]int
	inflightByReplica map[string]int      // requests in flight, by replica
	inflightByItem    map[replicaItem]int // requests in flight within the extended window, by replica and item
}

func newTotals() totals {
	return totals{waiting: map[conf.Item]int{}, contended: map[conf.Item]int{}, inflightByReplica: map[string]int{}, inflightByItem: map[replicaItem]int{}}
}

// accumulateRecent adds or subtracts the current values of a report.
func (s *totals) accumulateRecent(d *Received, sign int) {
	for item, n := range d.Waiting {
		add(s.waiting, conf.ParseItem(item), sign*n)
	}
	for item, n := range d.Contended {
		add(s.contended, conf.ParseItem(item), sign*n)
	}
	for replica, items := range d.Inflight {
		for _, n := range items {
			add(s.inflightByReplica, replica, sign*n)
		}
	}
}

// accumulateExtended adds or subtracts requests that may still run although their edge no longer reports.
func (s *totals) accumulateExtended(d *Received, sign int) {
	for replica, items := range d.Inflight {
		for item, n := range items {
			add(s.inflightByItem, replicaItem{replica, item}, sign*n)
		}
	}
}

// add changes a counter and removes it when it reaches zero.
func add[K comparable](counters map[K]int, key K, by int) {
	if n := counters[key] + by; n != 0 {
		counters[key] = n
	} else {
		delete(counters, key)
	}
}

// copyCounters returns a copy that the caller may modify.
func copyCounters(counters map[conf.Item]int) map[conf.Item]int {
	out := make(map[conf.Item]int, len(counters))
	maps.Copy(out, counters)
	return out
}
