package queue

import (
	"testing"

	"drumstall.example/internal/conf"
)

// classOf returns a class of a tenant.
func classOf(tenant string, urgent bool, weight int) conf.Class {
	return conf.Class{Tenant: tenant, Urgent: urgent, Weight: weight, Queue: 1000}
}

// Tenants are served by share first, whatever the urgency and weight of their classes.
// Within a tenant, urgency decides.
func TestTenantsAreServedByShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		shares   map[string]int
		ours     conf.Class
		theirs   conf.Class
		wantOurs int // of 40 served while both wait
	}{
		{"even shares", map[string]int{"ours": 1, "other": 1}, classOf("ours", false, 1), classOf("other", false, 1), 20},
		{"three to one", map[string]int{"ours": 3, "other": 1}, classOf("ours", false, 1), classOf("other", false, 1), 30},
		{"all of the other is urgent", map[string]int{"ours": 1, "other": 1}, classOf("ours", false, 1), classOf("other", true, 1), 20},
		{"all of ours is urgent", map[string]int{"ours": 1, "other": 1}, classOf("ours", true, 1), classOf("other", false, 1), 20},
		{"the other has a high weight", map[string]int{"ours": 1, "other": 1}, classOf("ours", false, 1), classOf("other", false, 1000), 20},
		{"a class without a tenant belongs to the default tenant", map[string]int{conf.DefaultTenant: 1, "other": 3}, classOf("", false, 1), classOf("other", true, 1), 10},
		{"without tenants urgent classes go first", nil, classOf("", false, 1), classOf("", true, 1), 0},
	} {
		q := New()
		q.SetShares(c.shares)
		pushWaiters(t, q, "ours", c.ours, "m", 40)
		pushWaiters(t, q, "theirs", c.theirs, "m", 40)
		if got := countPrefix(serve(q, 40), "ours"); got < c.wantOurs-1 || got > c.wantOurs+1 {
			t.Errorf("%s: %d of 40 served waiters are ours, want %d", c.name, got, c.wantOurs)
		}
	}
}

func TestUrgentClassesGoFirstWithinTenant(t *testing.T) {
	q := New()
	q.SetShares(map[string]int{"ours": 1, "other": 1})
	pushWaiters(t, q, "night", conf.Class{Tenant: "ours", Rank: 5, Weight: 9, Queue: 1000}, "m", 40)
	pushWaiters(t, q, "counter", conf.Class{Tenant: "ours", Weight: 1, Queue: 1000}, "m", 5)
	pushWaiters(t, q, "plates", classOf("ours", true, 1), "m", 5)
	pushWaiters(t, q, "bulk", classOf("other", true, 1), "m", 40)
	got := serve(q, 20)
	if countPrefix(got, "plates") != 5 || countPrefix(got, "counter") < 4 || countPrefix(got, "night") > 1 || countPrefix(got, "bulk") != 10 {
		t.Errorf("served %v", got)
	}
	// The least urgent class is not starved once the others are served.
	if got = serve(q, 20); countPrefix(got, "night") < 9 {
		t.Errorf("served %v", got)
	}
}

func TestReturningTenantIsServedAtOnceWithoutCredit(t *testing.T) {
	q := New()
	q.SetShares(map[string]int{"ours": 1, "other": 1})
	pushWaiters(t, q, "bulk", classOf("other", true, 1000), "m", 500)
	serve(q, 300)
	pushWaiters(t, q, "counter", classOf("ours", false, 1), "m", 50)
	got := serve(q, 20)
	if countPrefix(got[:2], "counter") != 1 || countPrefix(got, "counter") != 10 {
		t.Errorf("served %v", got)
	}
	// It becomes idle and returns: the share that it did not use is not made up for.
	for q.Class("counter", classOf("ours", false, 1)).Size() > 0 {
		serve(q, 1)
	}
	serve(q, 100)
	pushWaiters(t, q, "counter", classOf("ours", false, 1), "m", 50)
	if got = serve(q, 20); countPrefix(got, "counter") != 10 {
		t.Errorf("served after a pause: %v", got)
	}
}

func TestBlockedLaneDoesNotBlockOthers(t *testing.T) {
	q := New()
	q.SetShares(map[string]int{"ours": 1, "other": 1})
	pushWaiters(t, q, "ours", classOf("ours", false, 1), "cold", 40)
	pushWaiters(t, q, "theirs", classOf("other", false, 1), "m", 40)
	served := 0
	for range 40 {
		for _, c := range q.Order() {
			done := false
			c.EachLane(func(l *Lane) (bool, bool) {
				if l.Key == "cold" {
					return false, false
				}
				c.Pop(l)
				done = true
				return true, false
			})
			if done {
				served++
				break
			}
		}
	}
	if served != 40 {
		t.Errorf("%d of 40 rounds served a waiter that could be served", served)
	}
}

func TestIdleTenantsAreRemoved(t *testing.T) {
	q := New()
	q.SetShares(map[string]int{"ours": 1, "other": 3})
	pushWaiters(t, q, "ours", classOf("ours", false, 1), "m", 1)
	pushWaiters(t, q, "theirs", classOf("other", false, 1), "m", 1)
	of := q.Class("ours", classOf("ours", false, 1)).Tenant
	if got := q.OthersFraction(of); got != 0.75 {
		t.Errorf("the others' fraction is %v, want 0.75", got)
	}
	of.Inflight.Add(1)
	serve(q, 2)
	q.Sweep()
	if len(q.tenants) != 1 || q.tenants["ours"] != of {
		t.Errorf("kept %v, want only the tenant with a request in flight", q.tenants)
	}
	of.Inflight.Add(-1)
	q.Sweep()
	if len(q.tenants) != 0 {
		t.Errorf("kept %v, want none", q.tenants)
	}
}
