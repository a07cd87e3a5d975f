package proxy

import (
	"strings"

	"drumstall.example/internal/attempt"
	"drumstall.example/internal/conf"
)

// bearer is the scheme under which callers bear their keys.
const bearerScheme = "Bearer"

// Identify finds whose key a request bears, by what its Authorization header says, and
// gives the route as it holds for that tenant. Where keys are required a request is refused without one.
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

// keyIn is the key that an Authorization header holds; "" is none.
func bearerKey(authorization string) string {
	scheme, key, _ := strings.Cut(strings.TrimSpace(authorization), " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}
