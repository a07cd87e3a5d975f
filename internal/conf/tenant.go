package conf

import "fmt"

// DefaultTenant is the tenant of classes that name none. It has share 1 unless
// an object of its name says otherwise.
const DefaultTenant = "default"

// Tenant is an owner of classes that shares the fleet with others.
type Tenant struct {
	Share int // its weight among the tenants that want something
}

// Ranks is how many steps of urgency there are within a tenant.
const Ranks = 11

// Urgency is the step of a class within its tenant: 0 for urgent classes, then
// by rank; a lower one stays ahead.
func (c Class) Urgency() int {
	if c.Urgent {
		return 0
	}
	return min(1+max(c.Rank, 0), Ranks-1)
}

// HasTenants says whether anything is shared between tenants at all.
func (e Effective) HasTenants() bool { return len(e.Tenants) > 0 }

// TenantOf is the tenant of a class.
func (e Effective) TenantOf(class string) string {
	if t := e.Classes[class].Tenant; t != "" {
		return t
	}
	return DefaultTenant
}

// ShareOf is the weight of a tenant.
func (e Effective) ShareOf(tenant string) int {
	if t, found := e.Tenants[tenant]; found {
		return max(t.Share, 1)
	}
	return 1
}

// Shares are the weights of all tenants, the default one among them if a class is
// its own; none without tenants. Nobody may change them.
func (e Effective) Shares() map[string]int { return e.shares }

func (e Effective) sumShares() map[string]int {
	out := map[string]int{}
	if !e.HasTenants() {
		return out
	}
	for name := range e.Tenants {
		out[name] = e.ShareOf(name)
	}
	for name := range e.Classes {
		tenant := e.TenantOf(name)
		out[tenant] = e.ShareOf(tenant)
	}
	return out
}

// tenantReferences tells which classes name a tenant that is not there.
func (e Effective) tenantReferences() Faults {
	var faults Faults
	for _, name := range sorted(e.Classes) {
		tenant := e.Classes[name].Tenant
		if _, found := e.Tenants[tenant]; !found && tenant != "" {
			faults = append(faults, fmt.Sprintf("classes/%s.tenant: no tenant %q", name, tenant))
		}
	}
	return faults
}
