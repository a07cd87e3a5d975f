package report

import (
	"maps"
	"time"

	"github.com/gammazero/deque"

	"drumstall.example/internal/conf"
)

// window is the newest report of each edge that was heard within a span; count is
// told of each that comes in (1) and of each that is replaced or too old (-1).
type window struct {
	span       time.Duration
	accumulate func(d *Received, sign int)
	current    map[string]*Received // by agent
	arrivals   deque.Deque[arrival] // oldest first; those of replaced reports too
}

// arrival is when a report of an edge came.
type arrival struct {
	agent string
	at    time.Duration
}

func newWindow(span time.Duration, count func(d *Received, sign int)) window {
	return window{span: span, accumulate: count, current: map[string]*Received{}}
}

// put takes a report in place of the one before of its edge.
func (w *window) put(d *Received) {
	if was := w.current[d.Agent]; was != nil {
		w.accumulate(was, -1)
	}
	w.accumulate(d, 1)
	w.current[d.Agent] = d
	w.arrivals.PushBack(arrival{d.Agent, d.At})
	w.expire(d.At)
}

// expire takes out what is too old.
func (w *window) expire(now time.Duration) {
	for w.arrivals.Len() > 0 && now-w.arrivals.Front().at >= w.span {
		old := w.arrivals.PopFront()
		if d := w.current[old.agent]; d != nil && d.At == old.at {
			w.accumulate(d, -1)
			delete(w.current, old.agent)
		}
	}
}

// place is an item on a replica.
type replicaItem struct{ replica, item string }

// sums are what the reports within a window count together.
type totals struct {
	waiting           map[conf.Item]int
	contended         map[conf.Item]int
	inflightByReplica map[string]int      // requests in flight, by replica
	inflightByItem    map[replicaItem]int // requests in flight by the reports of a longer span, by replica and item
}

func newTotals() totals {
	return totals{waiting: map[conf.Item]int{}, contended: map[conf.Item]int{}, inflightByReplica: map[string]int{}, inflightByItem: map[replicaItem]int{}}
}

// countPresent counts what is of the moment.
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

// countLately counts what may still run though its edge went silent.
func (s *totals) accumulateExtended(d *Received, sign int) {
	for replica, items := range d.Inflight {
		for item, n := range items {
			add(s.inflightByItem, replicaItem{replica, item}, sign*n)
		}
	}
}

// add changes a counter; one that is at zero is not kept.
func add[K comparable](counters map[K]int, key K, by int) {
	if n := counters[key] + by; n != 0 {
		counters[key] = n
	} else {
		delete(counters, key)
	}
}

// copied is counters that whoever asked may change.
func copyCounters(counters map[conf.Item]int) map[conf.Item]int {
	out := make(map[conf.Item]int, len(counters))
	maps.Copy(out, counters)
	return out
}
