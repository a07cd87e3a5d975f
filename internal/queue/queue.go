// Package queue holds requests until a replica can take them: by class and
// by what they need, bounded, each with a deadline.
package queue

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gammazero/deque"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/route"
)

// Waiter states. Claiming for an attempt and withdrawing are the same one step, so
// a request told "not run" can never be sent afterwards.
const (
	waiting int32 = iota
	claimed
	withdrawn
)

// Waiter is a request that waits.
type Waiter struct {
	Target     route.Target
	Class      string
	Deadline   time.Time
	EnqueuedAt time.Time
	state      atomic.Int32
	Answer     chan Answer // one place
}

// Answer ends the wait: a replica, or the reason why there will be none.
type Answer struct {
	Replica     *route.Replica
	Begun       func() // the first piece of the answer has come
	Done        func()
	Explanation string
	Late        bool
	RetryS      int
}

// NewWaiter is a request that waits until the deadline.
func NewWaiter(target route.Target, class string, now, deadline time.Time) *Waiter {
	return &Waiter{Target: target, Class: class, EnqueuedAt: now, Deadline: deadline, Answer: make(chan Answer, 1)}
}

// Claim takes the waiter for an attempt.
func (w *Waiter) Claim() bool { return w.state.CompareAndSwap(waiting, claimed) }

// Withdraw takes the waiter out; after that it can never be sent.
func (w *Waiter) Withdraw() bool { return w.state.CompareAndSwap(waiting, withdrawn) }

// Waits says whether the waiter still waits.
func (w *Waiter) IsWaiting() bool { return w.state.Load() == waiting }

// Lane is the waiters of one class that need the same.
type Lane struct {
	Key     string
	Waiters deque.Deque[*Waiter]
	Empty   time.Time // since when nobody has held what it needs; zero: somebody does
}

// Class is the queue of one class of clients.
type Class struct {
	Name           string
	Conf           conf.Class
	Of             *Tenant
	lanes          map[string]*Lane
	laneOrder      []string
	size           int
	weightedServed float64 // attempts so far over weight, for a fair share
}

// Queue is all requests that wait at a proxy, by class; one actor owns it.
type Queue struct {
	classes map[string]*Class
	tenants map[string]*Tenant
	shares  map[string]int
}

// New is an empty queue.
func New() *Queue { return &Queue{classes: map[string]*Class{}, tenants: map[string]*Tenant{}} }

// Class gives a class its queue, with the bounds now in force.
func (q *Queue) Class(name string, c conf.Class) *Class {
	cl := q.classes[name]
	if cl == nil {
		cl = &Class{Name: name, lanes: map[string]*Lane{}, weightedServed: q.minWeightedServed()}
		q.classes[name] = cl
	}
	cl.Conf, cl.Of = c, q.tenantOf(c)
	return cl
}

// least is where a class that was away starts, so that it cannot claim the past.
func (q *Queue) minWeightedServed() float64 {
	low, any := 0.0, false
	for _, c := range q.classes {
		if c.size > 0 && (!any || c.weightedServed < low) {
			low, any = c.weightedServed, true
		}
	}
	return low
}

// Put adds a waiter; false when the class has no place left.
func (q *Queue) Push(c *Class, w *Waiter) bool {
	if c.size >= c.Conf.Queue {
		c.sweep()
		if c.size >= c.Conf.Queue {
			return false
		}
	}
	if c.size == 0 {
		c.weightedServed = max(c.weightedServed, q.minWeightedServed())
	}
	q.catchUp(c.Of)
	key := w.Target.Lane()
	l := c.lanes[key]
	if l == nil {
		l = &Lane{Key: key}
		c.lanes[key] = l
		c.laneOrder = append(c.laneOrder, key)
	}
	l.Waiters.PushBack(w)
	c.size++
	return true
}

// sweep lets go of waiters that no longer wait.
func (c *Class) sweep() {
	kept := c.laneOrder[:0]
	for _, key := range c.laneOrder {
		l := c.lanes[key]
		for n := l.Waiters.Len(); n > 0; n-- {
			if w := l.Waiters.PopFront(); w.IsWaiting() {
				l.Waiters.PushBack(w)
			} else {
				c.size--
			}
		}
		if l.Waiters.Len() == 0 {
			delete(c.lanes, key)
			continue
		}
		kept = append(kept, key)
	}
	c.laneOrder = kept
}

// Sweep lets go of all waiters that no longer wait, and of empty classes.
func (q *Queue) Sweep() {
	for name, c := range q.classes {
		c.sweep()
		if c.size == 0 {
			delete(q.classes, name)
		}
	}
	q.sweepTenants()
}

// Known says whether there are classes that a sweep may let go of.
func (q *Queue) HasClasses() bool { return len(q.classes) > 0 }

// Holds says whether there are waiters, whether they still wait or not.
func (q *Queue) HasWaiters() bool {
	for _, c := range q.classes {
		if c.size > 0 {
			return true
		}
	}
	return false
}

// Order is the classes with waiters in the order in which they are served: of the
// tenant first that has had the least for its share, and within a tenant urgent ones first, then by rank, then whoever has had the least for its weight.
func (q *Queue) Order() []*Class {
	var out []*Class
	for _, c := range q.classes {
		if c.size > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Class) int {
		if a.Of != b.Of {
			return cmp.Or(cmp.Compare(a.Of.weightedServed, b.Of.weightedServed), cmp.Compare(a.Of.Name, b.Of.Name))
		}
		if a.Conf.Urgent != b.Conf.Urgent {
			if a.Conf.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Conf.Rank, b.Conf.Rank), cmp.Compare(a.weightedServed, b.weightedServed), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Lanes calls f with each lane in turn until it says stop; the turn goes on
// behind the lane that was served.
func (c *Class) EachLane(f func(l *Lane) (served, stop bool)) {
	for i := 0; i < len(c.laneOrder); i++ {
		l := c.lanes[c.laneOrder[i]]
		if c.front(l) == nil {
			continue
		}
		served, stop := f(l)
		if served {
			c.laneOrder = append(c.laneOrder[i+1:], c.laneOrder[:i+1]...)
			return
		}
		if stop {
			return
		}
	}
}

// Pop takes the front waiter of a lane and counts it as served.
func (c *Class) Pop(l *Lane) *Waiter {
	c.size--
	c.weightedServed += 1 / float64(max(c.Conf.Weight, 1))
	c.Of.weightedServed += 1 / float64(max(c.Of.share, 1))
	return l.Waiters.PopFront()
}

// Waiting counts the waiters of model lanes, by item.
func (q *Queue) Waiting() map[string]int {
	out := map[string]int{}
	for _, c := range q.classes {
		for key, l := range c.lanes {
			for i := range l.Waiters.Len() {
				if w := l.Waiters.At(i); w.IsWaiting() && w.Target.Route.Kind == "model" {
					out[key]++
				}
			}
		}
	}
	return out
}

// front lets go of waiters at a lane's front that no longer wait, and gives the
// first that does; nil when there is none.
func (c *Class) front(l *Lane) *Waiter {
	for l.Waiters.Len() > 0 {
		if w := l.Waiters.Front(); w.IsWaiting() {
			return w
		}
		l.Waiters.PopFront()
		c.size--
	}
	return nil
}

// Oldest is the waiter that has waited longest for what w needs.
func (c *Class) Oldest(w *Waiter) *Waiter {
	if l := c.lanes[w.Target.Lane()]; l != nil {
		if first := c.front(l); first != nil {
			return first
		}
	}
	return w
}

// Size is how many waiters a class holds.
func (c *Class) Size() int { return c.size }
