// Package holding holds requests until a replica can take them: by class and
// by what they need, bounded, each with a deadline.
package holding

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gammazero/deque"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/route"
)

// Ticket states. Claiming for a shot and withdrawing are the same one step, so
// a request told "not run" can never be shot afterwards.
const (
	waiting int32 = iota
	claimed
	withdrawn
)

// Ticket is one request that waits.
type Ticket struct {
	Target   route.Target
	Class    string
	Deadline time.Time
	Since    time.Time
	state    atomic.Int32
	Answer   chan Answer // one place
}

// Answer ends the wait: a replica, or the reason why there will be none.
type Answer struct {
	Replica *route.Replica
	Begun   func() // the first piece of the answer has come
	Done    func()
	Why     string
	Late    bool
	RetryS  int
}

// NewTicket is a request that waits until the deadline.
func NewTicket(t route.Target, class string, now, deadline time.Time) *Ticket {
	return &Ticket{Target: t, Class: class, Since: now, Deadline: deadline, Answer: make(chan Answer, 1)}
}

// Claim takes the ticket for a shot.
func (t *Ticket) Claim() bool { return t.state.CompareAndSwap(waiting, claimed) }

// Withdraw takes the ticket out; after that it can never be shot.
func (t *Ticket) Withdraw() bool { return t.state.CompareAndSwap(waiting, withdrawn) }

// Waits says whether the ticket still waits.
func (t *Ticket) Waits() bool { return t.state.Load() == waiting }

// Lane is the tickets of one class that need the same.
type Lane struct {
	Key     string
	Tickets deque.Deque[*Ticket]
	Empty   time.Time // since when nobody has held what it needs; zero: somebody does
}

// Class is the holding of one class of clients.
type Class struct {
	Name  string
	Conf  conf.Class
	Of    *Tenant
	lanes map[string]*Lane
	turn  []string
	size  int
	spent float64 // shots so far over weight, for a fair share
}

// Hall is all holdings of a proxy; one desk owns it.
type Hall struct {
	classes map[string]*Class
	tenants map[string]*Tenant
	shares  map[string]int
}

// NewHall is empty.
func NewHall() *Hall { return &Hall{classes: map[string]*Class{}, tenants: map[string]*Tenant{}} }

// Class gives a class its holding, with the bounds now in force.
func (h *Hall) Class(name string, c conf.Class) *Class {
	cl := h.classes[name]
	if cl == nil {
		cl = &Class{Name: name, lanes: map[string]*Lane{}, spent: h.least()}
		h.classes[name] = cl
	}
	cl.Conf, cl.Of = c, h.tenant(c)
	return cl
}

// least is where a class that was away starts, so that it cannot claim the past.
func (h *Hall) least() float64 {
	low, any := 0.0, false
	for _, c := range h.classes {
		if c.size > 0 && (!any || c.spent < low) {
			low, any = c.spent, true
		}
	}
	return low
}

// Put adds a ticket; false when the class has no place left.
func (h *Hall) Put(c *Class, t *Ticket) bool {
	if c.size >= c.Conf.Holding {
		c.sweep()
		if c.size >= c.Conf.Holding {
			return false
		}
	}
	if c.size == 0 {
		c.spent = max(c.spent, h.least())
	}
	h.welcome(c.Of)
	key := t.Target.Lane()
	l := c.lanes[key]
	if l == nil {
		l = &Lane{Key: key}
		c.lanes[key] = l
		c.turn = append(c.turn, key)
	}
	l.Tickets.PushBack(t)
	c.size++
	return true
}

// sweep lets go of tickets that no longer wait.
func (c *Class) sweep() {
	kept := c.turn[:0]
	for _, key := range c.turn {
		l := c.lanes[key]
		for n := l.Tickets.Len(); n > 0; n-- {
			if t := l.Tickets.PopFront(); t.Waits() {
				l.Tickets.PushBack(t)
			} else {
				c.size--
			}
		}
		if l.Tickets.Len() == 0 {
			delete(c.lanes, key)
			continue
		}
		kept = append(kept, key)
	}
	c.turn = kept
}

// Sweep lets go of all tickets that no longer wait, and of empty classes.
func (h *Hall) Sweep() {
	for name, c := range h.classes {
		c.sweep()
		if c.size == 0 {
			delete(h.classes, name)
		}
	}
	h.sweepTenants()
}

// Known says whether there are classes that a sweep may let go of.
func (h *Hall) Known() bool { return len(h.classes) > 0 }

// Holds says whether there are tickets, whether they still wait or not.
func (h *Hall) Holds() bool {
	for _, c := range h.classes {
		if c.size > 0 {
			return true
		}
	}
	return false
}

// Order is the classes with tickets in the order in which they are served: of the
// tenant first that has had the least for its share, and within a tenant urgent ones first, then by rank, then whoever has had the least for its weight.
func (h *Hall) Order() []*Class {
	var out []*Class
	for _, c := range h.classes {
		if c.size > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *Class) int {
		if a.Of != b.Of {
			return cmp.Or(cmp.Compare(a.Of.spent, b.Of.spent), cmp.Compare(a.Of.Name, b.Of.Name))
		}
		if a.Conf.Urgent != b.Conf.Urgent {
			if a.Conf.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Conf.Rank, b.Conf.Rank), cmp.Compare(a.spent, b.spent), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Lanes calls f with each lane in turn until it says stop; the turn goes on
// behind the lane that was served.
func (c *Class) Lanes(f func(l *Lane) (served, stop bool)) {
	for i := 0; i < len(c.turn); i++ {
		l := c.lanes[c.turn[i]]
		if c.front(l) == nil {
			continue
		}
		served, stop := f(l)
		if served {
			c.turn = append(c.turn[i+1:], c.turn[:i+1]...)
			return
		}
		if stop {
			return
		}
	}
}

// Pop takes the front ticket of a lane and counts it as served.
func (c *Class) Pop(l *Lane) *Ticket {
	c.size--
	c.spent += 1 / float64(max(c.Conf.Weight, 1))
	c.Of.spent += 1 / float64(max(c.Of.share, 1))
	return l.Tickets.PopFront()
}

// Waiting counts the tickets of model lanes, by item.
func (h *Hall) Waiting() map[string]int {
	out := map[string]int{}
	for _, c := range h.classes {
		for key, l := range c.lanes {
			for i := range l.Tickets.Len() {
				if t := l.Tickets.At(i); t.Waits() && t.Target.Route.Kind == "model" {
					out[key]++
				}
			}
		}
	}
	return out
}

// front lets go of tickets at a lane's front that no longer wait, and gives the
// first that does; nil when there is none.
func (c *Class) front(l *Lane) *Ticket {
	for l.Tickets.Len() > 0 {
		if t := l.Tickets.Front(); t.Waits() {
			return t
		}
		l.Tickets.PopFront()
		c.size--
	}
	return nil
}

// Oldest is the ticket that has waited longest for what t needs.
func (c *Class) Oldest(t *Ticket) *Ticket {
	if l := c.lanes[t.Target.Lane()]; l != nil {
		if first := c.front(l); first != nil {
			return first
		}
	}
	return t
}

// Size is how many tickets a class holds.
func (c *Class) Size() int { return c.size }
