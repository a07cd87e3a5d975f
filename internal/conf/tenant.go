package conf

import (
	"crypto/sha256"
	"fmt"
)

// DefaultTenant is the tenant of classes that name none. It has share 1 unless
// an object of its name sets another.
const DefaultTenant = "default"

// Tenant is an owner of requests: of those in its classes, and of those that
// present one of its keys.
type Tenant struct {
	Share int      // weight among the competing tenants; 0 takes no part
	Keys  []string // API keys of its callers
	Class string   // class of requests with one of its keys, instead of the route's; "" keeps the route's
}

// UrgencyLevels is the number of urgency levels within a tenant.
const UrgencyLevels = 11

// Urgency returns the level of a class within its tenant: 0 for urgent classes, then
// by rank; lower levels go first.
func (c Class) Urgency() int {
	if c.Urgent {
		return 0
	}
	return min(1+max(c.Rank, 0), UrgencyLevels-1)
}

// HasTenants reports whether anything is divided between tenants.
func (e Effective) HasTenants() bool { return len(e.shares) > 0 }

// TenantOf returns the tenant of a class.
func (e Effective) TenantOf(class string) string {
	if t := e.Classes[class].Tenant; t != "" {
		return t
	}
	return DefaultTenant
}

// ShareOf returns the weight of a tenant.
func (e Effective) ShareOf(tenant string) int {
	if t, found := e.Tenants[tenant]; found {
		return max(t.Share, 1)
	}
	return 1
}

// Shares returns the weights of all tenants, including the default one if a class belongs to
// it; it is empty if no tenant has a share. Callers must not modify it.
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

// keyHash is the index of the key lookup. Keys are hashed so that the time of a lookup reveals nothing about them.
type keyHash [sha256.Size]byte

// TenantOfKey returns the tenant that an API key belongs to.
func (e Effective) TenantOfKey(key string) (tenant string, known bool) {
	tenant, known = e.tenantByKey[sha256.Sum256([]byte(key))]
	return tenant, known
}

// indexKeys builds the index of keys. A key may belong to one tenant only; an error
// names the tenants and not the key.
func (e Effective) indexKeys() (map[keyHash]string, ValidationErrors) {
	var errs ValidationErrors
	out := map[keyHash]string{}
	for _, name := range sorted(e.Tenants) {
		for _, key := range e.Tenants[name].Keys {
			if key == "" {
				errs = append(errs, fmt.Sprintf("tenants/%s.keys: a key is empty", name))
				continue
			}
			sum := keyHash(sha256.Sum256([]byte(key)))
			if other, found := out[sum]; found && other != name {
				errs = append(errs, fmt.Sprintf("tenants/%s.keys: a key is also one of %q", name, other))
			}
			out[sum] = name
		}
	}
	return out, errs
}

// checkTenantReferences returns an error for each reference to a tenant or class that does not exist, and
// for a tenant whose class belongs to another.
func (e Effective) checkTenantReferences() ValidationErrors {
	var errs ValidationErrors
	for _, name := range sorted(e.Classes) {
		tenant := e.Classes[name].Tenant
		if _, found := e.Tenants[tenant]; !found && tenant != "" {
			errs = append(errs, fmt.Sprintf("classes/%s.tenant: no tenant %q", name, tenant))
		}
	}
	for _, name := range sorted(e.Tenants) {
		class := e.Tenants[name].Class
		c, found := e.Classes[class]
		switch {
		case class == "":
		case !found:
			errs = append(errs, fmt.Sprintf("tenants/%s.class: no class %q", name, class))
		case c.Tenant != "" && c.Tenant != name:
			errs = append(errs, fmt.Sprintf("tenants/%s.class: the class %q is of the tenant %q", name, class, c.Tenant))
		}
	}
	return errs
}
