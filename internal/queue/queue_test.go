package queue

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/route"
)

func pushWaiters(t *testing.T, q *Queue, class string, c conf.Class, model string, n int) {
	t.Helper()
	now := time.Now()
	for range n {
		target := route.Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: model}}
		if !q.Push(q.Class(class, c), NewWaiter(target, class, now, now.Add(time.Minute))) {
			t.Fatalf("%s has no place", class)
		}
	}
}

// serve takes n waiters as admission does, and says whose they were.
func serve(q *Queue, n int) []string {
	var out []string
	for range n {
		for _, c := range q.Order() {
			before := len(out)
			c.EachLane(func(l *Lane) (bool, bool) {
				out = append(out, c.Pop(l).Class+" "+l.Key)
				return true, false
			})
			if len(out) > before {
				break
			}
		}
	}
	return out
}

func countPrefix(served []string, prefix string) int {
	n := 0
	for _, s := range served {
		if strings.HasPrefix(s, prefix) {
			n++
		}
	}
	return n
}

// Urgent ones go first however long others have waited; the others share by
// weight, and within a class the items take turns.
func TestServiceOrder(t *testing.T) {
	q := New()
	pushWaiters(t, q, "batch", conf.Class{Weight: 1, Queue: 100}, "a", 50)
	pushWaiters(t, q, "desk", conf.Class{Weight: 4, Queue: 100}, "a", 40)
	pushWaiters(t, q, "desk", conf.Class{Weight: 4, Queue: 100}, "b", 40)
	if got := serve(q, 50); countPrefix(got, "desk") != 40 || countPrefix(got, "desk a") != 20 {
		t.Errorf("of 50 served %d were of the class with four fifths of the weight, %d of them of the first of its two items", countPrefix(got, "desk"), countPrefix(got, "desk a"))
	}
	pushWaiters(t, q, "roadside", conf.Class{Urgent: true, Weight: 1, Queue: 100}, "a", 5)
	if got := serve(q, 6); countPrefix(got[:5], "roadside") != 5 || countPrefix(got[5:], "roadside") != 0 {
		t.Errorf("urgent ones were not served first: %v", got)
	}
	// A class that was away does not claim what it missed.
	pushWaiters(t, q, "staff", conf.Class{Weight: 4, Queue: 100}, "a", 40)
	if got := serve(q, 18); countPrefix(got, "staff") > 9 || countPrefix(got, "staff") < 7 {
		t.Errorf("a class that comes late got %d of 18: %v", countPrefix(got, "staff"), got)
	}
}

// A queue is bounded; what has been withdrawn makes place and is never sent.
func TestQueueIsBounded(t *testing.T) {
	q := New()
	c := q.Class("desk", conf.Class{Weight: 1, Queue: 3})
	var all []*Waiter
	now := time.Now()
	try := func() bool {
		x := NewWaiter(route.Target{Route: conf.Route{Kind: "model"}, Item: conf.Item{Model: fmt.Sprint(len(all))}}, "desk", now, now)
		all = append(all, x)
		return q.Push(c, x)
	}
	for i := range 4 {
		if try() != (i < 3) {
			t.Fatalf("waiter %d of a queue of 3", i+1)
		}
	}
	if !all[1].Withdraw() || all[1].Claim() {
		t.Error("a withdrawn waiter can be sent")
	}
	if !all[2].Claim() || all[2].Withdraw() {
		t.Error("a waiter that was sent can be withdrawn as not run")
	}
	if !try() {
		t.Error("those that no longer wait take places")
	}
	if q.Sweep(); c.Size() != 2 {
		t.Errorf("%d are held, 2 wait", c.Size())
	}
}
