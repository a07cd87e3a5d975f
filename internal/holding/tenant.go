package holding

import (
	"sync/atomic"

	"drumstall.example/internal/conf"
)

// Tenant is the turn of one tenant among those with requests that wait. Without
// tenants there is one for all.
type Tenant struct {
	Name  string
	Out   atomic.Int64 // its requests that are out now
	share int
	spent float64 // requests served so far over the share
}

// SetShares gives tenants their shares; none is to do without tenants.
func (h *Hall) SetShares(shares map[string]int) {
	h.shares = shares
	for _, t := range h.tenants {
		t.share = shares[t.Name]
	}
}

// tenant is that of a class.
func (h *Hall) tenant(c conf.Class) *Tenant {
	name := ""
	if len(h.shares) > 0 {
		if name = c.Tenant; name == "" {
			name = conf.DefaultTenant
		}
	}
	t := h.tenants[name]
	if t == nil {
		t = &Tenant{Name: name, share: h.shares[name]}
		h.tenants[name] = t
	}
	return t
}

// welcome lets a tenant that was away start with the others, so that it cannot
// claim the past.
func (h *Hall) welcome(t *Tenant) {
	low, others := 0.0, false
	for _, c := range h.classes {
		switch {
		case c.size == 0:
		case c.Of == t:
			return
		case !others || c.Of.spent < low:
			low, others = c.Of.spent, true
		}
	}
	t.spent = max(t.spent, low)
}

// sweepTenants forgets tenants without any request, waiting or out.
func (h *Hall) sweepTenants() {
	used := map[*Tenant]bool{}
	for _, c := range h.classes {
		used[c.Of] = true
	}
	for name, t := range h.tenants {
		if !used[t] && t.Out.Load() == 0 {
			delete(h.tenants, name)
		}
	}
}

// OthersPart is the part of what is kept for urgent requests that is other
// tenants' than this one's.
func (h *Hall) OthersPart(t *Tenant) float64 {
	sum := 0
	for _, share := range h.shares {
		sum += share
	}
	if sum == 0 {
		return 0
	}
	return 1 - float64(t.share)/float64(sum)
}
