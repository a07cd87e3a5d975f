package proxy

import (
	"strings"

	"drumstall.example/internal/attempt"
	"drumstall.example/internal/conf"
)

// bearerScheme is the authentication scheme of callers' keys.
const bearerScheme = "Bearer"

// Identify finds the tenant whose key the Authorization header of a request contains and returns the route as it
// applies to that tenant. Where keys are required, a request without a known key is refused unless its route is public.
func (p *Proxy) Identify(r conf.Route, authorization string) (conf.Route, attempt.Identity, *Refusal) {
	cfg := p.Conf()
	if !cfg.Limits.RequireKeys {
		return r, attempt.Identity{}, nil
	}
	tenant, known := cfg.TenantOfKey(bearerKey(authorization))
	if !known && !r.Public {
		return r, attempt.Identity{}, &Refusal{Reason: Unauthorized, Detail: "the request bears no key of a tenant", Outcome: attempt.NotRun}
	}
	if class := cfg.Tenants[tenant].Class; class != "" {
		r.Class = class
	}
	return r, attempt.Identity{Required: true, Tenant: tenant}, nil
}

// bearerKey returns the key in an Authorization header, or "" if there is none.
func bearerKey(authorization string) string {
	scheme, key, _ := strings.Cut(strings.TrimSpace(authorization), " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}
