package queue

import (
	"sync/atomic"

	"drumstall.example/internal/conf"
)

// Tenant is the turn of one tenant among those with requests that wait. Without
// tenants there is one for all.
type Tenant struct {
	Name           string
	Inflight       atomic.Int64 // its requests that are out now
	share          int
	weightedServed float64 // requests served so far over the share
}

// SetShares gives tenants their shares; none is to do without tenants.
func (q *Queue) SetShares(shares map[string]int) {
	q.shares = shares
	for _, t := range q.tenants {
		t.share = shares[t.Name]
	}
}

// tenant is that of a class.
func (q *Queue) tenantOf(c conf.Class) *Tenant {
	name := ""
	if len(q.shares) > 0 {
		if name = c.Tenant; name == "" {
			name = conf.DefaultTenant
		}
	}
	t := q.tenants[name]
	if t == nil {
		t = &Tenant{Name: name, share: q.shares[name]}
		q.tenants[name] = t
	}
	return t
}

// welcome lets a tenant that was away start with the others, so that it cannot
// claim the past.
func (q *Queue) catchUp(t *Tenant) {
	low, others := 0.0, false
	for _, c := range q.classes {
		switch {
		case c.size == 0:
		case c.Of == t:
			return
		case !others || c.Of.weightedServed < low:
			low, others = c.Of.weightedServed, true
		}
	}
	t.weightedServed = max(t.weightedServed, low)
}

// sweepTenants forgets tenants without any request, waiting or out.
func (q *Queue) sweepTenants() {
	used := map[*Tenant]bool{}
	for _, c := range q.classes {
		used[c.Of] = true
	}
	for name, t := range q.tenants {
		if !used[t] && t.Inflight.Load() == 0 {
			delete(q.tenants, name)
		}
	}
}

// OthersPart is the part of what is kept for urgent requests that is other
// tenants' than this one's.
func (q *Queue) OthersFraction(t *Tenant) float64 {
	sum := 0
	for _, share := range q.shares {
		sum += share
	}
	if sum == 0 {
		return 0
	}
	return 1 - float64(t.share)/float64(sum)
}
