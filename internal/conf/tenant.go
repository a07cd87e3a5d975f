package conf

import (
	"crypto/sha256"
	"fmt"
)

// DefaultTenant is the tenant of classes that name none. It has share 1 unless
// an object of its name says otherwise.
const DefaultTenant = "default"

// Tenant is an owner of requests: of those of its classes, and of those whose
// callers bear one of its keys.
type Tenant struct {
	Share int      // its weight among the tenants that want something; 0 takes no part
	Keys  []string // that its callers bear
	Class string   // of the requests that bear a key of it, in place of their route's; "" keeps that
}

// Ranks is how many steps of urgency there are within a tenant.
const UrgencyLevels = 11

// Urgency is the step of a class within its tenant: 0 for urgent classes, then
// by rank; a lower one stays ahead.
func (c Class) Urgency() int {
	if c.Urgent {
		return 0
	}
	return min(1+max(c.Rank, 0), UrgencyLevels-1)
}

// HasTenants says whether anything is shared between tenants at all.
func (e Effective) HasTenants() bool { return len(e.shares) > 0 }

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

func (e Effective) computeShares() map[string]int {
	out := map[string]int{}
	for name, t := range e.Tenants {
		if t.Share > 0 {
			out[name] = t.Share
		}
	}
	if len(out) == 0 {
		return out
	}
	for name := range e.Classes {
		tenant := e.TenantOf(name)
		out[tenant] = e.ShareOf(tenant)
	}
	return out
}

// digest is what a key is looked up by. Why: how long a look-up takes must tell nothing of the keys.
type keyHash [sha256.Size]byte

// TenantOfKey is the tenant whose callers bear a key.
func (e Effective) TenantOfKey(key string) (tenant string, known bool) {
	tenant, known = e.tenantByKey[sha256.Sum256([]byte(key))]
	return tenant, known
}

// sumKeys makes what keys are looked up by. Two tenants may not have one key; a fault
// names the tenants and not the key.
func (e Effective) indexKeys() (map[keyHash]string, ValidationErrors) {
	var faults ValidationErrors
	out := map[keyHash]string{}
	for _, name := range sorted(e.Tenants) {
		for _, key := range e.Tenants[name].Keys {
			if key == "" {
				faults = append(faults, fmt.Sprintf("tenants/%s.keys: a key is empty", name))
				continue
			}
			sum := keyHash(sha256.Sum256([]byte(key)))
			if other, found := out[sum]; found && other != name {
				faults = append(faults, fmt.Sprintf("tenants/%s.keys: a key is also one of %q", name, other))
			}
			out[sum] = name
		}
	}
	return out, faults
}

// tenantReferences tells what names a tenant or a class that is not there.
func (e Effective) checkTenantReferences() ValidationErrors {
	var faults ValidationErrors
	for _, name := range sorted(e.Classes) {
		tenant := e.Classes[name].Tenant
		if _, found := e.Tenants[tenant]; !found && tenant != "" {
			faults = append(faults, fmt.Sprintf("classes/%s.tenant: no tenant %q", name, tenant))
		}
	}
	for _, name := range sorted(e.Tenants) {
		class := e.Tenants[name].Class
		c, found := e.Classes[class]
		switch {
		case class == "":
		case !found:
			faults = append(faults, fmt.Sprintf("tenants/%s.class: no class %q", name, class))
		case c.Tenant != "" && c.Tenant != name:
			faults = append(faults, fmt.Sprintf("tenants/%s.class: the class %q is of the tenant %q", name, class, c.Tenant))
		}
	}
	return faults
}
