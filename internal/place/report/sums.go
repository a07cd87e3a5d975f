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
	span  time.Duration
	count func(d *Dated, sign int)
	in    map[string]*Dated    // by agent
	came  deque.Deque[arrival] // oldest first; those of replaced reports too
}

// arrival is when a report of an edge came.
type arrival struct {
	agent string
	at    time.Duration
}

func newWindow(span time.Duration, count func(d *Dated, sign int)) window {
	return window{span: span, count: count, in: map[string]*Dated{}}
}

// put takes a report in place of the one before of its edge.
func (w *window) put(d *Dated) {
	if was := w.in[d.Agent]; was != nil {
		w.count(was, -1)
	}
	w.count(d, 1)
	w.in[d.Agent] = d
	w.came.PushBack(arrival{d.Agent, d.At})
	w.expire(d.At)
}

// expire takes out what is too old.
func (w *window) expire(now time.Duration) {
	for w.came.Len() > 0 && now-w.came.Front().at >= w.span {
		old := w.came.PopFront()
		if d := w.in[old.agent]; d != nil && d.At == old.at {
			w.count(d, -1)
			delete(w.in, old.agent)
		}
	}
}

// place is an item on a replica.
type place struct{ replica, item string }

// sums are what the reports within a window count together.
type sums struct {
	waiting map[conf.Item]int
	pressed map[conf.Item]int
	on      map[string]int // requests in flight, by replica
	lately  map[place]int  // requests in flight by the reports of a longer span, by replica and item
}

func newSums() sums {
	return sums{waiting: map[conf.Item]int{}, pressed: map[conf.Item]int{}, on: map[string]int{}, lately: map[place]int{}}
}

// countPresent counts what is of the moment.
func (s *sums) countPresent(d *Dated, sign int) {
	for item, n := range d.Waiting {
		add(s.waiting, conf.ParseItem(item), sign*n)
	}
	for item, n := range d.Pressed {
		add(s.pressed, conf.ParseItem(item), sign*n)
	}
	for replica, items := range d.Inflight {
		for _, n := range items {
			add(s.on, replica, sign*n)
		}
	}
}

// countLately counts what may still run though its edge went silent.
func (s *sums) countLately(d *Dated, sign int) {
	for replica, items := range d.Inflight {
		for item, n := range items {
			add(s.lately, place{replica, item}, sign*n)
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
func copied(counters map[conf.Item]int) map[conf.Item]int {
	out := make(map[conf.Item]int, len(counters))
	maps.Copy(out, counters)
	return out
}
