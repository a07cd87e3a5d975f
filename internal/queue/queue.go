// Package queue holds the requests of a proxy that wait for a replica. Waiters are
// queued by class and by what they need; each class is bounded and each waiter
// has a deadline.
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

// Waiter states. Claiming for an attempt and withdrawing are transitions of one atomic state, so
// a request that was answered "not run" can never be sent afterwards.
const (
	waiting int32 = iota
	claimed
	withdrawn
)

// Waiter is a request that waits for a replica.
type Waiter struct {
	Target     route.Target
	Class      string
	Deadline   time.Time
	EnqueuedAt time.Time
	state      atomic.Int32
	Answer     chan Answer // buffered, one element
}

// Answer ends a wait. It holds either a replica or an explanation why the request was rejected.
type Answer struct {
	Replica      *route.Replica
	OnFirstChunk func() // called when the first chunk of the replica's answer arrives
	Done         func()
	Explanation  string
	Late         bool
	RetryS       int
}

// NewWaiter returns a waiter that was enqueued at now and waits until the deadline.
func NewWaiter(target route.Target, class string, now, deadline time.Time) *Waiter {
	return &Waiter{Target: target, Class: class, EnqueuedAt: now, Deadline: deadline, Answer: make(chan Answer, 1)}
}

// Claim reserves the waiter for an attempt. It reports false if the waiter was claimed or withdrawn before.
func (w *Waiter) Claim() bool { return w.state.CompareAndSwap(waiting, claimed) }

// Withdraw cancels the waiter, which can never be sent afterwards. It reports false if the waiter was claimed or withdrawn
// before.
func (w *Waiter) Withdraw() bool { return w.state.CompareAndSwap(waiting, withdrawn) }

// IsWaiting reports whether the waiter has been neither claimed nor withdrawn.
func (w *Waiter) IsWaiting() bool { return w.state.Load() == waiting }

// Lane holds the waiters of one class that need the same item or service, in order of arrival.
type Lane struct {
	Key           string
	Waiters       deque.Deque[*Waiter]
	NoHolderSince time.Time // since when no replica has held what it needs; zero if one does
}

// Class is the queue of one request class.
type Class struct {
	Name           string
	Conf           conf.Class
	Tenant         *Tenant
	lanes          map[string]*Lane
	laneOrder      []string
	size           int
	weightedServed float64 // waiters served so far divided by the weight, for weighted fair queueing
}

// Queue holds all requests that wait at a proxy, by class. It is owned by one actor and not safe for concurrent use.
type Queue struct {
	classes map[string]*Class
	tenants map[string]*Tenant
	shares  map[string]int
}

// New returns an empty queue.
func New() *Queue { return &Queue{classes: map[string]*Class{}, tenants: map[string]*Tenant{}} }

// Class returns the queue of a class, created if needed, with the given configuration applied.
func (q *Queue) Class(name string, c conf.Class) *Class {
	cl := q.classes[name]
	if cl == nil {
		cl = &Class{Name: name, lanes: map[string]*Lane{}, weightedServed: q.minWeightedServed()}
		q.classes[name] = cl
	}
	cl.Conf, cl.Tenant = c, q.tenantOf(c)
	return cl
}

// minWeightedServed returns the lowest weightedServed of the classes with waiters. A class that was idle
// starts there, so that it gets no credit for the time it was idle.
func (q *Queue) minWeightedServed() float64 {
	low, any := 0.0, false
	for _, c := range q.classes {
		if c.size > 0 && (!any || c.weightedServed < low) {
			low, any = c.weightedServed, true
		}
	}
	return low
}

// Push adds a waiter. It reports false if the queue of the class is full.
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
	q.catchUp(c.Tenant)
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

// sweep removes waiters that no longer wait, and empty lanes.
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

// Sweep removes all waiters that no longer wait, then empty classes and idle tenants.
func (q *Queue) Sweep() {
	for name, c := range q.classes {
		c.sweep()
		if c.size == 0 {
			delete(q.classes, name)
		}
	}
	q.sweepTenants()
}

// HasClasses reports whether there are classes that a sweep may remove.
func (q *Queue) HasClasses() bool { return len(q.classes) > 0 }

// HasWaiters reports whether the queue holds any waiters, including those that no longer wait.
func (q *Queue) HasWaiters() bool {
	for _, c := range q.classes {
		if c.size > 0 {
			return true
		}
	}
	return false
}

// Order returns the classes with waiters in the order in which they are served: first the classes of the
// tenant that was served least for its share; within a tenant the urgent ones first, then by rank, then the
// class that was served least for its weight.
func (q *Queue) Order() []*Class {
	var out []*Class
	for _, c := range q.classes {
		if c.size > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Class) int {
		if a.Tenant != b.Tenant {
			return cmp.Or(cmp.Compare(a.Tenant.weightedServed, b.Tenant.weightedServed), cmp.Compare(a.Tenant.Name, b.Tenant.Name))
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

// EachLane calls f for each lane with a waiter, in round-robin order, until f reports that it served the lane or
// wants to stop. The next round begins after the lane that was served.
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

// Pop removes the front waiter of a lane and counts it as served.
func (c *Class) Pop(l *Lane) *Waiter {
	c.size--
	c.weightedServed += 1 / float64(max(c.Conf.Weight, 1))
	c.Tenant.weightedServed += 1 / float64(max(c.Tenant.share, 1))
	return l.Waiters.PopFront()
}

// Waiting returns the number of waiters for models, by item.
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

// front removes waiters that no longer wait from the front of a lane and returns the
// first one that does; nil if there is none.
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

// Oldest returns the waiter of the class that has waited longest for what w needs.
func (c *Class) Oldest(w *Waiter) *Waiter {
	if l := c.lanes[w.Target.Lane()]; l != nil {
		if first := c.front(l); first != nil {
			return first
		}
	}
	return w
}

// Size returns the number of waiters in the class, including those that no longer wait and have not been removed yet.
func (c *Class) Size() int { return c.size }
