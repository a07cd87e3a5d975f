package queue

import (
	"sync/atomic"

	"drumstall.example/internal/conf"
)

// Tenant is the state of one tenant in weighted fair queueing between tenants. If no
// tenants are configured, one unnamed tenant owns all classes.
type Tenant struct {
	Name           string
	Inflight       atomic.Int64 // its requests at replicas now
	share          int
	weightedServed float64 // requests served so far divided by the share
}

// SetShares sets the shares of the tenants; an empty map disables tenants.
func (q *Queue) SetShares(shares map[string]int) {
	q.shares = shares
	for _, t := range q.tenants {
		t.share = shares[t.Name]
	}
}

// tenantOf returns the tenant of a class, created if needed.
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

// catchUp raises a tenant without waiters to the level of the tenants with waiters, so that it
// gets no credit for the time it was idle.
func (q *Queue) catchUp(t *Tenant) {
	low, others := 0.0, false
	for _, c := range q.classes {
		switch {
		case c.size == 0:
		case c.Tenant == t:
			return
		case !others || c.Tenant.weightedServed < low:
			low, others = c.Tenant.weightedServed, true
		}
	}
	t.weightedServed = max(t.weightedServed, low)
}

// sweepTenants removes tenants without any request, waiting or in flight.
func (q *Queue) sweepTenants() {
	used := map[*Tenant]bool{}
	for _, c := range q.classes {
		used[c.Tenant] = true
	}
	for name, t := range q.tenants {
		if !used[t] && t.Inflight.Load() == 0 {
			delete(q.tenants, name)
		}
	}
}

// OthersFraction returns the fraction of the attempts reserved for urgent requests that belongs to
// other tenants.
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
