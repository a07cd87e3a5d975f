package route

import "drumstall.example/internal/kernel/sharedcache"

// owner is whose a request is; without tenants it is nobody's.
func (k *Keeper) owner(t Target) sharedcache.Owner {
	cfg := k.Now().Conf
	if !cfg.HasTenants() {
		return sharedcache.Owner{}
	}
	class := t.Route.Class
	return sharedcache.Owner{Tenant: cfg.TenantOf(class), Rank: cfg.Classes[class].Urgency()}
}
